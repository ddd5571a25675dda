"""An event loop whose time jumps to the next timer.

Sleeping costs nothing, and two runs of the same program with the same seeds
make the same steps.
"""

import asyncio
from collections.abc import Coroutine
import selectors
from typing import Any
from typing import TypeVar

T = TypeVar("T")

# Wall time of a virtual run starts here: an arbitrary day.
EPOCH = 1_800_000_000.0


class NothingScheduled(Exception):
    """Every task waits for something that can't happen any more."""


class _JumpingSelector(selectors.SelectSelector):
    """A selector that moves the loop's time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise NothingScheduled("all tasks wait and no timer is set")
        self.now += max(0.0, timeout)
        return []


class _VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end under virtual time.

    :raises NothingScheduled: if the program hangs
    """
    with asyncio.Runner(loop_factory=_VirtualLoop) as runner:
        return runner.run(main)


class VirtualClock:
    """One VM's clock in a virtual run, which may drift and be set wrong.

    ``rate`` is how many seconds it counts in one second of the loop.
    """

    def __init__(self, *, rate: float = 1.0, wall_offset: float = 0.0) -> None:
        """Create a clock."""
        self._rate = rate
        self._wall_offset = wall_offset

    def monotonic(self) -> float:
        """Return this VM's seconds."""
        return asyncio.get_running_loop().time() * self._rate

    def wall(self) -> float:
        """Return this VM's idea of seconds since the epoch."""
        return EPOCH + self.monotonic() + self._wall_offset

    async def sleep(self, seconds: float) -> None:
        """Wait for so many seconds of this VM."""
        await asyncio.sleep(seconds / self._rate)

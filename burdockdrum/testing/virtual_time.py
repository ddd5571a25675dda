"""An event loop under virtual time, which jumps to the next timer.

Sleeps take no real time, and runs with the same seeds are identical.
"""

import asyncio
from collections.abc import Coroutine
import selectors
from typing import Any
from typing import TypeVar

T = TypeVar("T")

# Wall-clock time at the start of a virtual run, in seconds since the epoch.
EPOCH = 1_800_000_000.0


class NothingScheduled(Exception):
    """All tasks are blocked and no timer is set: a deadlock."""


class _VirtualTimeSelector(selectors.SelectSelector):
    """A selector that advances the loop's time instead of blocking."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise NothingScheduled("all tasks are blocked and no timer is set")
        self.now += max(0.0, timeout)
        return []


class _VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        return self._virtual_selector.now


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to completion under virtual time.

    :raises NothingScheduled: if the program deadlocks
    """
    with asyncio.Runner(loop_factory=_VirtualLoop) as runner:
        return runner.run(main)


class VirtualClock:
    """The clock of one VM under virtual time, with drift and offset.

    ``rate`` is the number of its seconds per second of the event loop.
    """

    def __init__(self, *, rate: float = 1.0, wall_offset: float = 0.0) -> None:
        """Create a clock."""
        self._rate = rate
        self._wall_offset = wall_offset

    def monotonic(self) -> float:
        """Return monotonic seconds by this VM's clock."""
        return asyncio.get_running_loop().time() * self._rate

    def wall(self) -> float:
        """Return seconds since the epoch by this VM's clock."""
        return EPOCH + self.monotonic() + self._wall_offset

    async def sleep(self, seconds: float) -> None:
        """Sleep for seconds by this VM's clock."""
        await asyncio.sleep(seconds / self._rate)

"""The attempts that run now, and copies of a suspect among them."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import contextlib

from burdockdrum.ports import Clock

# How long a copy of a suspect waits for those that run. Endpoints crash soon
# after they begin to run such a request; sound copies may run much longer.
MAX_WAIT_SECONDS = 0.5
# The rest of a request's time is left to the attempt itself.
MAX_WAIT_FRACTION = 0.25
# How often a waiting copy checks whether it has been cleared meanwhile.
CHECK_SECONDS = 0.05


class Run:
    """One attempt; ``suspects`` computes what identifies its request.

    That is its fingerprint, and those of the parts of its prompt.
    """

    def __init__(self, *, suspects: Callable[[], Sequence[str]]) -> None:
        """Create the run of a request."""
        self.suspects = suspects
        self.ended = asyncio.Event()


class RunningCopies:
    """Lets copies of a suspect run one after the other."""

    def __init__(self, *, clock: Clock) -> None:
        """Create it for an entry on which nothing runs."""
        self._clock = clock
        self._runs: set[Run] = set()

    def begin(self, suspects: Callable[[], Sequence[str]]) -> Run:
        """Record an attempt that begins; ``end`` must follow."""
        run = Run(suspects=suspects)
        self._runs.add(run)
        return run

    def end(self, run: Run) -> None:
        """Record the end of an attempt."""
        self._runs.discard(run)
        run.ended.set()

    async def wait(
        self,
        seconds_left: float,
        list_apart: Callable[[], frozenset[str]],
    ) -> bool:
        """Wait until no copy of a suspect runs, or it is cleared.

        :param seconds_left: until the deadline of the request
        :param list_apart: returns what it should not run beside copies of
        :returns: whether any copy ran
        """
        waits_until = self._clock.monotonic() + min(
            MAX_WAIT_SECONDS, seconds_left * MAX_WAIT_FRACTION
        )
        has_waited = False
        while (run := self._find_copy(list_apart())) is not None:
            left = waits_until - self._clock.monotonic()
            if left <= 0:
                # The copy is not about to crash its endpoint.
                break
            has_waited = True
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(left, CHECK_SECONDS)):
                    await run.ended.wait()
        return has_waited

    def _find_copy(self, suspects: frozenset[str]) -> Run | None:
        if not suspects:
            return None
        for run in self._runs:
            if not suspects.isdisjoint(run.suspects()):
                return run
        return None

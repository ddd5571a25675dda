"""The machine's clock."""

import asyncio
import time

# Waits shorter than this end when they should.
LONG_SECONDS = 0.2
GRID_SECONDS = 0.05


class SystemClock:
    """The machine's clock, through the running event loop."""

    def monotonic(self) -> float:
        """Return the machine's monotonic time in seconds.

        Not the event loop's: uvloop reads its time once a turn, so that a
        lease looked valid after a turn that took longer than the lease.
        """
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Wait for so many seconds, or up to ``GRID_SECONDS`` more.

        An idle VM spends most of its processor time on waking up, for one
        timer after the other. Longer waits end on a common grid, so that
        many timers share one waking.
        """
        if seconds >= LONG_SECONDS:
            end = self.monotonic() + seconds
            seconds += -end % GRID_SECONDS
        await asyncio.sleep(seconds)

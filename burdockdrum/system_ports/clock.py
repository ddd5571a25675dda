"""The clock port over the system's clock."""

import asyncio
import time

# Shorter sleeps are not rounded.
MIN_COALESCED_SLEEP_SECONDS = 0.2
TIMER_INTERVAL_SECONDS = 0.05


class SystemClock:
    """The system's clock; sleeps use the running event loop."""

    def monotonic(self) -> float:
        """Return the system's monotonic time in seconds.

        The event loop's time is not used: uvloop updates it once per
        iteration, so an expired lease could look valid during a long one.
        """
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds.

        Longer sleeps are rounded up to end on a multiple of
        ``TIMER_INTERVAL_SECONDS``, so that many timers share one wake-up;
        wake-ups are most of an idle VM's processor time.
        """
        if seconds >= MIN_COALESCED_SLEEP_SECONDS:
            end = self.monotonic() + seconds
            seconds += -end % TIMER_INTERVAL_SECONDS
        await asyncio.sleep(seconds)

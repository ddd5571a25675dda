"""The machine's clock."""

import asyncio
import time


class SystemClock:
    """The machine's clock, through the running event loop."""

    def monotonic(self) -> float:
        """Return the event loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Wait for so many seconds."""
        await asyncio.sleep(seconds)

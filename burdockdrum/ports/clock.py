"""The port for time."""

from typing import Protocol


class Clock(Protocol):
    """A VM's clock.

    Two clocks may drift against each other; only ``wall`` is comparable
    between VMs, and only roughly.
    """

    def monotonic(self) -> float:
        """Return seconds that never go back, from an arbitrary start."""
        ...

    def wall(self) -> float:
        """Return seconds since the epoch, which may jump."""
        ...

    async def sleep(self, seconds: float) -> None:
        """Wait for so many seconds of this clock."""
        ...

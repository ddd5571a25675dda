"""The port for time."""

from typing import Protocol


class Clock(Protocol):
    """A VM's clock.

    Clocks of different VMs may drift apart; only ``wall`` can be compared
    between VMs, and only approximately.
    """

    def monotonic(self) -> float:
        """Return monotonic seconds from an arbitrary origin."""
        ...

    def wall(self) -> float:
        """Return seconds since the epoch, which may jump either way."""
        ...

    async def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds of this clock."""
        ...

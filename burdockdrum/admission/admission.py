"""Accept a request, or refuse it early and cheaply."""

from burdockdrum.configuration import ConfigurationService
from burdockdrum.ports import Clock
from burdockdrum.routing import Demand


class Permit:
    """A request that was accepted; released exactly once at its end."""

    def __init__(self, *, admission: "Admission") -> None:
        """Create a permit."""
        self._admission = admission
        self._released = False

    def release(self, *, completed: bool, tokens: int = 0) -> None:
        """Give the permit back; later calls change nothing."""
        if not self._released:
            self._released = True
            self._admission.running -= 1


class Admission:
    """Decide which requests may start."""

    def __init__(
        self, *, clock: Clock, configuration: ConfigurationService
    ) -> None:
        """Create an admission without load."""
        self._clock = clock
        self._configuration = configuration
        self.running = 0

    async def admit(self, client_id: str, demand: Demand) -> Permit:
        """Wait, within bounds, until a request may start.

        :raises Refusal: with the verdict "not run" and when to come back
        """
        self.running += 1
        return Permit(admission=self)

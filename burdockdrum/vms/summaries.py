"""What this data centre can take of each service."""

from collections.abc import Callable

from burdockdrum.configuration import ConfigurationService
from burdockdrum.endpoints import EndpointRegistry
from burdockdrum.ports import Clock
from burdockdrum.vms.messages import ServiceSummary

SUMMARIZE_SECONDS = 0.1
# An endpoint known for so long has filled its prefix cache.
WARM_AFTER_SECONDS = 60.0
# What one request takes, as a rough guess: the router of the data centre
# that gets the request has better estimates than a summary can carry.
REQUEST_SECONDS = 2.0


class Summaries:
    """What this data centre can take, computed anew a few times a second.

    It is asked for with each request that looks beyond this data centre.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        configuration: ConfigurationService,
        endpoints: EndpointRegistry,
    ) -> None:
        """Create summaries that are not computed yet."""
        self._clock = clock
        self._configuration = configuration
        self._endpoints = endpoints
        # Set once the router and the admission exist, which need the VMs:
        # they know own requests in flight and the line, reports don't.
        self.read_room: Callable[[str], float] | None = None
        self.read_queue_seconds: Callable[[str], float] | None = None
        self._summaries: list[ServiceSummary] = []
        self._made_at = float("-inf")

    def read(self) -> list[ServiceSummary]:
        """Return a summary of each service that has endpoints here."""
        now = self._clock.monotonic()
        if now - self._made_at >= SUMMARIZE_SECONDS:
            self._made_at = now
            names = self._configuration.current.services_by_name
            found = [self._summarize(name, now) for name in names]
            self._summaries = [s for s in found if s.endpoints]
        return self._summaries

    def _summarize(self, name: str, now: float) -> ServiceSummary:
        live = self._endpoints.candidates(name)
        slots = sum(endpoint.slots for endpoint in live)
        running = sum(endpoint.running for endpoint in live)
        waiting = sum(endpoint.waiting for endpoint in live)
        warm = [e for e in live if now - e.known_since >= WARM_AFTER_SECONDS]
        queue = waiting / slots * REQUEST_SECONDS if slots else 0.0
        return ServiceSummary(
            service=name,
            endpoints=len(live),
            slots=slots,
            room=self._estimate_room(name, slots - running - waiting),
            queue_seconds=self._estimate_queue(name, queue),
            warmth=len(warm) / len(live) if live else 0.0,
        )

    def _estimate_room(self, name: str, reported: int) -> int:
        if self.read_room is None:
            return max(0, reported)
        return int(self.read_room(name))

    def _estimate_queue(self, name: str, reported: float) -> float:
        if self.read_queue_seconds is None:
            return reported
        return self.read_queue_seconds(name)

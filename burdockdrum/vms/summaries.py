"""Summaries of this data centre's capacity for each service."""

from collections.abc import Callable

from burdockdrum.configuration import ConfigurationService
from burdockdrum.endpoints import EndpointRegistry
from burdockdrum.ports import Clock
from burdockdrum.vms.messages import ServiceSummary

SUMMARY_MAX_AGE_SECONDS = 0.1
# An endpoint known for this long counts as having a warm prefix cache.
WARM_AFTER_SECONDS = 60.0
# A rough estimate; the router of the data centre that gets a request has
# better ones.
ASSUMED_REQUEST_SECONDS = 2.0


class CapacitySummaries:
    """Computes the summaries of this data centre and caches them briefly.

    They are read for every request that may be forwarded to another data
    centre.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        configuration: ConfigurationService,
        endpoints: EndpointRegistry,
    ) -> None:
        """Create the service; summaries are computed when first read."""
        self._clock = clock
        self._configuration = configuration
        self._endpoints = endpoints
        # Set by the router and the admission, which are created later. They
        # know the requests in flight and the queue, which reports lack.
        self.read_free_capacity: Callable[[str], float] | None = None
        self.read_queue_seconds: Callable[[str], float] | None = None
        self._summaries: list[ServiceSummary] = []
        self._made_at = float("-inf")

    def read(self) -> list[ServiceSummary]:
        """Return a summary of each service that has endpoints here."""
        now = self._clock.monotonic()
        if now - self._made_at >= SUMMARY_MAX_AGE_SECONDS:
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
        queue = waiting / slots * ASSUMED_REQUEST_SECONDS if slots else 0.0
        return ServiceSummary(
            service=name,
            endpoints=len(live),
            slots=slots,
            room=self._estimate_capacity(name, slots - running - waiting),
            queue_seconds=self._estimate_queue(name, queue),
            warmth=len(warm) / len(live) if live else 0.0,
        )

    def _estimate_capacity(self, name: str, reported: int) -> int:
        if self.read_free_capacity is None:
            return max(0, reported)
        return int(self.read_free_capacity(name))

    def _estimate_queue(self, name: str, reported: float) -> float:
        if self.read_queue_seconds is None:
            return reported
        return self.read_queue_seconds(name)

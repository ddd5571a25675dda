"""Which endpoints are brittle, by their own word or by that of others."""

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass

from burdockdrum.metrics import Metrics
from burdockdrum.ports import Clock
from burdockdrum.registrations import AnnouncedLimit
from burdockdrum.registrations import RegisteredEndpoint

# For how long an endpoint that has said nothing yet is taken for brittle
# after another one of its service said to be so.
SERVICE_MEMORY_SECONDS = 60.0


@dataclass(frozen=True, kw_only=True)
class _ServiceBound:
    """The fewest rejections that an endpoint of a service tolerated."""

    max_rejections: int
    known_at: float


class BrittleEndpoints:
    """The brittle endpoints of a region.

    The word of an endpoint goes before that of others of its service. One
    that has just started has said nothing, and gets most requests then.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        metrics: Metrics,
        read_endpoints: Callable[[], Mapping[str, RegisteredEndpoint]],
        read_limit: Callable[[str], AnnouncedLimit | None],
    ) -> None:
        """Create it for the registered endpoints.

        :param read_endpoints: returns the registered endpoints by id
        :param read_limit: returns what an endpoint last announced
        """
        self._clock = clock
        self._read_endpoints = read_endpoints
        self._read_limit = read_limit
        self._bounds_by_service: dict[str, _ServiceBound] = {}
        metrics.gauge(
            "burdockdrum_brittle_endpoints",
            "Endpoints of this region that tolerate few rejections.",
            read=self._count,
        )

    def max_rejections_of(self, endpoint: RegisteredEndpoint) -> int | None:
        """Return how many rejections a second an endpoint tolerates.

        :returns: None if it is not brittle
        """
        announced = self._read_limit(endpoint.endpoint_id)
        if announced is not None:
            return announced.max_rejections
        bound = self._bounds_by_service.get(endpoint.service)
        return bound.max_rejections if bound is not None else None

    def update(self) -> None:
        """Take over what endpoints have announced since."""
        now = self._clock.monotonic()
        since = now - SERVICE_MEMORY_SECONDS
        current: dict[str, int] = {}
        for endpoint_id, endpoint in self._read_endpoints().items():
            announced = self._read_limit(endpoint_id)
            if announced is None or announced.max_rejections is None:
                continue
            known = current.get(endpoint.service, announced.max_rejections)
            current[endpoint.service] = min(known, announced.max_rejections)
        self._bounds_by_service = {
            service: bound
            for service, bound in self._bounds_by_service.items()
            if bound.known_at > since
        }
        for service, number in current.items():
            self._bounds_by_service[service] = _ServiceBound(
                max_rejections=number, known_at=now
            )

    def _count(self) -> int:
        return sum(
            self.max_rejections_of(endpoint) is not None
            for endpoint in self._read_endpoints().values()
        )

"""When routes last moved to each service."""

from collections.abc import Iterable
from collections.abc import Mapping

import msgspec

from burdockdrum.resources.routes import Route
from burdockdrum.resources.routes import RouteTableSpec

# More services than operators have. Beyond, the oldest are dropped.
MAX_SERVICES = 1000
# The same for paths that have no route any more.
MAX_CLOSED_PATHS = 1000

# A host and the prefix of a path.
Place = tuple[str, str]
ServicesByPlace = dict[Place, frozenset[str]]


class ClosedPath(msgspec.Struct, frozen=True, kw_only=True):
    """A path that has no route any more, and the services of its last one."""

    host: str
    path_prefix: str
    services: list[str]


class RouteMovesSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The complete state of ``RouteMoves``."""

    revision_by_service: dict[str, int] = {}
    closed_paths: list[ClosedPath] = []


class RouteMoves:
    """The revision at which a path last moved to each service.

    An earlier response on that path may have come from another service, also
    if the path had no route in between. It is deterministic, as a part of the
    replicated state.
    """

    def __init__(self) -> None:
        """Create it without moves."""
        self.revision_by_service: dict[str, int] = {}
        self._closed: ServicesByPlace = {}

    def advance(
        self, before: RouteTableSpec, after: RouteTableSpec, revision: int
    ) -> None:
        """Record the moves of a new route table.

        :param revision: that of the configuration with the new table
        """
        old = _ServiceFinder(
            self._closed | _list_services_by_place(before.routes)
        )
        new = _ServiceFinder(_list_services_by_place(after.routes))
        if old.services_by_place == new.services_by_place:
            return
        for service in sorted(_list_moved_services(old, new)):
            self.revision_by_service.pop(service, None)
            self.revision_by_service[service] = revision
        while len(self.revision_by_service) > MAX_SERVICES:
            del self.revision_by_service[next(iter(self.revision_by_service))]
        self._closed = {
            (host, prefix): services
            for (host, prefix), services in old.services_by_place.items()
            if not new.find(host, prefix)
        }
        while len(self._closed) > MAX_CLOSED_PATHS:
            del self._closed[next(iter(self._closed))]

    def snapshot(self) -> RouteMovesSnapshot:
        """Return the complete state."""
        return RouteMovesSnapshot(
            revision_by_service=dict(self.revision_by_service),
            closed_paths=[
                ClosedPath(
                    host=host, path_prefix=prefix, services=sorted(services)
                )
                for (host, prefix), services in self._closed.items()
            ],
        )

    def restore(self, snapshot: RouteMovesSnapshot) -> None:
        """Replace the state with that of a snapshot."""
        self.revision_by_service = dict(snapshot.revision_by_service)
        self._closed = {
            (path.host, path.path_prefix): frozenset(path.services)
            for path in snapshot.closed_paths
        }


class _ServiceFinder:
    """Finds the services of the paths with a prefix."""

    def __init__(
        self, services_by_place: Mapping[Place, frozenset[str]]
    ) -> None:
        self.services_by_place = dict(services_by_place)

    def find(self, host: str, prefix: str) -> frozenset[str]:
        """Return the services of the route that such paths match."""
        while prefix:
            services = self.services_by_place.get((host, prefix))
            if services is not None:
                return services
            # A prefix begins and ends with a slash.
            prefix = prefix[: prefix.rfind("/", 0, -1) + 1]
        return frozenset()


def _list_services_by_place(routes: Iterable[Route]) -> ServicesByPlace:
    return {
        (route.host.lower(), route.path_prefix): frozenset(
            share.service for share in route.services if share.weight
        )
        for route in routes
    }


def _list_moved_services(old: _ServiceFinder, new: _ServiceFinder) -> set[str]:
    """Return the services to which paths of others have moved."""
    moved: set[str] = set()
    # A path also moves when a route with a longer or shorter prefix comes or
    # goes.
    for host, prefix in old.services_by_place | new.services_by_place:
        former = old.find(host, prefix)
        current = new.find(host, prefix)
        if former != current:
            moved |= {service for service in current if former - {service}}
    return moved

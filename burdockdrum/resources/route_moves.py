"""When routes last moved to each service."""

from collections.abc import Iterable

from burdockdrum.resources.routes import Route
from burdockdrum.resources.routes import RouteTableSpec

# More services than operators have. Beyond, the oldest are dropped.
MAX_SERVICES = 1000


class RouteMoves:
    """The revision at which a path last moved to each service.

    An earlier response on that path may have come from another service. It
    is deterministic, as a part of the replicated state.
    """

    def __init__(self) -> None:
        """Create it without moves."""
        self.revision_by_service: dict[str, int] = {}

    def advance(
        self, before: RouteTableSpec, after: RouteTableSpec, revision: int
    ) -> None:
        """Record the moves of a new route table.

        :param revision: that of the configuration with the new table
        """
        for service in sorted(_list_services(before.routes, after.routes)):
            self.revision_by_service.pop(service, None)
            self.revision_by_service[service] = revision
        while len(self.revision_by_service) > MAX_SERVICES:
            del self.revision_by_service[next(iter(self.revision_by_service))]


def _list_services(before: list[Route], after: list[Route]) -> set[str]:
    """Return the services to which paths of others have moved."""
    old, new = _ServiceFinder(before), _ServiceFinder(after)
    moved: set[str] = set()
    if old.services_by_place == new.services_by_place:
        return moved
    # A path also moves when a route with a longer or shorter prefix comes or
    # goes.
    for host, prefix in old.services_by_place | new.services_by_place:
        former = old.find(host, prefix)
        current = new.find(host, prefix)
        if former != current:
            moved |= {service for service in current if former - {service}}
    return moved


class _ServiceFinder:
    """Finds the services of the paths with a prefix."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self.services_by_place = {
            (route.host.lower(), route.path_prefix): frozenset(
                share.service for share in route.services if share.weight
            )
            for route in routes
        }

    def find(self, host: str, prefix: str) -> frozenset[str]:
        """Return the services of the route that such paths match."""
        while prefix:
            services = self.services_by_place.get((host, prefix))
            if services is not None:
                return services
            # A prefix begins and ends with a slash.
            prefix = prefix[: prefix.rfind("/", 0, -1) + 1]
        return frozenset()

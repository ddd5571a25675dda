"""An index that finds the route of a request by host and path."""

from collections.abc import Mapping
import random

from burdockdrum.callers import RankOrder
from burdockdrum.resources import Backend
from burdockdrum.resources import Route
from burdockdrum.resources import RouteTableSpec


class RouteIndex:
    """The routes of one table by host, longest path prefix first."""

    def __init__(
        self,
        *,
        table: RouteTableSpec,
        in_force_since: Mapping[int, float] | None = None,
    ) -> None:
        """Build the index of a route table.

        :param in_force_since: when this table and those before it came in
            force here, by generation in the order of time, in monotonic time;
            by default this one always was
        """
        self.generation = table.generation
        self._in_force_since = in_force_since or {
            table.generation: float("-inf")
        }
        self.has_teams = table.teams is not None
        self.ranks = RankOrder(teams=table.teams or (), routes=table.routes)
        self.backends_by_name: dict[str, Backend] = {
            backend.name: backend for backend in table.backends
        }
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in table.routes:
            routes = self._routes_by_host.setdefault(route.host.lower(), [])
            routes.append(route)
        for routes in self._routes_by_host.values():
            routes.sort(key=lambda r: len(r.path_prefix), reverse=True)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def superseded_at(self, generation: int) -> float | None:
        """Return when a newer table than that of a generation came in force.

        :returns: the monotonic time, None if this one isn't newer
        """
        if generation >= self.generation:
            return None
        return next(
            since
            for own, since in self._in_force_since.items()
            if own > generation
        )

    def home_regions_of(self, host: str) -> frozenset[str]:
        """Return the regions that any route of a host is restricted to."""
        routes = self._routes_by_host.get(host, ())
        return frozenset(home for route in routes for home in route.homes)


def choose_service(route: Route, rng: random.Random) -> str:
    """Choose a service at random, by the weights of the route."""
    services = route.services
    if len(services) == 1:
        return services[0].service
    weights = [share.weight for share in services]
    return rng.choices(services, weights=weights)[0].service

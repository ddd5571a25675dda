"""A route as it holds for one caller."""

import msgspec

from burdockdrum.callers.caller import Caller
from burdockdrum.callers.ranks import RankOrder
from burdockdrum.resources import Route


class NoCommonHome(Exception):
    """A route and a team are kept to regions that have none in common."""


def route_for(caller: Caller | None, route: Route, ranks: RankOrder) -> Route:
    """Return a route with the rank and the homes that bind a caller.

    :param caller: None for a route that everyone may use
    :raises NoCommonHome: if no region may serve it
    """
    rank = ranks.find(caller.rank if caller else None, route.rank)
    homes = _common(route.homes, list(caller.homes) if caller else [])
    if rank == route.rank and homes == route.homes:
        return route
    return msgspec.structs.replace(route, rank=rank, homes=homes)


def _common(first: list[str], second: list[str]) -> list[str]:
    if not first or not second:
        return first or second
    common = [home for home in first if home in second]
    if not common:
        raise NoCommonHome(
            f"the route is kept to {', '.join(first)}, the team to "
            f"{', '.join(second)}"
        )
    return common

"""Applies a caller's rank and home regions to a route.

Both the route and the team may restrict the regions and set a rank; the
result is a route that satisfies both.
"""

import msgspec

from burdockdrum.callers.caller import Caller
from burdockdrum.callers.ranks import RankOrder
from burdockdrum.resources import Route


class NoCommonHomeRegion(Exception):
    """The home regions of a route and of a team don't intersect."""


def route_for(caller: Caller | None, route: Route, ranks: RankOrder) -> Route:
    """Return a route with the rank and the home regions for a caller.

    :param caller: None for a route that needs no authentication
    :raises NoCommonHomeRegion: if no region may serve the request
    """
    rank = ranks.find(caller.rank if caller else None, route.rank)
    homes = _intersect_regions(
        route.homes, list(caller.homes) if caller else []
    )
    if rank == route.rank and homes == route.homes:
        return route
    return msgspec.structs.replace(route, rank=rank, homes=homes)


def _intersect_regions(
    route_homes: list[str], team_homes: list[str]
) -> list[str]:
    if not route_homes or not team_homes:
        return route_homes or team_homes
    common = [home for home in route_homes if home in team_homes]
    if not common:
        raise NoCommonHomeRegion(
            f"the route is kept to {', '.join(route_homes)}, the team to "
            f"{', '.join(team_homes)}"
        )
    return common

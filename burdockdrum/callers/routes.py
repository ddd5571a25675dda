"""Applies a caller's rank and home regions to a route.

Both the route and the team may restrict the regions and set a rank; the
result is a route that satisfies both.
"""

import msgspec

from burdockdrum.callers.caller import Caller
from burdockdrum.callers.ranks import RankOrder
from burdockdrum.resources import Route


class NoCommonHomeRegion(Exception):
    """Two restrictions to home regions don't intersect."""


def route_for(caller: Caller | None, route: Route, ranks: RankOrder) -> Route:
    """Return a route with the rank and the home regions for a caller.

    :param caller: None for a route that needs no authentication
    :raises NoCommonHomeRegion: if no region may serve the request
    """
    rank = ranks.find(caller.rank if caller else None, route.rank)
    homes = common_homes(route.homes, list(caller.homes) if caller else [])
    if rank == route.rank and homes == route.homes:
        return route
    return msgspec.structs.replace(route, rank=rank, homes=homes)


def common_homes(first: list[str], second: list[str]) -> list[str]:
    """Return the home regions that two restrictions allow; any if empty.

    :raises NoCommonHomeRegion: if no region may serve the request
    """
    if not first or not second:
        return first or second
    common = [home for home in first if home in second]
    if not common:
        raise NoCommonHomeRegion(
            f"the request is kept to {', '.join(first)}, and to "
            f"{', '.join(second)}"
        )
    return common

"""A single priority order over the ranks of teams and routes.

A request has the rank of its team and of its route; endpoints and queues
need one number.
"""

from collections.abc import Iterable

from burdockdrum.resources import Route
from burdockdrum.resources import RouteTeam


class RankOrder:
    """The ranks of a route table's requests, by team first, then by route.

    They are numbered from 0 without gaps, as endpoints support only a small
    number of priorities.
    """

    def __init__(
        self, *, teams: Iterable[RouteTeam], routes: Iterable[Route]
    ) -> None:
        """Number every possible pair of team rank and route rank."""
        route_ranks = {route.rank for route in routes}
        team_ranks = {team.rank for team in teams}
        pairs = {(rank, rank) for rank in route_ranks}
        pairs |= {
            _rank_pair(team_rank, route_rank)
            for team_rank in team_ranks
            for route_rank in route_ranks
        }
        self._rank_by_pair = {
            pair: number for number, pair in enumerate(sorted(pairs))
        }

    def find(self, team_rank: int | None, route_rank: int) -> int:
        """Return the combined rank of a request.

        :param team_rank: None if only the route's rank counts
        """
        pair = _rank_pair(team_rank, route_rank)
        return self._rank_by_pair.get(pair, route_rank)


def _rank_pair(team_rank: int | None, route_rank: int) -> tuple[int, int]:
    return (route_rank if team_rank is None else team_rank, route_rank)

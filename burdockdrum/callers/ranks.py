"""One order of urgency over the ranks of teams and of routes."""

from collections.abc import Iterable

from burdockdrum.resources import Route
from burdockdrum.resources import RouteTeam


class RankOrder:
    """The ranks of a table's requests: by team first, then by route.

    They are numbered from 0 without gaps, as endpoints tell a few ranks
    apart only.
    """

    def __init__(
        self, *, teams: Iterable[RouteTeam], routes: Iterable[Route]
    ) -> None:
        """Number every pair of ranks that may occur."""
        route_ranks = {route.rank for route in routes}
        team_ranks = {team.rank for team in teams}
        pairs = {(rank, rank) for rank in route_ranks}
        pairs |= {
            _pair(team_rank, route_rank)
            for team_rank in team_ranks
            for route_rank in route_ranks
        }
        self._number_by_pair = {
            pair: number for number, pair in enumerate(sorted(pairs))
        }

    def find(self, team_rank: int | None, route_rank: int) -> int:
        """Return the rank of a request.

        :param team_rank: None leaves it to the route
        """
        pair = _pair(team_rank, route_rank)
        return self._number_by_pair.get(pair, route_rank)


def _pair(team_rank: int | None, route_rank: int) -> tuple[int, int]:
    return (route_rank if team_rank is None else team_rank, route_rank)

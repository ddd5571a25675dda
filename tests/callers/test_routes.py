"""Tests of what a caller changes of a route."""

import unittest

from burdockdrum.callers import Caller
from burdockdrum.callers import NoCommonHome
from burdockdrum.callers import RankOrder
from burdockdrum.callers import route_for
from tests.callers.fakes import make_team
from tests.passthrough.fakes import make_route

RANKS = RankOrder(teams=[], routes=[])


class RouteForTest(unittest.TestCase):
    """Ranks and homes of teams and routes."""

    def order(self, team_ranks, route_ranks):
        """Return the order of the ranks of a table."""
        return RankOrder(
            teams=[make_team("t", rank=rank) for rank in team_ranks],
            routes=[make_route(rank=rank) for rank in route_ranks],
        )

    def test_rank_of_the_team_goes_first(self):
        """A team's long requests wait behind all of a less urgent team."""
        ranks = self.order([0, 3], [0, 1, 2])
        found = [
            route_for(Caller(rank=team), make_route(rank=rank), ranks).rank
            for team in (0, 3)
            for rank in (0, 1, 2)
        ]
        self.assertEqual(sorted(set(found)), found)

    def test_rank_of_the_route_tells_requests_of_a_team_apart(self):
        """Short urgent requests of equal teams wait behind long ones."""
        ranks = self.order([1, 1], [0, 1, 2])
        found = [
            route_for(Caller(rank=1), make_route(rank=rank), ranks).rank
            for rank in (0, 1, 2)
        ]
        self.assertEqual(sorted(set(found)), found)
        self.assertLessEqual(found[-1] - found[0], 2)

    def test_routes_alone_decide_where_teams_have_no_rank(self):
        ranks = self.order([None], [0, 2])
        route = make_route(rank=2)
        mine = route_for(Caller(), route, ranks).rank
        self.assertEqual(mine, route_for(None, route, ranks).rank)
        urgent = route_for(None, make_route(rank=0), ranks).rank
        self.assertLess(urgent, mine)

    def test_homes_of_both_bind(self):
        both = {
            ((), ()): [],
            (("n",), ()): ["n"],
            ((), ("n",)): ["n"],
            (("n", "s"), ("s", "e")): ["s"],
        }
        for (of_route, of_team), expected in both.items():
            route = make_route(homes=list(of_route))
            bound = route_for(Caller(homes=of_team), route, RANKS)
            self.assertEqual(expected, bound.homes)

    def test_no_region_in_common_serves_nobody(self):
        with self.assertRaises(NoCommonHome):
            caller = Caller(homes=("n",))
            route_for(caller, make_route(homes=["s"]), RANKS)

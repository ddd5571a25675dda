"""Tests of applying a caller's rank and homes to a route."""

import unittest

from burdockdrum.callers import Caller
from burdockdrum.callers import NoCommonHomeRegion
from burdockdrum.callers import RankOrder
from burdockdrum.callers import route_for
from tests.callers.fakes import make_team
from tests.passthrough.fakes import make_route

RANKS = RankOrder(teams=[], routes=[])


class RouteForTest(unittest.TestCase):
    """Ranks and homes of teams and routes."""

    def make_ranks(self, team_ranks, route_ranks):
        """Return the rank order of a route table."""
        return RankOrder(
            teams=[make_team("t", rank=rank) for rank in team_ranks],
            routes=[make_route(rank=rank) for rank in route_ranks],
        )

    def test_team_rank_takes_precedence(self):
        """A team's requests wait behind those of a lower-priority team."""
        ranks = self.make_ranks([0, 3], [0, 1, 2])
        found = [
            route_for(Caller(rank=team), make_route(rank=rank), ranks).rank
            for team in (0, 3)
            for rank in (0, 1, 2)
        ]
        self.assertEqual(sorted(set(found)), found)

    def test_route_rank_orders_requests_of_equal_teams(self):
        """Urgent requests wait behind others of teams of the same rank."""
        ranks = self.make_ranks([1, 1], [0, 1, 2])
        found = [
            route_for(Caller(rank=1), make_route(rank=rank), ranks).rank
            for rank in (0, 1, 2)
        ]
        self.assertEqual(sorted(set(found)), found)
        self.assertLessEqual(found[-1] - found[0], 2)

    def test_only_route_rank_counts_if_the_team_has_none(self):
        ranks = self.make_ranks([None], [0, 2])
        route = make_route(rank=2)
        default_rank = route_for(Caller(), route, ranks).rank
        self.assertEqual(default_rank, route_for(None, route, ranks).rank)
        urgent = route_for(None, make_route(rank=0), ranks).rank
        self.assertLess(urgent, default_rank)

    def test_homes_are_the_intersection_of_route_and_team(self):
        homes_by_pair = {
            ((), ()): [],
            (("n",), ()): ["n"],
            ((), ("n",)): ["n"],
            (("n", "s"), ("s", "e")): ["s"],
        }
        for (route_homes, team_homes), expected in homes_by_pair.items():
            route = make_route(homes=list(route_homes))
            bound = route_for(Caller(homes=team_homes), route, RANKS)
            self.assertEqual(expected, bound.homes)

    def test_disjoint_homes_are_rejected(self):
        with self.assertRaises(NoCommonHomeRegion):
            caller = Caller(homes=("n",))
            route_for(caller, make_route(homes=["s"]), RANKS)

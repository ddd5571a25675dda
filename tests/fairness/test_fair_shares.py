"""Tests of shares that several entries compute from each other's sums.

A team that sends six times its usual among sixteen, as the load of the flood:
those that send their usual must hardly notice.
"""

import unittest

from burdockdrum.fairness.fair_shares import MAX_RETRY_SECONDS
from burdockdrum.fairness.fair_shares import MIN_RETRY_SECONDS
from burdockdrum.fairness.fair_shares import RETRY_SPREAD_FACTOR
from burdockdrum.registrations import WorkKey
from tests.fairness.fakes import FakeRegion

TEAMS = [f"t{number}" for number in range(16)]
USUAL_LOAD = 0.85
# A caller that sends its usual may lose so many of its requests.
LOST_FRACTION = 0.03


def key_of(team):
    """Return the key of a team's work."""
    return WorkKey("s", 0, team)


class FloodTest(unittest.TestCase):
    """Sixteen teams, of which one sends six times its usual."""

    def make_region(self, **fields):
        weights = {team: 1 / (n + 1) for n, team in enumerate(TEAMS)}
        region = FakeRegion(weights=weights, **fields)
        total = sum(weights.values())
        region.demand_by_team = {
            team: USUAL_LOAD * weight / total
            for team, weight in weights.items()
        }
        region.play(5.0)
        return region

    def assert_served(self, region, flooder):
        others = [team for team in TEAMS if team != flooder]
        sent = sum(region.sent[team] for team in others)
        refused = sum(region.refused.get(team, 0) for team in others)
        self.assertLess(refused / sent, LOST_FRACTION)

    def test_usual_teams_are_served_during_a_flood(self):
        region = self.make_region()
        region.demand_by_team["t2"] *= 6
        region.play(6.0)
        self.assert_served(region, "t2")
        self.assertGreater(region.refused_fraction("t2"), 0.3)

    def test_capacity_does_not_idle_while_work_is_refused(self):
        region = self.make_region()
        region.demand_by_team["t2"] *= 6
        region.play(3.0)
        region.play(6.0)
        admitted = sum(region.sent.values()) - sum(region.refused.values())
        self.assertGreater(admitted * 0.01, 0.97 * 6.0)

    def test_share_of_idle_teams_goes_to_the_others_at_once(self):
        region = self.make_region()
        for team in TEAMS[1:]:
            region.demand_by_team[team] = 0.0
        region.demand_by_team["t0"] = 0.95
        region.play(3.0)
        self.assertLess(region.refused_fraction("t0"), LOST_FRACTION)

    def test_silence_earns_no_credit(self):
        region = self.make_region()
        flood = region.demand_by_team["t2"] * 6
        region.demand_by_team["t2"] = 0.0
        region.play(20.0)
        region.demand_by_team["t2"] = flood
        region.play(6.0)
        self.assert_served(region, "t2")

    def test_retry_comes_later_for_a_team_far_above_its_share(self):
        region = self.make_region()
        region.demand_by_team["t2"] *= 6
        region.demand_by_team["t3"] *= 2
        region.play(4.0)
        shares = region.shares[0]
        for _ in range(20):
            far = shares.seconds_until_admitted(key_of("t2"))
            near = shares.seconds_until_admitted(key_of("t3"))
            self.assertGreater(far, near)
            self.assertGreaterEqual(near, MIN_RETRY_SECONDS)
            limit = MAX_RETRY_SECONDS * RETRY_SPREAD_FACTOR
            self.assertLessEqual(far, limit)

    def test_team_that_waits_as_told_is_admitted(self):
        """Guards against a time to retry after that is too short."""
        region = self.make_region()
        region.demand_by_team["t2"] *= 6
        region.play(4.0)
        wait = region.shares[0].seconds_until_admitted(key_of("t2"))
        region.demand_by_team["t2"] = 0.0
        region.play(wait)
        self.assertTrue(region.shares[0].admits(key_of("t2"), 0.01))

    def test_each_side_of_a_partition_shares_what_it_has(self):
        """Guards against an entry that stops refusing without reports."""
        region = self.make_region()
        for number in range(4):
            for other in range(4):
                if (number < 2) != (other < 2):
                    region.cut.add((number, other))
        region.demand_by_team["t2"] *= 6
        region.play(6.0)
        self.assert_served(region, "t2")
        self.assertGreater(region.refused_fraction("t2"), 0.3)

    def test_restarted_entry_starts_from_its_neighbours_sums(self):
        """Guards against an entry that admits a flood after its restart."""
        region = self.make_region()
        region.demand_by_team["t2"] *= 6
        region.play(4.0)
        before = region.shares[1].admitted_fraction(key_of("t2"))
        region.shares[0] = region.make_entry(0)
        region.reports[0] = {}
        after = region.shares[0].admitted_fraction(key_of("t2"))
        self.assertAlmostEqual(before, after, delta=0.1)
        region.play(2.0)
        self.assert_served(region, "t2")

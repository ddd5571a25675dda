"""Tests of requests whose teams exceed their shares or keep within them."""

import random
import unittest

from burdockdrum.fairness import FairShares
from burdockdrum.http1 import RequestHead
from burdockdrum.metrics import Metrics
from burdockdrum.passthrough.protocol import ProxiedRequest
from burdockdrum.passthrough.protocol import RequestProgress
from burdockdrum.passthrough.selection import TargetSelector
from burdockdrum.passthrough.selection import TeamShares
from burdockdrum.registrations import Load
from burdockdrum.registrations import RankLoad
from burdockdrum.registrations import WorkKey
from burdockdrum.settings import MechanismSettings
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from tests.passthrough.fakes import FleetHarness
from tests.passthrough.fakes import make_prompt
from tests.passthrough.fakes import make_route
from tests.passthrough.fakes import MODEL


class TeamSharesTest(unittest.TestCase):
    """Two teams at one endpoint, of which one floods."""

    def setUp(self):
        self.world = FleetHarness("a")
        self.make_selector()

    def make_selector(self, **mechanisms):
        """Create a selector for which team "flood" exceeds its share."""
        clock, settings = self.world.clock, MechanismSettings(**mechanisms)
        self.metrics = Metrics()
        self.shares = FairShares(clock=clock, rng=random.Random(1))
        for team, requested, served in (
            ("flood", 4, 1.5),
            ("usual", 0.7, 0.3),
        ):
            key = WorkKey("model", 1, team)
            self.shares.record_request(key, requested)
            self.shares.record_served(key, served)
        self.selector = TargetSelector(
            clock=clock,
            rng=random.Random(1),
            fleet=self.world.fleet,
            region="here",
            read_capacities=list,
            read_entries=list,
            read_closed_data_centres=frozenset,
            hop_address=lambda identity: "",
            mechanisms=settings,
            team_shares=TeamShares(
                clock=clock,
                fleet=self.world.fleet,
                shares=self.shares,
                mechanisms=settings,
                metrics=self.metrics,
            ),
        )

    def fill_queue(self, seconds):
        token_seconds = self.world.fleet.engines.prefill_token_seconds("model")
        tokens = int(seconds / token_seconds)
        self.world.others["a"] = Load.from_ranks(
            [RankLoad(0, 1, tokens, waiting=1)]
        )

    def make_request(self, team):
        now = self.world.clock.now
        return ProxiedRequest(
            request_id="r",
            head=RequestHead(
                method=b"POST",
                target=b"/p/",
                headers=[],
                body=b"",
                keep_alive=True,
                received_at=now,
            ),
            route=make_route(objective_seconds=1.0, rank=1),
            backend=MODEL,
            prompt=make_prompt(100),
            received_at=now,
            deadline=now + 3.0,
            attempts=2,
            team=team,
        )

    def count_refused(self, team, requests=40):
        refused = 0
        for _ in range(requests):
            try:
                self.selector.select(
                    self.make_request(team), RequestProgress()
                )
            except Refusal as refusal:
                refused += "fair share" in refusal.message
        return refused

    def test_team_above_its_share_is_refused_at_once(self):
        self.fill_queue(0.8)
        request, refusal = self.make_request("flood"), None
        while refusal is None:
            try:
                self.selector.select(request, RequestProgress())
            except Refusal as error:
                refusal = error
        self.assertIs(RefusalCode.OVERLOADED, refusal.code)
        self.assertIs(Verdict.NOT_RUN, refusal.verdict)
        self.assertGreaterEqual(refusal.retry_after, 0.3)
        self.assertIn("'flood'", refusal.message)
        self.assertIn('decision="refused",team="flood"', self.metrics.text())

    def test_team_within_its_share_is_served(self):
        self.fill_queue(0.8)
        self.assertEqual(0, self.count_refused("usual"))
        self.assertEqual(0, self.count_refused(None))

    def test_nobody_is_refused_while_endpoints_are_free(self):
        self.fill_queue(0.05)
        self.assertEqual(0, self.count_refused("flood"))

    def test_mechanism_can_be_disabled(self):
        self.make_selector(fair_shares=False)
        self.fill_queue(0.8)
        self.assertEqual(0, self.count_refused("flood"))

    def test_request_counts_once_over_its_attempts(self):
        key, progress = WorkKey("model", 1, "other"), RequestProgress()
        for _ in range(3):
            target = self.selector.select(self.make_request("other"), progress)
        requested = self.shares.read_own_work()[key].requested
        sent = self.world.fleet.record_sent(
            target.choice, MODEL, make_prompt(100), 1
        )
        self.world.fleet.record_output(sent)
        self.world.fleet.record_output(sent)
        self.assertEqual(requested, self.shares.read_own_work()[key].served)


if __name__ == "__main__":
    unittest.main()

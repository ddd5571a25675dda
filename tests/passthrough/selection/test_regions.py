"""Tests of spill-over to other regions.

The local region is at its daily peak and has queues, the other one is idle
and has prefixes cached.
"""

import random
import unittest

from burdockdrum.holdings import PrefixCacheChange
from burdockdrum.http1 import RequestHead
from burdockdrum.passthrough.protocol.model import EndpointTarget
from burdockdrum.passthrough.protocol.model import ProxiedRequest
from burdockdrum.passthrough.protocol.model import RegionTarget
from burdockdrum.passthrough.protocol.model import RequestProgress
from burdockdrum.passthrough.selection.targets import TargetSelector
from burdockdrum.peers import VmIdentity
from burdockdrum.registrations import Load
from burdockdrum.registrations import RankLoad
from burdockdrum.registrations import ServiceCapacity
from tests.passthrough.fakes import FleetHarness
from tests.passthrough.fakes import make_prompt
from tests.passthrough.fakes import make_route
from tests.passthrough.fakes import MODEL

FAR_ENTRY = VmIdentity(
    vm_id="far",
    incarnation=1,
    region="over",
    data_centre="there",
    control_address="tcp://far:1",
    http_address="http://far:2",
)
PLAN = make_prompt(17_000, ("plan", 13_300))


class MovingPeakTest(unittest.TestCase):
    """Which requests are forwarded to another region."""

    def setUp(self):
        self.world = FleetHarness("a")
        self.prefill_token_seconds = (
            self.world.fleet.engines.prefill_token_seconds("model")
        )

    def make_selector(self, crossing_seconds=0.0):
        return TargetSelector(
            clock=self.world.clock,
            rng=random.Random(1),
            fleet=self.world.fleet,
            region="here",
            read_capacities=lambda: [
                ServiceCapacity("over", "model", 1, 8, [])
            ],
            read_entries=lambda: [FAR_ENTRY],
            read_closed_data_centres=frozenset,
            hop_address=lambda identity: identity.http_address,
            crossing_seconds=crossing_seconds,
        )

    def make_request(self, prompt, body=b""):
        now = self.world.clock.now
        return ProxiedRequest(
            request_id="r",
            head=RequestHead(
                method=b"POST",
                target=b"/p/",
                headers=[],
                body=body,
                keep_alive=True,
                received_at=now,
            ),
            route=make_route(objective_seconds=0.8),
            backend=MODEL,
            prompt=prompt,
            received_at=now,
            deadline=now + 8.0,
            attempts=2,
        )

    def fill_queue(self, seconds):
        tokens = int(seconds / self.prefill_token_seconds)
        self.world.others["a"] = Load.from_ranks(
            [RankLoad(0, 1, tokens, waiting=1)]
        )

    def report_prefix(self, endpoint_id, data_centre):
        self.world.prefix_cache_table.apply(
            PrefixCacheChange(
                endpoint_id=endpoint_id,
                address=f"{endpoint_id}:80",
                data_centre=data_centre,
                epoch=1,
                number=1,
                tokens_by_part={"plan": 13_300},
                is_snapshot=True,
            ),
            self.world.clock.now,
        )

    def test_prompt_goes_where_its_prefix_is_cached(self):
        # Guards against forwarding a request to a region where its whole
        # prompt must be prefilled, and against not using a prefix there.
        self.fill_queue(0.4)
        self.report_prefix("a", "dc")
        selector = self.make_selector()
        request = self.make_request(PLAN)
        self.assertIsInstance(
            selector.select(request, RequestProgress()), EndpointTarget
        )
        self.report_prefix("far-1", "there")
        self.fill_queue(0.45)
        self.assertIsInstance(
            selector.select(request, RequestProgress()), RegionTarget
        )

    def test_remote_prefill_accounts_for_a_fetch_from_here(self):
        # Guards against overestimating a remote prefill: an endpoint there
        # can fetch the prefix from here.
        self.report_prefix("a", "dc")
        uncached, fetch = self.world.fleet.prefixes.estimate_in_region(
            MODEL, PLAN, "over", ()
        )
        self.assertEqual(3_700, uncached)
        self.assertTrue(fetch.is_cross_region)

    def test_homes_restrict_fetches(self):
        # Guards against a violation of residency by fetching data from a
        # region where it must not be processed.
        self.report_prefix("a", "dc")
        uncached, fetch = self.world.fleet.prefixes.estimate_in_region(
            MODEL, PLAN, "over", ("over",)
        )
        self.assertEqual(17_000, uncached)
        self.assertIsNone(fetch)

    def test_urgent_request_is_forwarded_rather_than_preempting(self):
        # Guards against preempting a less urgent request at a full endpoint
        # while another region has free slots.
        self.world.others["a"] = Load.from_ranks(
            [RankLoad(0, 7, 0, 0, 0), RankLoad(1, 1, 0, 0, 0)]
        )
        selector = self.make_selector()
        request = self.make_request(make_prompt(300))
        self.assertIsInstance(
            selector.select(request, RequestProgress()), RegionTarget
        )
        self.world.others["a"] = Load.from_ranks([RankLoad(0, 7, 0, 0, 0)])
        self.assertIsInstance(
            selector.select(request, RequestProgress()), EndpointTarget
        )

    def test_long_body_is_forwarded_only_for_a_larger_gain(self):
        # Guards against paying for the traffic of a long body to save 0.05 s.
        self.fill_queue(0.62)
        prompt = make_prompt(1000)
        selector = self.make_selector(crossing_seconds=1.5)
        short = self.make_request(prompt, b"x" * 1000)
        long = self.make_request(prompt, b"x" * 400_000)
        self.assertIsInstance(
            selector.select(short, RequestProgress()), RegionTarget
        )
        self.assertIsInstance(
            selector.select(long, RequestProgress()), EndpointTarget
        )


if __name__ == "__main__":
    unittest.main()


class CutOffEntryTest(unittest.TestCase):
    """Entries that reach no endpoint of a service."""

    def test_entry_is_left_out_for_the_service_that_it_does_not_reach(self):
        # Guards against leaving out an entry that serves other services.
        peak = MovingPeakTest()
        peak.setUp()
        peak.fill_queue(0.6)
        selector = peak.make_selector()

        def select():
            request = peak.make_request(make_prompt(100))
            return selector.select(request, RequestProgress())

        selector.record_cut_off("far", "another service")
        self.assertIsInstance(select(), RegionTarget)
        selector.record_cut_off("far", "model")
        self.assertIsInstance(select(), EndpointTarget)
        peak.world.clock.now += 1.1
        self.assertIsInstance(select(), RegionTarget)

"""Tests of what other regions are expected to offer.

The pattern is a daily peak that moves from region to region: the region at
its peak has queues, others are idle and hold what is asked for.
"""

import random
import unittest

from burdockdrum.holdings import HeldChange
from burdockdrum.http1 import RequestHead
from burdockdrum.passthrough.model import EndpointPlace
from burdockdrum.passthrough.model import PassedRequest
from burdockdrum.passthrough.model import Progress
from burdockdrum.passthrough.model import RegionPlace
from burdockdrum.passthrough.placing import Placing
from burdockdrum.peers import VmIdentity
from burdockdrum.registrations import Load
from burdockdrum.registrations import RankLoad
from burdockdrum.registrations import ServiceRoom
from tests.passthrough.fakes import FleetWorld
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
    """Who is sent to another region, and who stays."""

    def setUp(self):
        self.world = FleetWorld("a")
        self.token_seconds = self.world.fleet.engines.token_seconds("model")

    def make_placing(self, crossing_seconds=0.0):
        return Placing(
            clock=self.world.clock,
            rng=random.Random(1),
            fleet=self.world.fleet,
            region="here",
            read_rooms=lambda: [ServiceRoom("over", "model", 1, 8, [])],
            read_entries=lambda: [FAR_ENTRY],
            read_closed=frozenset,
            hop_address=lambda identity: identity.http_address,
            crossing_seconds=crossing_seconds,
        )

    def make_request(self, prompt, body=b""):
        now = self.world.clock.now
        return PassedRequest(
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

    def fill(self, seconds):
        tokens = int(seconds / self.token_seconds)
        self.world.others["a"] = Load.of([RankLoad(0, 1, tokens, waiting=1)])

    def hold(self, endpoint_id, data_centre):
        self.world.ledger.take(
            HeldChange(
                endpoint_id=endpoint_id,
                address=f"{endpoint_id}:80",
                data_centre=data_centre,
                epoch=1,
                number=1,
                tokens_by_part={"plan": 13_300},
                whole=True,
            ),
            self.world.clock.now,
        )

    def test_prompt_goes_where_its_beginning_is_held(self):
        # Here it waits 0.35 s and then has 3,700 tokens read. In the other
        # region all of it would be read, were its beginning not held there:
        # then it is answered sooner in spite of the way.
        self.fill(0.4)
        self.hold("a", "dc")
        placing = self.make_placing()
        request = self.make_request(PLAN)
        self.assertIsInstance(
            placing.place(request, Progress()), EndpointPlace
        )
        self.hold("far-1", "there")
        self.fill(0.45)
        self.assertIsInstance(placing.place(request, Progress()), RegionPlace)

    def test_fetch_from_here_counts_less_than_reading_it_all(self):
        # Only an endpoint here holds the beginning. One there would fetch
        # it, which takes less than reading 13,300 tokens.
        self.hold("a", "dc")
        unread, fetch = self.world.fleet.beginnings.expect_elsewhere(
            MODEL, PLAN, "over", ()
        )
        self.assertEqual(3_700, unread)
        self.assertTrue(fetch.is_far)

    def test_homes_bind_what_is_fetched(self):
        # What may not be processed in a region may not be fetched there.
        self.hold("a", "dc")
        unread, fetch = self.world.fleet.beginnings.expect_elsewhere(
            MODEL, PLAN, "over", ("over",)
        )
        self.assertEqual(17_000, unread)
        self.assertIsNone(fetch)

    def test_urgent_request_goes_elsewhere_before_it_pushes_another_out(self):
        # All slots here are taken, one of them by a long request that is
        # less urgent. An engine would put that one back, and its caller
        # would get nothing for a second; the other region has free slots.
        self.world.others["a"] = Load.of(
            [RankLoad(0, 7, 0, 0, 0), RankLoad(1, 1, 0, 0, 0)]
        )
        placing = self.make_placing()
        request = self.make_request(make_prompt(300))
        self.assertIsInstance(placing.place(request, Progress()), RegionPlace)
        self.world.others["a"] = Load.of([RankLoad(0, 7, 0, 0, 0)])
        self.assertIsInstance(
            placing.place(request, Progress()), EndpointPlace
        )

    def test_long_body_needs_a_better_reason(self):
        # The answer would come 0.05 s sooner; a megabyte on its way between
        # regions counts 1.5 s.
        self.fill(0.62)
        prompt = make_prompt(1000)
        placing = self.make_placing(crossing_seconds=1.5)
        short = self.make_request(prompt, b"x" * 1000)
        long = self.make_request(prompt, b"x" * 400_000)
        self.assertIsInstance(placing.place(short, Progress()), RegionPlace)
        self.assertIsInstance(placing.place(long, Progress()), EndpointPlace)


if __name__ == "__main__":
    unittest.main()

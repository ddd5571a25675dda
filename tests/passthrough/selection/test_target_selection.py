"""Tests of load shedding and of its Retry-After."""

import random
import unittest

from burdockdrum.http1 import RequestHead
from burdockdrum.passthrough.protocol.model import EndpointTarget
from burdockdrum.passthrough.protocol.model import ProxiedRequest
from burdockdrum.passthrough.protocol.model import RequestProgress
from burdockdrum.passthrough.selection import MIN_QUEUE_SECONDS
from burdockdrum.passthrough.selection.targets import TargetSelector
from burdockdrum.registrations import Load
from burdockdrum.registrations import RankLoad
from burdockdrum.settings import MechanismSettings
from burdockdrum.streams import StreamOrigin
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import Verdict
from tests.passthrough.fakes import FleetHarness
from tests.passthrough.fakes import make_prompt
from tests.passthrough.fakes import make_route
from tests.passthrough.fakes import MODEL


class OverloadTest(unittest.TestCase):
    """A burst on the only endpoint, without another region to spill to.

    Requests that would miss the latency objective of 1 s are refused, as they
    would make later ones miss it too.
    """

    def setUp(self):
        self.world = FleetHarness("a")
        self.prefill_token_seconds = (
            self.world.fleet.engines.prefill_token_seconds("model")
        )

    def make_selector(self, **mechanisms):
        return TargetSelector(
            clock=self.world.clock,
            rng=random.Random(1),
            fleet=self.world.fleet,
            region="here",
            read_capacities=list,
            read_entries=list,
            read_closed_data_centres=frozenset,
            hop_address=lambda identity: "",
            mechanisms=MechanismSettings(**mechanisms),
        )

    def make_request(self, since=0.0, tokens=100):
        now = self.world.clock.now
        return ProxiedRequest(
            request_id="r",
            head=RequestHead(
                method=b"POST",
                target=b"/p/",
                headers=[],
                body=b"",
                keep_alive=True,
                received_at=now - since,
            ),
            route=make_route(objective_seconds=1.0),
            backend=MODEL,
            prompt=make_prompt(tokens),
            received_at=now - since,
            deadline=now + 3.0,
            attempts=2,
        )

    def fill_queue(self, seconds):
        tokens = int(seconds / self.prefill_token_seconds)
        self.world.others["a"] = Load.from_ranks(
            [RankLoad(0, 1, tokens, waiting=1)]
        )

    def test_request_within_its_objective_is_accepted(self):
        self.fill_queue(0.9)
        target = self.make_selector().select(
            self.make_request(), RequestProgress()
        )
        self.assertIsInstance(target, EndpointTarget)

    def test_request_beyond_its_objective_is_refused(self):
        # Retry-After is the time until the queue is short enough.
        self.fill_queue(1.5)
        with self.assertRaises(Refusal) as raised:
            self.make_selector().select(self.make_request(), RequestProgress())
        self.assertIs(Verdict.NOT_RUN, raised.exception.verdict)
        self.assertAlmostEqual(0.5, raised.exception.retry_after, delta=0.1)

    def test_own_prefill_time_counts(self):
        """Guards against accepting prompts whose own prefill is too late."""
        tokens = int(0.3 / self.prefill_token_seconds)
        select = self.make_selector().select
        self.fill_queue(0.5)
        select(self.make_request(tokens=tokens), RequestProgress())
        self.fill_queue(0.85)
        select(self.make_request(), RequestProgress())
        with self.assertRaises(Refusal):
            select(self.make_request(tokens=tokens), RequestProgress())

    def test_longest_prompts_are_accepted(self):
        """Guards against refusing the longest prompts at any load."""
        tokens = int(1.5 / self.prefill_token_seconds)
        self.fill_queue(0.2)
        request = self.make_request(tokens=tokens)
        target = self.make_selector().select(request, RequestProgress())
        self.assertIsInstance(target, EndpointTarget)

    def test_request_past_its_objective_queues_only_briefly(self):
        # Guards against a late request delaying those that are in time. It
        # was held while the routes were not known yet.
        request = self.make_request(since=2.0)
        self.fill_queue(MIN_QUEUE_SECONDS / 2)
        target = self.make_selector().select(request, RequestProgress())
        self.assertIsInstance(target, EndpointTarget)
        self.fill_queue(MIN_QUEUE_SECONDS * 2)
        with self.assertRaises(Refusal):
            self.make_selector().select(request, RequestProgress())

    def test_stream_that_goes_on_queues_as_long_as_a_new_one(self):
        # Guards against a stream that is cut though an endpoint of its
        # version has room soon.
        self.fill_queue(MIN_QUEUE_SECONDS * 4)
        origin = StreamOrigin(service="model", software_version="")
        target = self.make_selector().select(
            self.make_request(since=2.0), RequestProgress(origin=origin)
        )
        self.assertIsInstance(target, EndpointTarget)

    def test_withdrawn_request_queues_as_long_as_a_new_one(self):
        # Guards against a refusal of a request for the time that it spent at
        # an endpoint that hung, as its sound successor had been withdrawn.
        self.fill_queue(MIN_QUEUE_SECONDS * 4)
        target = self.make_selector().select(
            self.make_request(since=2.0),
            RequestProgress(withdrawn={"another"}),
        )
        self.assertIsInstance(target, EndpointTarget)

    def test_early_refusal_can_be_disabled(self):
        selector = self.make_selector(early_refusal=False)
        self.fill_queue(2.5)
        target = selector.select(self.make_request(), RequestProgress())
        self.assertIsInstance(target, EndpointTarget)
        self.fill_queue(3.5)
        with self.assertRaises(Refusal):
            selector.select(self.make_request(), RequestProgress())


if __name__ == "__main__":
    unittest.main()

"""Tests of long outputs beside bursts of prompts, on slow endpoints.

The load: summaries of 12,000 prompt tokens whose outputs must end in time and
without long pauses, beside short urgent questions; each region in turn gets
nearly three times its mean within seconds, and the engines differ in speed
and are slow at times.
"""

from dataclasses import replace
import random
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from burdockdrum.http1 import RequestHead
from burdockdrum.passthrough.protocol.model import EndpointTarget
from burdockdrum.passthrough.protocol.model import ProxiedRequest
from burdockdrum.passthrough.protocol.model import RegionTarget
from burdockdrum.passthrough.protocol.model import RequestProgress
from burdockdrum.passthrough.selection.output_pace import OutputNeeds
from burdockdrum.passthrough.selection.targets import TargetSelector
from burdockdrum.passthrough.state import ExpectedWait
from burdockdrum.passthrough.state import Prompt
from burdockdrum.passthrough.state import RatedEndpoint
from burdockdrum.peers import VmIdentity
from burdockdrum.registrations import Load
from burdockdrum.registrations import RankLoad
from burdockdrum.registrations import ServiceCapacity
from burdockdrum.settings import MechanismSettings
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import Verdict
from scripts.experiment.passed.loads import DAYS
from scripts.experiment.passed.shapes import MIXES
from scripts.experiment.passed.shapes import SHAPES
from scripts.experiment.passed.simulation import simulate_day
from scripts.experiment.passed.variants import PolicyVariant
from tests.passthrough.fakes import FleetHarness
from tests.passthrough.fakes import make_endpoint
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
SLOW_STEP_SECONDS = 0.02


def make_long(hint):
    """Return a short prompt with a long output."""
    return Prompt(
        tokens=100, max_output_tokens=1200, hinted_output_tokens=hint
    )


class OutputPaceTest(unittest.TestCase):
    """Where outputs are written, and which are not begun."""

    def setUp(self):
        self.world = FleetHarness("a")
        self.capacities = []
        # All outputs were written slowly lately.
        for _ in range(200):
            self.world.fleet.engines.record_decode(
                "model", SLOW_STEP_SECONDS, 0.0, 600
            )

    def set_writing(self, endpoint_id, requests):
        self.world.others[endpoint_id] = Load.from_ranks(
            [RankLoad(2, requests, 0)]
        )

    def select(self, prompt, progress=None, rank=0):
        now = self.world.clock.now
        selector = TargetSelector(
            clock=self.world.clock,
            rng=random.Random(1),
            fleet=self.world.fleet,
            region="here",
            read_capacities=lambda: self.capacities,
            read_entries=lambda: [FAR_ENTRY],
            read_closed_data_centres=frozenset,
            hop_address=lambda identity: identity.http_address,
        )
        request = ProxiedRequest(
            request_id="r",
            head=RequestHead(
                method=b"POST",
                target=b"/p/",
                headers=[],
                body=b"",
                keep_alive=True,
                received_at=now,
            ),
            route=make_route(rank=rank),
            backend=MODEL,
            prompt=prompt,
            received_at=now,
            deadline=now + 8.0,
            attempts=2,
        )
        return selector.select(request, progress or RequestProgress())

    def test_prompt_goes_where_it_delays_few_responses(self):
        # Guards against pauses in responses that have no tokens to prefill.
        self.world.endpoints["b"] = make_endpoint("b", slots=64)
        self.world.endpoints["a"] = make_endpoint("a", slots=64)
        self.set_writing("a", 30)
        self.set_writing("b", 4)
        chosen = {
            self.world.choose(make_prompt(12_000)).endpoint.endpoint_id
            for _ in range(20)
        }
        self.assertEqual({"b"}, chosen)

    def test_output_that_would_be_cut_is_not_begun(self):
        self.set_writing("a", 2)
        with self.assertRaises(Refusal) as raised:
            self.select(make_long(1100))
        self.assertIs(Verdict.NOT_RUN, raised.exception.verdict)
        self.assertGreater(raised.exception.retry_after, 0)

    def test_output_that_may_be_shorter_is_begun(self):
        # Guards against refusing outputs whose length is only estimated.
        self.set_writing("a", 2)
        self.assertIsInstance(self.select(make_long(600)), EndpointTarget)

    def test_idle_endpoint_gets_the_output(self):
        # Guards against estimates that are never corrected, as nothing runs.
        self.assertIsInstance(self.select(make_long(600)), EndpointTarget)

    def test_maximum_length_alone_refuses_nothing(self):
        # Guards against refusing callers that give no estimate.
        self.set_writing("a", 2)
        self.assertIsInstance(self.select(make_long(None)), EndpointTarget)

    def test_response_that_has_begun_is_continued(self):
        self.set_writing("a", 2)
        progress = RequestProgress(first_chunk_at=self.world.clock.now)
        target = self.select(make_long(600), progress)
        self.assertIsInstance(target, EndpointTarget)

    def test_region_that_can_finish_gets_the_output(self):
        # Guards against keeping an output here as its first token is early.
        engines = self.world.fleet.engines
        for _ in range(200):
            engines.record_decode("model", 0.002, 0.0, 600)
            engines.record_decode("model", 0.030, 0.9, 600)
        recent = int(2.0 / engines.prefill_token_seconds("model"))
        self.world.others["a"] = Load.from_ranks([RankLoad(0, 1, 0, recent)])
        self.capacities = [ServiceCapacity("over", "model", 1, 8, [])]
        self.assertIsInstance(self.select(make_long(600)), RegionTarget)

    def test_less_urgent_prompt_leaves_slow_urgent_responses_alone(self):
        # Guards against prompts that make more urgent outputs be cut.
        deadline = self.world.clock.now + 10.0
        choice = self.world.choose(make_long(300))
        sent = self.world.fleet.record_sent(
            choice, MODEL, make_long(300), 0, deadline=deadline
        )
        for _ in range(3):
            self.world.clock.now += 0.3
            self.world.fleet.record_output(sent)
        [reported] = self.world.fleet.read_own_load()["a"]
        self.assertEqual(1, reported.behind)
        with self.assertRaises(Refusal) as raised:
            self.select(make_long(10), rank=2)
        self.assertIn("more urgent", raised.exception.message)
        self.assertIsInstance(self.select(make_long(10)), EndpointTarget)
        self.capacities = [ServiceCapacity("over", "model", 1, 8, [])]
        self.assertIsInstance(self.select(make_long(10), rank=2), RegionTarget)

    @settings(max_examples=50, deadline=None)
    @given(
        strategies.lists(strategies.floats(0, 20), min_size=1),
        strategies.floats(0, 20),
        strategies.sampled_from([0.0, 0.1]),
    )
    def test_endpoints_that_meet_the_needs_are_preferred(
        self, outputs, seconds_left, max_pause
    ):
        rated = [
            RatedEndpoint(
                endpoint=make_endpoint(str(number)),
                wait=ExpectedWait(queue=0.0, service_time=0.1, output=output),
                uncached_tokens=100,
            )
            for number, output in enumerate(outputs)
        ]
        needs = OutputNeeds(
            prompt=make_long(600),
            seconds_left=seconds_left,
            max_pause_seconds=max_pause,
        )
        preferred = needs.prefer_meeting(rated)
        self.assertLessEqual(
            {one.endpoint.endpoint_id for one in preferred},
            {one.endpoint.endpoint_id for one in rated},
        )
        is_met = {needs.are_met(one.wait) for one in preferred}
        self.assertEqual(1, len(is_met))
        if True not in is_met:
            self.assertEqual(rated, preferred)


class LongOutputsLoadTest(unittest.TestCase):
    """The load itself, for 20 s."""

    def simulate(self, **mechanisms):
        result, outcomes = simulate_day(
            day=replace(DAYS["steep peaks"], seconds=20.0),
            mix=MIXES["long outputs"],
            shape=SHAPES["uneven"],
            variant=PolicyVariant(
                name="policy", mechanisms=MechanismSettings(**mechanisms)
            ),
            seed=0,
        )
        cut = [o for o in outcomes if o.first_at and not o.is_complete]
        return result.worth, len(cut) / len(outcomes)

    def test_outputs_are_written_in_time(self):
        worth, cut = self.simulate()
        worth_without, cut_without = self.simulate(output_pace=False)
        self.assertGreater(worth, worth_without + 0.05)
        self.assertLess(cut, 0.01)
        self.assertLess(cut, cut_without)

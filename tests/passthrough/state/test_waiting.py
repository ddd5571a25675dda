"""Tests of wait estimates and of the load they are computed from."""

import unittest

from burdockdrum.passthrough.state.prompts import Prompt
from burdockdrum.passthrough.state.wait_estimates import decode_risk_seconds
from burdockdrum.passthrough.state.wait_estimates import estimate_queue
from burdockdrum.passthrough.state.wait_estimates import ExpectedWait
from burdockdrum.passthrough.state.wait_estimates import MIN_CAPACITY_FRACTION
from burdockdrum.registrations import Load
from burdockdrum.registrations import RankLoad
from burdockdrum.registrations import RankSum

# An engine that prefills 85,000 tokens per second, with decode steps of 3.5 ms
# alone and 27.5 ms during prefill.
TOKEN_SECONDS = 1 / 85_000
STEP_SECONDS = 0.0035
READING_STEP_SECONDS = 0.024


class QueueTest(unittest.TestCase):
    """Short requests of rank 0 among long ones of rank 1 on full engines.

    Engines admit the lower rank first although their slots are full.
    """

    def queue(self, load, rank):
        return estimate_queue(
            load,
            rank=rank,
            slots=32,
            run_seconds=1.2,
            prefill_token_seconds=TOKEN_SECONDS,
        )

    def test_urgent_request_does_not_wait_for_less_urgent_ones(self):
        # Guards against refusing urgent requests because of less urgent ones:
        # they only wait for the rest of the prefill that is running.
        load = Load.from_ranks([RankLoad(1, 60, 340_000, waiting=60)])
        self.assertAlmostEqual(4.0 / 60, self.queue(load, 0))

    def test_running_prefill_is_not_preempted(self):
        # Guards against assuming that an engine preempts a running prefill.
        load = Load.from_ranks([RankLoad(1, 1, 17_000, waiting=1)])
        self.assertAlmostEqual(0.2, self.queue(load, 0))

    def test_less_urgent_request_waits_for_all_before_it(self):
        load = Load.from_ranks(
            [
                RankLoad(0, 10, 25_500, waiting=10),
                RankLoad(1, 40, 170_000, waiting=30),
            ]
        )
        # 19 requests exceed the slots; a slot is released every 1.2 / 32 s.
        expected = 2.3 + 19 * 1.2 / 32
        self.assertAlmostEqual(expected, self.queue(load, 1))

    def test_less_urgent_request_waits_for_urgent_arrivals(self):
        # Guards against ignoring urgent arrivals: as they use half of the
        # engine's time, a less urgent request queues twice as long.
        coming = RankLoad(0, 0, 0, recent_tokens=85_000)
        load = Load.from_ranks([coming, RankLoad(1, 3, 17_000, waiting=3)])
        self.assertAlmostEqual(0.4, self.queue(load, 1))
        self.assertAlmostEqual(0.2 / 3, self.queue(load, 0))
        flood = RankLoad(0, 0, 0, recent_tokens=850_000)
        load = Load.from_ranks([flood, RankLoad(1, 3, 17_000, waiting=3)])
        self.assertAlmostEqual(
            0.2 / MIN_CAPACITY_FRACTION, self.queue(load, 1)
        )

    def test_idle_endpoint_has_no_queue(self):
        self.assertEqual(0.0, self.queue(Load(), 0))


class WritingTest(unittest.TestCase):
    """Outputs that may be late at endpoints that are busy with prefill."""

    PROMPT = Prompt(tokens=12_000, max_output_tokens=390)

    def total(self, prompt, busy, own):
        step = STEP_SECONDS + busy * READING_STEP_SECONDS
        output = prompt.expected_output_tokens * step
        risk = decode_risk_seconds(output, 10.0)
        return ExpectedWait(queue=0.0, service_time=own, penalty=risk).total

    def test_long_output_goes_where_decoding_is_faster(self):
        # Guards against choosing an endpoint by the first token alone, where
        # decoding 390 tokens would take 10 s.
        busy = self.total(self.PROMPT, 1.0, 0.15)
        self.assertLess(self.total(self.PROMPT, 0.3, 0.15 + 0.12), busy)

    def test_no_decode_risk_at_the_usual_load(self):
        # Guards against needless hops for outputs that end in time.
        self.assertEqual(0.15, self.total(self.PROMPT, 0.4, 0.15))
        query = Prompt(tokens=2400, max_output_tokens=23)
        self.assertEqual(0.03, self.total(query, 1.0, 0.03))

    def test_output_hint_counts_up_to_the_maximum(self):
        # Guards against using the maximum output length as an estimate, and
        # against trusting a hint above the maximum.
        hinted = Prompt(
            tokens=12_000, max_output_tokens=1116, hinted_output_tokens=360
        )
        self.assertEqual(0.15, self.total(hinted, 0.4, 0.15))
        unknown = Prompt(tokens=12_000, max_output_tokens=1116)
        self.assertGreater(self.total(unknown, 0.4, 0.15), 1.0)
        wrong = Prompt(
            tokens=12_000, max_output_tokens=100, hinted_output_tokens=9000
        )
        self.assertEqual(100, wrong.expected_output_tokens)


class LoadTest(unittest.TestCase):
    """Arithmetic on loads."""

    def test_subtraction_never_goes_below_zero(self):
        load = Load()
        load.add(0, RankSum(requests=1, waiting=1, uncached_tokens=200))
        load.add(0, RankSum(requests=2, waiting=2, uncached_tokens=500), -1)
        self.assertEqual(RankSum(), load.up_to(9))

    def test_ranks_round_trip(self):
        load = Load.from_ranks(
            [RankLoad(0, 2, 100), RankLoad(1, 1, 900, 2500, 1)]
        )
        self.assertEqual(2500, load.recent_tokens)
        self.assertEqual(load, Load.from_ranks(load.ranks()))
        urgent, rest = load.up_to(0), load.above(0)
        self.assertEqual((2, 100), (urgent.requests, urgent.uncached_tokens))
        self.assertEqual((1, 900), (rest.requests, rest.uncached_tokens))
        self.assertEqual(1, rest.waiting)

    def test_average_of_several_endpoints(self):
        load = Load.from_ranks([RankLoad(0, 6, 900, 300, 3)]).scaled(1 / 3)
        expected = RankSum(
            requests=2, waiting=1, uncached_tokens=300, recent_tokens=100
        )
        self.assertEqual(expected, load.up_to(0))

"""Tests of the learned errors of wait estimates.

At peak load, engines also decode for dozens of requests, so that responses
start later than the known queue explains.
"""

import unittest

from burdockdrum.passthrough.state.estimate_errors import EstimateErrors
from burdockdrum.registrations import Load
from burdockdrum.registrations import RankLoad
from tests.passthrough.fakes import FleetHarness
from tests.passthrough.fakes import make_prompt
from tests.passthrough.fakes import MODEL

PEAK = 0.7
CALM = 0.1


class EstimateErrorsTest(unittest.TestCase):
    """Errors by rank and prefill share."""

    def setUp(self):
        self.errors = EstimateErrors()

    def record(self, busy, seconds, number=100, rank=0):
        for _ in range(number):
            self.errors.record(rank, busy, seconds)

    def test_errors_at_busy_engines_apply_there_only(self):
        self.record(PEAK, 0.3)
        self.record(CALM, 0.0)
        self.assertAlmostEqual(0.3, self.errors.expect(0, PEAK), delta=0.01)
        self.assertEqual(0.0, self.errors.expect(0, CALM))

    def test_expected_error_never_decreases_with_prefill_share(self):
        # Guards against one early response attracting all further requests.
        self.record(PEAK, 0.3)
        self.record(0.95, -0.1, number=1)
        self.assertAlmostEqual(0.3, self.errors.expect(0, 0.95), delta=0.01)

    def test_few_samples_suffice_after_a_start(self):
        # Guards against learning too late: an entry VM sees only a few long
        # prompts in the first seconds of a peak.
        self.record(PEAK, 0.4, number=3)
        self.assertGreater(self.errors.expect(0, PEAK), 0.2)

    def test_expected_error_is_never_negative(self):
        self.record(PEAK, -0.2)
        self.assertEqual(0.0, self.errors.expect(0, PEAK))

    def test_ranks_have_separate_errors(self):
        # Less urgent requests wait for the urgent ones, which don't.
        self.record(PEAK, 0.3, rank=1)
        self.assertEqual(0.0, self.errors.expect(0, PEAK))

    def test_outlier_is_clipped(self):
        self.record(PEAK, 0.0, number=30)
        self.record(PEAK, 60.0, number=1)
        self.assertLess(self.errors.expect(0, PEAK), 0.11)


class BusyEngineTest(unittest.TestCase):
    """How learned errors change the choice of an endpoint."""

    def test_learned_errors_change_the_choice(self):
        # Guards against preferring an endpoint with a short queue whose
        # responses are nevertheless late, as it was sent much recently.
        world = FleetHarness("busy", "idle")
        tokens = int(1.5 / world.fleet.engines.prefill_token_seconds("model"))
        world.others["busy"] = Load.from_ranks(
            [RankLoad(0, 1, 500, tokens, 1)]
        )
        world.others["idle"] = Load.from_ranks(
            [RankLoad(0, 1, 3000, 0, waiting=1)]
        )
        before = world.choose(make_prompt(1000))
        self.assertEqual("busy", before.endpoint.endpoint_id)
        for _ in range(50):
            in_flight_request = world.fleet.record_sent(
                before, MODEL, make_prompt(1000), 0
            )
            world.clock.now += (
                before.wait.queue + before.wait.service_time + 0.3
            )
            world.fleet.record_output(in_flight_request)
            world.fleet.record_end(in_flight_request, MODEL, whole=False)
        after = world.choose(make_prompt(1000))
        self.assertEqual("idle", after.endpoint.endpoint_id)

    def test_requests_that_end_without_a_response_count(self):
        # Guards against learning from those only that were served: an
        # endpoint whose queue is too long seems right until all are late.
        world = FleetHarness("a")
        errors = world.fleet._timings.errors_of("model")
        for _ in range(10):
            in_flight_request = world.send(make_prompt(1000), rank=2)
            wait = in_flight_request.choice.wait
            world.clock.now += wait.queue + wait.service_time + 0.2
            world.fleet.record_end(in_flight_request, MODEL, whole=False)
        share = in_flight_request.choice.prefill_share
        self.assertGreater(errors.expect(2, share), 0.1)

    def test_attempts_that_fail_at_once_do_not_count(self):
        world = FleetHarness("a")
        in_flight_request = world.send(make_prompt(1000), rank=2)
        world.fleet.record_end(in_flight_request, MODEL, whole=False)
        errors = world.fleet._timings.errors_of("model")
        self.assertEqual(0.0, errors.expect(2, 1.0))


if __name__ == "__main__":
    unittest.main()

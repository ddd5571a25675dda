"""Tests of how much later first parts come than is expected.

The pattern is a region at its peak: its engines also write for dozens of
requests, and give first parts later than what is known to be before them.
"""

import unittest

from burdockdrum.passthrough.estimate_errors import EstimateErrors
from burdockdrum.registrations import Load
from burdockdrum.registrations import RankLoad
from tests.passthrough.fakes import FleetWorld
from tests.passthrough.fakes import make_prompt
from tests.passthrough.fakes import MODEL

PEAK = 0.7
CALM = 0.1


class EstimateErrorsTest(unittest.TestCase):
    """What is learned from errors."""

    def setUp(self):
        self.errors = EstimateErrors()

    def note(self, busy, seconds, number=100, rank=0):
        for _ in range(number):
            self.errors.note(rank, busy, seconds)

    def test_late_parts_at_busy_engines_are_expected_there_only(self):
        self.note(PEAK, 0.3)
        self.note(CALM, 0.0)
        self.assertAlmostEqual(0.3, self.errors.expect(0, PEAK), delta=0.01)
        self.assertEqual(0.0, self.errors.expect(0, CALM))

    def test_busier_engine_is_never_expected_to_be_sooner(self):
        # One lucky request at an engine that reads all the time must not
        # draw all others there.
        self.note(PEAK, 0.3)
        self.note(0.95, -0.1, number=1)
        self.assertAlmostEqual(0.3, self.errors.expect(0, 0.95), delta=0.01)

    def test_a_few_late_parts_are_enough_after_a_start(self):
        # One of seventy entries sees three long prompts in the first four
        # seconds of a peak; what it learned after twenty would be too late.
        self.note(PEAK, 0.4, number=3)
        self.assertGreater(self.errors.expect(0, PEAK), 0.2)

    def test_early_parts_promise_nothing(self):
        self.note(PEAK, -0.2)
        self.assertEqual(0.0, self.errors.expect(0, PEAK))

    def test_ranks_are_told_apart(self):
        # Urgent ones are let in first; the others wait for them.
        self.note(PEAK, 0.3, rank=1)
        self.assertEqual(0.0, self.errors.expect(0, PEAK))

    def test_lost_endpoint_counts_for_little(self):
        self.note(PEAK, 0.0, number=30)
        self.note(PEAK, 60.0, number=1)
        self.assertLess(self.errors.expect(0, PEAK), 0.11)


class BusyEngineTest(unittest.TestCase):
    """What an entry makes of them."""

    def test_work_goes_where_first_parts_come_as_expected(self):
        # One of two endpoints has less waiting and was sent much lately:
        # what it gives comes later than what waits there says, and a caller
        # who is sent there is late.
        world = FleetWorld("busy", "idle")
        tokens = int(1.5 / world.fleet.engines.token_seconds("model"))
        world.others["busy"] = Load.of([RankLoad(0, 1, 500, tokens, 1)])
        world.others["idle"] = Load.of([RankLoad(0, 1, 3000, 0, waiting=1)])
        before = world.choose(make_prompt(1000))
        self.assertEqual("busy", before.endpoint.endpoint_id)
        for _ in range(50):
            placement = world.fleet.begin(before, MODEL, make_prompt(1000), 0)
            world.clock.now += before.wait.queue + before.wait.own + 0.3
            world.fleet.note_output(placement)
            world.fleet.end(placement, MODEL, whole=False)
        after = world.choose(make_prompt(1000))
        self.assertEqual("idle", after.endpoint.endpoint_id)


if __name__ == "__main__":
    unittest.main()

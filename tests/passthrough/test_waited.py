"""Tests of telling callers that have asked before from new ones."""

import random
import unittest

from burdockdrum.passthrough.waited import WaitedTimes


class WaitedTest(unittest.TestCase):
    """The pattern: after a stop, those refused come back beside new ones."""

    def setUp(self):
        self.waited = WaitedTimes()

    def note_usual(self, number=20):
        """Let callers ask for the first time, with 3 s each."""
        return [self.waited.note("r", 3.0) for _ in range(number)]

    def test_caller_with_less_time_left_has_asked_before(self):
        self.assertEqual({0.0}, set(self.note_usual()))
        self.assertAlmostEqual(1.2, self.waited.note("r", 1.8))
        self.assertEqual(0.0, self.waited.note("r", 2.97))

    def test_routes_are_told_apart(self):
        self.note_usual()
        self.assertEqual(0.0, self.waited.note("other", 1.8))

    def test_nothing_is_said_of_callers_with_times_of_their_own(self):
        """Short requests are taken for late ones, and refused."""
        rng = random.Random(1)
        for _ in range(500):
            self.waited.note("r", rng.uniform(0.5, 30.0))
        said = [
            self.waited.note("r", rng.uniform(0.5, 30.0)) for _ in range(500)
        ]
        self.assertLess(sum(value > 0 for value in said), 50)

    def test_first_callers_after_a_start_are_not_judged(self):
        early = [self.waited.note("r", left) for left in (1.0, 3.0, 2.0, 1.5)]
        self.assertEqual({0.0}, set(early))

    def test_one_odd_caller_does_not_end_it(self):
        """Nobody is known to have asked before once one waits for an hour."""
        self.note_usual()
        self.waited.note("r", 3600.0)
        self.note_usual(300)
        self.assertAlmostEqual(1.2, self.waited.note("r", 1.8))

    def test_most_may_come_back_at_once(self):
        self.note_usual(100)
        for _ in range(40):
            self.waited.note("r", 2.0)
        self.assertAlmostEqual(1.0, self.waited.note("r", 2.0))


if __name__ == "__main__":
    unittest.main()

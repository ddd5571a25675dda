"""Tests of the memory of what refused requests were told."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from burdockdrum.passthrough.waiting.returns import EARLY_SECONDS
from burdockdrum.passthrough.waiting.returns import MAX_REMEMBERED
from burdockdrum.passthrough.waiting.returns import ReturnTimes


class ReturnTimesTest(unittest.TestCase):
    """A request was refused at 0 s."""

    @given(st.floats(0.3, 3.0), st.lists(st.floats(0.0, 3.0), max_size=10))
    def test_caller_gains_nothing_by_repeating_sooner(self, told, repeats):
        times = ReturnTimes()
        times.remember("a", seconds=told, now=0.0)
        may_come_at = told
        for now in sorted(repeats):
            if now >= may_come_at - EARLY_SECONDS:
                break
            self.assertEqual(told, times.seconds_too_early("a", now))
            may_come_at = now + told
        self.assertEqual(0.0, times.seconds_too_early("a", may_come_at))

    def test_other_requests_and_those_without_a_key_may_come(self):
        times = ReturnTimes()
        times.remember("a", seconds=1.0, now=0.0)
        times.remember(None, seconds=1.0, now=0.0)
        self.assertEqual(0.0, times.seconds_too_early("b", 0.0))
        self.assertEqual(0.0, times.seconds_too_early(None, 0.0))

    def test_memory_is_bounded_and_old_times_are_forgotten(self):
        times = ReturnTimes()
        for number in range(MAX_REMEMBERED + 1):
            times.remember(number, seconds=1.0, now=0.0)
        self.assertEqual(0.0, times.seconds_too_early(MAX_REMEMBERED, 0.0))
        times.remember("new", seconds=1.0, now=3.0)
        self.assertGreater(times.seconds_too_early("new", 3.0), 0.0)


if __name__ == "__main__":
    unittest.main()

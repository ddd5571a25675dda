"""Tests of the memory of what refused requests were told."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from burdockdrum.passthrough.waiting.returns import EARLY_SECONDS
from burdockdrum.passthrough.waiting.returns import MAX_REMEMBERED
from burdockdrum.passthrough.waiting.returns import MAX_TIMES
from burdockdrum.passthrough.waiting.returns import ReturnTimes
from burdockdrum.passthrough.waiting.returns import ROUNDING_SECONDS

TOLD = st.floats(0.3, 3.0)


class ReturnTimesTest(unittest.TestCase):
    """Requests were refused at 0 s."""

    @given(TOLD, st.lists(st.floats(0.0, 3.0), min_size=1, max_size=30))
    def test_caller_gains_nothing_by_repeating_sooner(self, told, repeats):
        # It is told the rest of its time, and has no tolerance beyond the
        # rounding of what it was told.
        times = ReturnTimes()
        times.remember("a", seconds=told, now=0.0)
        came_early = False
        for now in sorted(repeats):
            tolerance = ROUNDING_SECONDS if came_early else EARLY_SECONDS
            if now >= told - tolerance:
                break
            self.assertEqual(told - now, times.seconds_too_early("a", now))
            came_early = True
        if came_early:
            just_before = told - 2 * ROUNDING_SECONDS
            self.assertGreater(times.seconds_too_early("a", just_before), 0.0)
        self.assertEqual(0.0, times.seconds_too_early("a", told))

    def test_rest_that_was_rounded_down_is_kept_to(self):
        # Guards against refusing a caller that came early once and then
        # waited as the two decimals of Retry-After say.
        times = ReturnTimes()
        times.remember("a", seconds=0.474, now=0.0)
        rest = times.seconds_too_early("a", 0.02)
        self.assertEqual(0.0, times.seconds_too_early("a", 0.02 + 0.45))
        self.assertAlmostEqual(0.454, rest)

    @given(
        st.lists(TOLD, min_size=1, max_size=10),
        st.lists(st.floats(0.0, 3.0), max_size=60),
    )
    def test_early_requests_move_no_time_of_others(self, told, arrivals):
        # Guards against callers with one prompt that keep each other away:
        # whatever comes in between, none waits longer than the last was told.
        times = ReturnTimes()
        for seconds in told:
            times.remember("a", seconds=seconds, now=0.0)
        last = max(told)
        for now in sorted(arrivals):
            rest = times.seconds_too_early("a", now)
            self.assertLessEqual(now + rest, max(now, last) + 1e-9)
        for _ in range(2 * len(told)):
            self.assertEqual(0.0, times.seconds_too_early("a", last))

    @given(st.lists(TOLD, min_size=1, max_size=10))
    def test_as_many_may_come_as_were_told_a_time(self, told):
        times = ReturnTimes()
        for seconds in told:
            times.remember("a", seconds=seconds, now=0.0)
        for seconds in sorted(told):
            self.assertEqual(0.0, times.seconds_too_early("a", seconds))

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

    def test_times_of_one_request_are_bounded(self):
        times = ReturnTimes()
        for _ in range(MAX_TIMES + 5):
            times.remember("a", seconds=1.0, now=0.0)
        for _ in range(MAX_TIMES):
            self.assertEqual(0.0, times.seconds_too_early("a", 1.0))
        self.assertEqual(0.0, times.seconds_too_early("a", 0.0))


if __name__ == "__main__":
    unittest.main()

"""Tests of load balancing with stale load information."""

import collections
import random
import unittest

from hypothesis import given
from hypothesis import strategies

from burdockdrum.passthrough.selection.stale_load import draw
from burdockdrum.passthrough.selection.stale_load import find_level
from tests.drawing import draw as drawn

WAITS = strategies.lists(
    strategies.floats(min_value=0, max_value=5), min_size=1, max_size=30
)


class LevelTest(unittest.TestCase):
    """The level to which expected work raises the lowest waits."""

    def test_work_fills_the_lowest_waits_first(self):
        self.assertAlmostEqual(0.3, find_level([0.1, 1.0], 0.2))
        self.assertAlmostEqual(1.0, find_level([0.1, 1.0], 0.9))
        self.assertAlmostEqual(1.5, find_level([0.1, 1.0], 1.9))

    @drawn(200)
    @given(WAITS, strategies.floats(min_value=0.002, max_value=50))
    def test_filled_work_equals_expected_work(self, waits, expected_work):
        level = find_level(waits, expected_work)
        filled = sum(max(0.0, level - wait) for wait in waits)
        self.assertAlmostEqual(expected_work, filled, places=6)


class HerdTest(unittest.TestCase):
    """Guards against the herd effect.

    Between two load reports, 215 requests of 20 ms each are sent to 14
    endpoints, which are 61% utilized.
    """

    ENDPOINTS = 14
    PER_SECOND = 430
    READING = 0.020
    LAG = 0.5

    def play(self, choose):
        """Return the mean wait over thirty seconds."""
        rng = random.Random(1)
        queues = [0.0] * self.ENDPOINTS
        seen = list(queues)
        waits = []
        step = 1 / self.PER_SECOND
        for number in range(30 * self.PER_SECOND):
            if number % int(self.LAG * self.PER_SECOND) == 0:
                seen = list(queues)
            chosen = choose(seen, rng)
            waits.append(queues[chosen])
            queues[chosen] += self.READING
            queues = [max(0.0, queue - step) for queue in queues]
        return sum(waits) / len(waits)

    def test_mean_wait_is_far_below_that_of_the_least_loaded_choice(self):
        expected_work = self.PER_SECOND * self.READING * self.LAG

        def least_loaded(seen, rng):
            best = min(seen)
            near = [i for i, wait in enumerate(seen) if wait <= best + 0.002]
            return rng.choice(near)

        herd = self.play(least_loaded)
        level = self.play(lambda seen, rng: draw(seen, expected_work, rng))
        self.assertLess(level, herd / 4)

    def test_without_lag_the_least_loaded_is_chosen(self):
        rng = random.Random(1)
        counts = collections.Counter(
            draw([0.2, 0.05, 0.3], 0.002, rng) for _ in range(100)
        )
        self.assertEqual({1: 100}, counts)

"""Tests of choices by loads that are a moment old."""

import collections
import random
import unittest

from hypothesis import given
from hypothesis import strategies

from burdockdrum.passthrough.stale import draw
from burdockdrum.passthrough.stale import find_level
from tests.drawing import draw as drawn

WAITS = strategies.lists(
    strategies.floats(min_value=0, max_value=5), min_size=1, max_size=30
)


class LevelTest(unittest.TestCase):
    """The level that work to come fills the lowest waits up to."""

    def test_work_goes_to_the_lowest_first(self):
        self.assertAlmostEqual(0.3, find_level([0.1, 1.0], 0.2))
        self.assertAlmostEqual(1.0, find_level([0.1, 1.0], 0.9))
        self.assertAlmostEqual(1.5, find_level([0.1, 1.0], 1.9))

    @drawn(200)
    @given(WAITS, strategies.floats(min_value=0.002, max_value=50))
    def test_what_is_filled_up_is_what_comes(self, waits, coming):
        level = find_level(waits, coming)
        filled = sum(max(0.0, level - wait) for wait in waits)
        self.assertAlmostEqual(coming, filled, places=6)


class HerdTest(unittest.TestCase):
    """28 entries before 14 endpoints, 430 requests a second.

    A request takes 20 ms of reading, so the endpoints are busy for 61% of
    the time. Each entry sees what was under way half a second ago, and
    sends 215 requests until it hears again: the busiest region of a
    deployment of the users', at its peak.
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

    def test_waits_are_a_fraction_of_those_of_the_emptiest(self):
        coming = self.PER_SECOND * self.READING * self.LAG

        def emptiest(seen, rng):
            best = min(seen)
            near = [i for i, wait in enumerate(seen) if wait <= best + 0.002]
            return rng.choice(near)

        herd = self.play(emptiest)
        level = self.play(lambda seen, rng: draw(seen, coming, rng))
        self.assertLess(level, herd / 4)

    def test_without_lag_the_emptiest_is_chosen(self):
        rng = random.Random(1)
        counts = collections.Counter(
            draw([0.2, 0.05, 0.3], 0.002, rng) for _ in range(100)
        )
        self.assertEqual({1: 100}, counts)

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

    @drawn(100)
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(min_value=0, max_value=5),
                strategies.floats(min_value=0.1, max_value=8),
            ),
            min_size=1,
            max_size=30,
        ),
        strategies.floats(min_value=0.002, max_value=50),
    )
    def test_each_fills_by_its_speed(self, endpoints, expected_work):
        waits, speeds = zip(*endpoints, strict=True)
        level = find_level(waits, expected_work, speeds)
        filled = sum(s * max(0.0, level - w) for w, s in endpoints)
        self.assertAlmostEqual(expected_work, filled, places=6)


class FastEndpointTest(unittest.TestCase):
    """A few fast endpoints among many entries.

    Two of 14 endpoints are three times as fast. Entries send 500 requests of
    20 ms a second, 62% of the capacity, and see the waits of half a second
    ago.
    """

    SPEEDS = [3.0, 3.0] + [1.0] * 12
    PER_SECOND = 500
    READING = 0.020
    LAG = 0.5

    def play(self, *, knows_speeds):
        """Return the requests and the mean wait of each endpoint."""
        rng = random.Random(1)
        queues = [0.0] * len(self.SPEEDS)
        seen = list(queues)
        waits = [[] for _ in queues]
        work = self.PER_SECOND * self.READING * self.LAG
        speeds = self.SPEEDS if knows_speeds else None
        for number in range(30 * self.PER_SECOND):
            if number % int(self.LAG * self.PER_SECOND) == 0:
                seen = list(queues)
            chosen = draw(seen, work, rng, speeds)
            waits[chosen].append(queues[chosen])
            queues[chosen] += self.READING / self.SPEEDS[chosen]
            queues = [max(0.0, q - 1 / self.PER_SECOND) for q in queues]
        counts = [len(some) for some in waits]
        return counts, [sum(some) / len(some) for some in waits]

    def test_they_get_work_in_proportion_to_their_speed(self):
        counts, _ = self.play(knows_speeds=True)
        slow = sum(counts[2:]) / 12
        for count in counts[:2]:
            self.assertAlmostEqual(3.0, count / slow, delta=0.4)

    def test_they_are_not_flooded(self):
        _, waits = self.play(knows_speeds=True)
        slow = sum(waits[2:]) / 12
        self.assertLess(max(waits[:2]), slow * 1.5)
        counts, unknown = self.play(knows_speeds=False)
        mean = sum(c * w for c, w in zip(counts, unknown, strict=True))
        self.assertLess(slow, mean / sum(counts))


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

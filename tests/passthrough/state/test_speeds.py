"""Tests of the speeds of endpoints.

The load: 24 endpoints of three speeds that pause in 15% of their intervals of
600 ms, for which they take 2.5 times as long. Each of 10 entries has a sample
of an endpoint in two seconds, and tells the others each 300 ms. One in ten
samples is late for an unknown reason. An entry must know the speeds within a
quarter after a few seconds, and a change within three.
"""

import math
import random
import unittest

from hypothesis import given
from hypothesis import strategies

from burdockdrum.passthrough.state.engines import EngineEstimates
from burdockdrum.passthrough.state.pace import OVERDUE_FACTOR
from burdockdrum.passthrough.state.pace import PaceWindow
from burdockdrum.passthrough.state.prompts import Prompt
from burdockdrum.passthrough.state.speeds import EndpointSpeeds
from burdockdrum.registrations import SpeedSum
from tests.drawing import draw as drawn

SPEEDS = (0.6, 1.0, 1.6)
STEP_SECONDS = 0.3


class Region:
    """Entries that observe endpoints, and tell each other."""

    def __init__(self, *, entries=10, endpoints=24, seed=1):
        """Create entries without observations."""
        self.rng = random.Random(seed)
        self.now = 0.0
        self.time_by_id = {
            f"e{number}": 1 / SPEEDS[number % len(SPEEDS)]
            for number in range(endpoints)
        }
        self.slow_by_id = {}
        self.entries = [EndpointSpeeds(service="s") for _ in range(entries)]
        self.is_connected = True

    def sample(self, endpoint_id):
        """Return the ratio of a sample."""
        rng = self.rng
        ratio = self.time_by_id[endpoint_id] * rng.lognormvariate(0, 0.3)
        ratio *= self.slow_by_id.get(endpoint_id, 1.0)
        interval = int(self.now / 0.6)
        if random.Random(f"{endpoint_id} {interval}").random() < 0.15:
            ratio *= 2.5
        return ratio * (3.0 if rng.random() < 0.1 else 1.0)

    def play(self, seconds, *, sample_seconds=2.0):
        """Let time pass."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            for entry in self.entries:
                for endpoint_id in self.time_by_id:
                    if self.rng.random() < STEP_SECONDS / sample_seconds:
                        self.record(entry, endpoint_id)
            if self.is_connected:
                self.tell()
            for entry in self.entries:
                entry.refresh(self.now)

    def record(self, entry, endpoint_id):
        """Record one sample at an entry."""
        entry.record(
            endpoint_id,
            source="first token",
            ratio=self.sample(endpoint_id),
            weight=1.0,
            now=self.now,
        )

    def tell(self):
        """Let each entry tell the others."""
        for entry in self.entries:
            news = entry.pop_news()
            for other in self.entries:
                if other is not entry:
                    for told in news:
                        other.receive(told, self.now)

    def error(self, entry):
        """Return the root mean square error of the logarithms."""
        errors = [
            math.log(entry.factor(endpoint_id) / expected)
            for endpoint_id, expected in self.time_by_id.items()
        ]
        mean = sum(errors) / len(errors)
        squares = [(error - mean) ** 2 for error in errors]
        return math.sqrt(sum(squares) / len(squares))


class LoadTest(unittest.TestCase):
    """Three speeds with pauses."""

    def test_entries_know_the_speeds_after_a_few_seconds(self):
        for seed in range(3):
            region = Region(seed=seed)
            before = region.error(region.entries[0])
            region.play(9.0)
            for entry in region.entries:
                with self.subTest(seed=seed):
                    self.assertLess(region.error(entry), 0.25)
            self.assertGreater(before, 0.35)

    def test_an_endpoint_that_becomes_five_times_slower_is_noticed(self):
        # Also one that returns slower under the same id.
        for seed in range(4):
            region = Region(seed=seed)
            region.play(9.0, sample_seconds=1.0)
            entry = region.entries[0]
            before = entry.factor("e4")
            region.slow_by_id["e4"] = 5.0
            region.play(3.0, sample_seconds=1.0)
            noticed = entry.factor("e4") / before
            region.play(3.0, sample_seconds=1.0)
            del region.slow_by_id["e4"]
            region.play(4.2, sample_seconds=1.0)
            returned = entry.factor("e4") / before
            with self.subTest(seed=seed):
                self.assertGreater(noticed, 2.0)
                self.assertLess(returned, 1.5)

    def test_entries_go_on_with_their_own_samples(self):
        # Guards against beliefs that stay as they were, or are lost, after
        # the aggregator of the region is lost.
        region = Region(endpoints=6)
        region.play(9.0)
        region.is_connected = False
        region.play(6.0, sample_seconds=1.0)
        region.slow_by_id["e1"] = 5.0
        before = [entry.factor("e1") for entry in region.entries]
        region.play(9.0, sample_seconds=1.0)
        changes = [
            entry.factor("e1") / factor
            for entry, factor in zip(region.entries, before, strict=True)
        ]
        self.assertGreater(min(changes), 1.2)
        self.assertGreater(sum(changes) / len(changes), 1.8)


class BeliefTest(unittest.TestCase):
    """What a few samples are believed to say."""

    def test_a_single_sample_changes_little(self):
        # Guards against a request that is late for an unknown reason, after
        # which an endpoint would get nothing.
        region = Region()
        region.play(9.0)
        entry = region.entries[0]
        before = entry.factor("e1")
        for _ in range(2):
            entry.record(
                "e1", source="first token", ratio=50.0, weight=1.0, now=9.0
            )
        self.assertLess(entry.factor("e1") / before, 1.3)

    def test_a_busy_entry_does_not_slow_all_endpoints_down(self):
        # Its late readings are common to all of its samples.
        speeds = EndpointSpeeds(service="s")
        rng = random.Random(1)
        for number in range(300):
            late = 4.0 if number > 100 else 1.0
            speeds.record(
                f"e{number % 5}",
                source="first token",
                ratio=late * rng.lognormvariate(0, 0.2),
                weight=1.0,
                now=number * 0.05,
            )
        for factor in speeds.factors_by_id().values():
            self.assertAlmostEqual(1.0, factor, delta=0.25)

    def test_a_slow_endpoint_without_requests_is_tried_again(self):
        # Guards against an endpoint that hung, gets no request as it seems
        # slow, and so seems slow when it has long recovered.
        region = Region()
        region.slow_by_id["e1"] = 8.0
        region.play(9.0, sample_seconds=1.0)
        entry = region.entries[0]
        self.assertGreater(entry.factor("e1"), 4.0)
        for step in range(150):
            entry.refresh(region.now + step * 0.1)
        self.assertLess(entry.factor("e1"), 1.6)
        self.assertLess(entry.factor("e2"), 0.9)

    def test_an_endpoint_without_news_returns_to_typical(self):
        region = Region()
        region.play(9.0)
        entry = region.entries[0]
        self.assertLess(entry.factor("e2"), 0.8)
        entry.refresh(region.now + 200)
        self.assertAlmostEqual(1.0, entry.factor("e2"))

    @drawn(50)
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from("abc"),
                strategies.integers(0, 10**6),
                strategies.integers(-(10**9), 10**9),
            ),
            max_size=30,
        )
    )
    def test_whatever_is_told_factors_stay_bounded(self, news):
        speeds = EndpointSpeeds(service="s")
        for endpoint_id, weight, log in news:
            speeds.receive(SpeedSum(endpoint_id, weight, log), 1.0)
        speeds.refresh(2.0)
        for factor in speeds.factors_by_id().values():
            self.assertLessEqual(abs(math.log(factor)), 2 * math.log(8) + 0.01)


class CurveTest(unittest.TestCase):
    """The service's estimates are those of a typical endpoint."""

    def test_samples_of_all_speeds_count(self):
        # Guards against curves that know nothing of prompts that only fast
        # and slow endpoints had.
        engines = EngineEstimates()
        rng = random.Random(1)
        for number in range(400):
            speed = SPEEDS[number % 3]
            tokens = 16_000 if speed != 1.0 and rng.random() < 0.5 else 2_000
            seconds = (0.02 + tokens * 4e-5) / speed
            engines.record_first_token(
                "s",
                f"e{number % 3}",
                Prompt(tokens=tokens),
                tokens,
                seconds * rng.lognormvariate(0, 0.1),
                number * 0.02,
            )
        estimate = engines.prefill_seconds("s", Prompt(tokens=16_000), 16_000)
        self.assertAlmostEqual(1.0, estimate / 0.64, delta=0.25)
        self.assertAlmostEqual(1.6, engines.time_factor("s", "e0"), delta=0.3)


class PaceTest(unittest.TestCase):
    """Samples from running responses."""

    def test_events_count_only_while_conditions_hold(self):
        window = PaceWindow()
        self.assertIsNone(window.close("pace 1", [], None, 1.0))
        window.record_event(0.9, 1.1)
        self.assertIsNone(window.close("pace 1", [], None, 1.2))
        window.record_event(1.1, 1.3)
        window.record_event(1.3, 1.5)
        sample = window.close("pace 1", [1.5], 0.2, 1.6)
        self.assertAlmostEqual(0.2, sample.seconds)
        self.assertIsNone(window.close("pace 2", [1.5], 0.2, 1.7))

    def test_an_overdue_event_counts_before_it_comes(self):
        # Guards against an endpoint that hangs in the midst of all its
        # responses, and seems as fast as before.
        window = PaceWindow()
        window.close("pace 1", [], None, 1.0)
        self.assertIsNone(window.close("pace 1", [1.0], 0.2, 1.3))
        late = 1.0 + 0.2 * OVERDUE_FACTOR + 0.1
        sample = window.close("pace 1", [1.0], 0.2, late)
        self.assertAlmostEqual(0.5, sample.seconds)

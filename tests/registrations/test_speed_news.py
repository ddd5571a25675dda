"""Tests of what entries tell each other about endpoints' speeds.

The load: 45 endpoints and 69 entries in one data centre, each entry with a
sample of every endpoint between two reports. Telling it may take at most 1 kB
a second of each entry, in both directions together.
"""

import asyncio
import random
import unittest

from hypothesis import given
from hypothesis import strategies
import msgspec

from burdockdrum.registrations.messages import SpeedSum
from burdockdrum.registrations.speed_news import MAX_SUMS
from burdockdrum.registrations.speed_news import SpeedNews
from burdockdrum.registrations.speed_news import SpeedOutbox
from tests.drawing import draw as drawn
from tests.registrations.test_load_sharing import play

SLOW = SpeedSum("e", 100, 50)
INTERVAL_SECONDS = 0.3


def listen(world):
    """Connect each entry to a list of what it is told.

    All were told of speeds before.
    """
    for entry in world.entries:
        entry.own_speeds, entry.told = [], []
        news = entry.sharing.speed_news
        news.is_informed = True
        news.receive = entry.told.extend
        news.pop_own = lambda entry=entry: pop_all(entry.own_speeds)


def pop_all(items):
    """Return and remove all items."""
    popped = list(items)
    items.clear()
    return popped


class BytesTest(unittest.TestCase):
    """The bytes are bounded."""

    def test_an_entry_of_many_takes_less_than_a_kilobyte_a_second(self):
        rng = random.Random(1)
        news = SpeedNews()
        own = [SpeedNews() for _ in range(69)]
        total, now = 0, 0.0
        for _ in range(100):
            now += INTERVAL_SECONDS
            for number, entry in enumerate(own):
                samples = [
                    SpeedSum(
                        f"engine-b{index:02}-1", 100, rng.randrange(-150, 150)
                    )
                    for index in range(45)
                ]
                entry.pop_own = lambda samples=samples: samples
                report = entry.pop_for_all(now)
                news.record(f"vm{number}", report)
                reply = news.pop_for(f"vm{number}", now)
                total += len(msgspec.msgpack.encode(report))
                total += len(msgspec.msgpack.encode(reply))
        self.assertLess(total / len(own) / now, 1000)

    def test_surprises_are_sent_first(self):
        outbox = SpeedOutbox()
        calm = [SpeedSum(f"c{number}", 100, 0) for number in range(40)]
        outbox.add([*calm, SpeedSum("slow", 100, 160)])
        sent = outbox.pop(0.1)
        self.assertEqual("slow", sent[0].endpoint_id)
        self.assertLessEqual(len(sent), MAX_SUMS)

    @drawn(50)
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from("abcd"),
                strategies.integers(1, 1000),
                strategies.integers(-1000, 1000),
            ),
            max_size=40,
        )
    )
    def test_nothing_is_lost_or_counted_twice(self, samples):
        outbox = SpeedOutbox()
        sent = []
        for step, sample in enumerate(samples):
            outbox.add([SpeedSum(*sample)])
            sent += outbox.pop(step * 0.01)
        sent += outbox.pop(100.0)
        self.assertEqual(
            sum(weight for _, weight, _ in samples),
            sum(told.hundredths for told in sent),
        )
        self.assertAlmostEqual(
            sum(log for *_, log in samples),
            sum(told.log_hundredths for told in sent),
        )


class SharingTest(unittest.TestCase):
    """News among entries."""

    def check_once(self, sizes):
        async def check(world):
            listen(world)
            await asyncio.sleep(2)
            world.entries[3].own_speeds.append(SLOW)
            await asyncio.sleep(2)
            for entry in world.entries:
                expected = [] if entry is world.entries[3] else [SLOW]
                self.assertEqual(expected, entry.told)

        play(sizes, check)

    def test_news_reach_every_other_entry_once(self):
        for sizes in ([4], [8], [6, 6], [5, 5, 5]):
            with self.subTest(sizes):
                self.check_once(sizes)

    def test_a_starting_entry_is_told_all_that_is_known(self):
        # Guards against an entry that learns for a minute what others know.
        async def check(world):
            listen(world)
            starting = world.entries[-1]
            await starting.stop()
            for entry in world.entries[:-1]:
                entry.sharing.speed_news.read_all = lambda: [SLOW]
            await asyncio.sleep(1)
            await starting.start()
            starting.sharing.speed_news.receive = starting.told.extend
            await asyncio.sleep(1)
            self.assertIn(SLOW, starting.told)
            count = len(starting.told)
            await asyncio.sleep(2)
            self.assertEqual(count, len(starting.told))

        for sizes in ([3], [8]):
            with self.subTest(sizes):
                play(sizes, check)

    def test_news_pass_again_after_the_aggregator_is_lost(self):
        # Guards against entries that keep their news for an aggregator that
        # is gone.
        async def check(world):
            listen(world)
            [aggregator] = world.aggregators()
            await aggregator.stop()
            await asyncio.sleep(3)
            rest = [e for e in world.entries if e is not aggregator]
            rest[0].own_speeds.append(SLOW)
            await asyncio.sleep(2)
            for entry in rest[1:]:
                self.assertIn(SLOW, entry.told)

        play([8], check)


class PassingOnTest(unittest.TestCase):
    """What an aggregator passes on."""

    def test_a_receiver_that_returns_late_is_not_given_old_news(self):
        news = SpeedNews()
        news.pop_for("a", 0.0)
        news.pop_for("b", 0.0)
        news.record("a", [SLOW])
        self.assertEqual([], news.pop_for("a", 1.0))
        self.assertEqual([SLOW], news.pop_for("b", 1.0))
        news.record("a", [SLOW])
        self.assertEqual([], news.pop_for("b", 100.0))

"""Tests of brittle endpoints over all entries of a region."""

import asyncio
import unittest

from burdockdrum.testing import run_virtual
from tests.passthrough.brittle.region import BrittleRegion
from tests.passthrough.brittle.region import ENDPOINTS

SECONDS = 8.0
# Crashes that are tolerated in one time in which endpoints are brittle.
MAX_CRASHES = 2 + ENDPOINTS / 10
MIN_USED_FRACTION = 0.9
OVERLOAD = 1.5
# The first holder, one after its loss, one when it is back.
MAX_TERMS = 3


class BrittleRegionTest(unittest.TestCase):
    """Six endpoints of six slots that let no request wait."""

    def play(self, *, load, meanwhile=None, seconds=SECONDS, **region):
        """Let requests arrive; return the region and the used part."""

        async def run():
            world = BrittleRegion(**region)
            for endpoint in world.endpoints:
                world._learn(endpoint)
            steps = meanwhile(world) if meanwhile is not None else None
            used = await world.play(
                load=load, seconds=seconds, meanwhile=steps
            )
            return world, used

        return run_virtual(run())

    def test_endpoints_are_used_in_overload_and_rarely_crash(self):
        # Guards against entries that see the same free slot and fill it
        # together.
        for entries in (2, 7, 60):
            for number in (0, 3):
                with self.subTest(entries=entries, max_rejections=number):
                    world, used = self.play(
                        entries=entries, max_rejections=number, load=OVERLOAD
                    )
                    self.assertLessEqual(world.crashes, MAX_CRASHES)
                    self.assertGreaterEqual(used, MIN_USED_FRACTION)

    def test_nobody_is_refused_below_the_room(self):
        # Guards against a bound that leaves no room to requests that come at
        # random.
        for entries in (2, 60):
            for number in (0, 3):
                with self.subTest(entries=entries, max_rejections=number):
                    world, _ = self.play(
                        entries=entries, max_rejections=number, load=0.4
                    )
                    self.assertEqual(0, world.crashes)
                    self.assertLessEqual(world.refused, world.requests / 1000)

    def test_entries_that_freeze_or_restart_crash_few_endpoints(self):
        # Guards against a holder that is gone, and against a new one that
        # doesn't know what runs.
        async def disturb(world):
            names = list(world.brokers)
            while True:
                await asyncio.sleep(1.0)
                name = world.rng.choice(names)
                if world.rng.random() < 0.5:
                    world.start(name, names)
                    continue
                world.unreached.add(name)
                await asyncio.sleep(world.rng.uniform(0.5, 3.0))
                world.unreached.discard(name)

        for seed in range(6):
            with self.subTest(seed=seed):
                world, used = self.play(
                    entries=7,
                    max_rejections=3,
                    load=OVERLOAD,
                    meanwhile=disturb,
                    seed=seed,
                )
                self.assertLessEqual(world.crashes, MAX_CRASHES)
                self.assertGreater(used, MIN_USED_FRACTION / 2)

    def test_places_change_hands_once_for_a_loss_and_once_for_a_return(self):
        # Guards against two entries that each take the other one for lost
        # and take over from each other with every request.
        async def freeze(world):
            await asyncio.sleep(1.0)
            world.unreached.add("e0")
            await asyncio.sleep(1.0)
            world.unreached.discard("e0")

        for seed in range(4):
            with self.subTest(seed=seed):
                world, _ = self.play(
                    entries=5,
                    max_rejections=3,
                    load=OVERLOAD,
                    meanwhile=freeze,
                    seconds=4.0,
                    seed=seed,
                )
                terms = world.terms_by_id
                self.assertLessEqual(max(terms.values()), MAX_TERMS, terms)

    def test_new_holder_crashes_no_endpoint_that_tolerates_nothing(self):
        # Guards against a first request of a restarted holder at an endpoint
        # whose slots are still taken by requests of before.
        async def restart(world):
            names = list(world.brokers)
            while True:
                await asyncio.sleep(2.0)
                world.start(world.rng.choice(names), names)

        crashes = [
            self.play(
                entries=5,
                max_rejections=0,
                load=OVERLOAD,
                meanwhile=restart,
                seed=seed,
            )[0].crashes
            for seed in range(4)
        ]
        self.assertLessEqual(max(crashes), MAX_CRASHES, crashes)

    def test_restart_of_all_entries_crashes_few_endpoints(self):
        # Guards against entries that know nothing of what runs.
        async def restart(world):
            await asyncio.sleep(SECONDS / 2)
            names = list(world.brokers)
            for name in names:
                world.start(name, names)

        for number in (1, 3):
            with self.subTest(max_rejections=number):
                world, _ = self.play(
                    entries=7,
                    max_rejections=number,
                    load=OVERLOAD,
                    meanwhile=restart,
                )
                self.assertLessEqual(world.crashes, MAX_CRASHES)

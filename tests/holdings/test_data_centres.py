"""Tests of publishing prefix caches between data centres.

Regions have several data centres with many entries each, and an entry knows
only three entries of another data centre.
"""

import asyncio
import unittest

from loguru import logger

from burdockdrum.holdings.sharing import SNAPSHOT_INTERVAL_SECONDS
from burdockdrum.testing import run_virtual
from tests.holdings.world import World

DATA_CENTRES = ("n1-dc", "n2-dc", "s1-dc", "s2-dc")
ENTRIES_EACH = 8


def play(test):
    """Run a test under virtual time, with all entries started."""

    async def main():
        world = World(data_centres=DATA_CENTRES)
        for data_centre in DATA_CENTRES:
            for number in range(ENTRIES_EACH):
                prefix = data_centre.removesuffix("-dc")
                await world.start(f"{prefix}-{number}")
        await asyncio.sleep(3)
        await test(world)
        for name in list(world.entries):
            await world.stop(name)

    run_virtual(main())


def entries_missing(world, endpoint_id, part_id, prefix):
    """Return the entries that don't know a part cached at an endpoint."""
    return [
        name
        for name, entry in world.entries.items()
        if name.startswith(prefix)
        and part_id not in entry.cached_parts(endpoint_id)
    ]


class DataCentresTest(unittest.TestCase):
    """Propagation of changes to other data centres and regions."""

    def setUp(self):
        logger.disable("burdockdrum")
        self.addCleanup(logger.enable, "burdockdrum")

    def test_change_reaches_all_entries_of_the_region(self):
        # Guards against reaching only the three entries that are known in
        # the other data centre: the rest would route as if nothing was cached.
        async def check(world):
            world.share("plan")
            await asyncio.sleep(1)
            world.caches["n10"].put("plan", 4900)
            await asyncio.sleep(2)
            self.assertEqual([], entries_missing(world, "n10", "plan", "n"))

        play(check)

    def test_long_parts_reach_all_entries_of_another_region(self):
        # The one entry that receives the update must forward it to the other
        # data centre of its region as well.
        async def check(world):
            world.share("plan", "head")
            await asyncio.sleep(1)
            world.caches["n10"].put("plan", 4900)
            world.caches["n10"].put("head", 300)
            await asyncio.sleep(3.5)
            self.assertEqual([], entries_missing(world, "n10", "plan", "s"))
            for name, entry in world.entries.items():
                if name.startswith("s"):
                    self.assertNotIn("head", entry.cached_parts("n10"))
            world.caches["n10"].put("plan", 0)
            await asyncio.sleep(3.5)
            for entry in world.entries.values():
                self.assertNotIn("plan", entry.cached_parts("n10"))

        play(check)

    def test_endpoint_of_data_centre_without_entries_is_published(self):
        # All entries of a data centre are lost, but not its endpoints. The
        # region's other data centre must poll and publish them.
        async def check(world):
            world.share("plan")
            for number in range(ENTRIES_EACH):
                await world.stop(f"n1-{number}")
            await asyncio.sleep(2)
            world.caches["n10"].put("plan", 4900)
            await asyncio.sleep(4)
            self.assertEqual([], entries_missing(world, "n10", "plan", "n2"))
            self.assertEqual([], entries_missing(world, "n10", "plan", "s"))

        play(check)

    def test_snapshots_repair_updates_lost_at_unreachable_entry(self):
        # An entry that forwards to its data centre is unreachable, and an
        # update sent to it is lost. The next snapshots must repair that.
        async def check(world):
            world.share("plan")
            frozen = {
                e.vm_id for e in world.known_to(identity_of(world, "n1-0"))
            }
            name = min(name for name in frozen if name.startswith("n2"))
            others = [n for n in world.entries if n != name]
            world.network.cut([name], others)
            world.caches["n10"].put("plan", 4900)
            await asyncio.sleep(SNAPSHOT_INTERVAL_SECONDS * 2)
            missing = entries_missing(world, "n10", "plan", "n2")
            self.assertLessEqual(set(missing), {name})

        play(check)

    def test_bytes_between_data_centres_do_not_grow_with_entries(self):
        # Each change is sent once to each other data centre of the region
        # and once to each other region, however many entries there are.
        async def check(world):
            crossed = record_crossings(world)
            world.share("plan")
            await asyncio.sleep(1)
            for tokens in range(4900, 4910):
                world.caches["n10"].put("plan", tokens)
                await asyncio.sleep(1)
            # Ten changes to one data centre and one region, which forwards
            # them to its second data centre; and snapshots.
            self.assertLessEqual(len(crossed), 60)

        play(check)


def identity_of(world, name):
    """Return the identity of an entry."""
    return world.entries[name].identity


def record_crossings(world):
    """Return a list that records each message between data centres."""
    crossed = []
    for name, entry in world.entries.items():
        send = entry.sharing._peers.send

        def note(address, message, name=name, send=send):
            there = world.data_centre_of(address[len("tcp://") : -len(":1")])
            if there != world.data_centre_of(name):
                crossed.append((name, address))
            send(address, message)

        entry.sharing._peers.send = note
    return crossed

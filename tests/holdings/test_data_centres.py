"""Tests of what is known of endpoints in other data centres.

The pattern is that of a deployment whose regions have several data centres
of many entries: an entry knows three entries of another data centre.
"""

import asyncio
import unittest

from loguru import logger

from burdockdrum.holdings.sharing import WHOLE_SECONDS
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


def without(world, endpoint_id, part_id, prefix):
    """Return the entries that don't know of a part at an endpoint."""
    return [
        name
        for name, entry in world.entries.items()
        if name.startswith(prefix) and part_id not in entry.held(endpoint_id)
    ]


class DataCentresTest(unittest.TestCase):
    """Who knows what is held in another data centre, and when."""

    def setUp(self):
        logger.disable("burdockdrum")
        self.addCleanup(logger.enable, "burdockdrum")

    def test_region_knows_what_is_held_in_each_of_its_data_centres(self):
        # A caller's prompt begins with a part that an endpoint of the data
        # centre beside holds. The caller's entry is none of the three that
        # are known there: nobody tells it, and the part is read again.
        async def check(world):
            world.share("plan")
            await asyncio.sleep(1)
            world.memories["n10"].put("plan", 4900)
            await asyncio.sleep(2)
            self.assertEqual([], without(world, "n10", "plan", "n"))

        play(check)

    def test_each_entry_of_another_region_knows_of_long_parts(self):
        # As before, with a data centre of another region: one entry there is
        # told, and has to tell those of its region's other data centre.
        async def check(world):
            world.share("plan", "head")
            await asyncio.sleep(1)
            world.memories["n10"].put("plan", 4900)
            world.memories["n10"].put("head", 300)
            await asyncio.sleep(3.5)
            self.assertEqual([], without(world, "n10", "plan", "s"))
            for name, entry in world.entries.items():
                if name.startswith("s"):
                    self.assertNotIn("head", entry.held("n10"))
            world.memories["n10"].put("plan", 0)
            await asyncio.sleep(3.5)
            for entry in world.entries.values():
                self.assertNotIn("plan", entry.held("n10"))

        play(check)

    def test_endpoint_without_entries_beside_it_is_told_of(self):
        # All entries of a data centre are lost; its endpoints go on. The
        # entries of the data centre beside listen to them, and tell others.
        async def check(world):
            world.share("plan")
            for number in range(ENTRIES_EACH):
                await world.stop(f"n1-{number}")
            await asyncio.sleep(2)
            world.memories["n10"].put("plan", 4900)
            await asyncio.sleep(4)
            self.assertEqual([], without(world, "n10", "plan", "n2"))
            self.assertEqual([], without(world, "n10", "plan", "s"))

        play(check)

    def test_entry_that_is_silent_is_made_up_for(self):
        # One of the entries that a data centre is told through is frozen:
        # what it is told goes no further. What is held is told anew.
        async def check(world):
            world.share("plan")
            frozen = {e.vm_id for e in world.known_to(own_of(world, "n1-0"))}
            name = min(name for name in frozen if name.startswith("n2"))
            others = [n for n in world.entries if n != name]
            world.network.cut([name], others)
            world.memories["n10"].put("plan", 4900)
            await asyncio.sleep(WHOLE_SECONDS * 2)
            missing = without(world, "n10", "plan", "n2")
            self.assertLessEqual(set(missing), {name})

        play(check)

    def test_bytes_between_data_centres_do_not_grow_with_entries(self):
        # Each change crosses once to each data centre beside, and once to
        # each other region, however many entries there are.
        async def check(world):
            crossed = count_crossings(world)
            world.share("plan")
            await asyncio.sleep(1)
            for tokens in range(4900, 4910):
                world.memories["n10"].put("plan", tokens)
                await asyncio.sleep(1)
            # Ten changes to one data centre beside and one region, which
            # passes them on to its second data centre; and whole memories.
            self.assertLessEqual(len(crossed), 60)

        play(check)


def own_of(world, name):
    """Return an entry's identity."""
    return world.entries[name].identity


def count_crossings(world):
    """Return a list that grows with notices to other data centres."""
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

"""Tests of entries that listen to endpoints and tell each other."""

import asyncio
import unittest

from loguru import logger

from burdockdrum.holdings.sharing import WHOLE_SECONDS
from burdockdrum.testing import run_virtual
from tests.holdings.world import World

NAMES = ("n-a", "n-b", "n-c", "s-a", "s-b", "s-c")


def play(test, names=NAMES):
    """Run a test under virtual time."""

    async def main():
        world = World()
        for name in names:
            await world.start(name)
        await asyncio.sleep(3)
        await test(world)
        for name in list(world.entries):
            await world.stop(name)

    run_virtual(main())


class HoldingsSharingTest(unittest.TestCase):
    """Who asks whom, who knows what, and when."""

    def setUp(self):
        logger.disable("burdockdrum")
        self.addCleanup(logger.enable, "burdockdrum")

    def test_region_knows_what_an_endpoint_holds_within_two_seconds(self):
        # A prompt that others begin with is read somewhere. Whichever entry
        # gets the next one knows where; nobody else was asked.
        async def check(world):
            world.share("plan")
            await asyncio.sleep(1)
            world.memories["n0"].put("plan", 4900)
            await asyncio.sleep(2)
            for name in ("n-a", "n-b", "n-c"):
                entry = world.entries[name]
                self.assertEqual({"plan": 4900}, dict(entry.held("n0")))

        play(check)

    def test_other_region_knows_of_long_parts(self):
        async def check(world):
            world.share("plan", "head")
            await asyncio.sleep(1)
            world.memories["n0"].put("plan", 4900)
            world.memories["n0"].put("head", 300)
            await asyncio.sleep(3.5)
            for name in ("s-a", "s-b", "s-c"):
                entry = world.entries[name]
                self.assertEqual({"plan": 4900}, dict(entry.held("n0")))
                memory = entry.ledger.find("n0")
                self.assertEqual("n-dc", memory.data_centre)
            world.memories["n0"].put("plan", 0)
            await asyncio.sleep(3.5)
            for name in NAMES:
                held = world.entries[name].held("n0")
                self.assertNotIn("plan", held)

        play(check)

    def test_what_belongs_to_one_request_is_not_told(self):
        # More than half of what an endpoint holds never comes again.
        async def check(world):
            memory = world.memories["n0"]
            for number in range(100):
                memory.put(f"own-{number}", 3000)
            await asyncio.sleep(3)
            told = sum(
                "own-1" in world.entries[name].held("n0")
                for name in ("n-a", "n-b", "n-c")
            )
            self.assertEqual(1, told)

        play(check)

    def test_part_that_turns_out_to_be_shared_is_told_then(self):
        # The entry that listens has just started and does not know the
        # prompts; the first one that names the part is enough.
        async def check(world):
            world.memories["n0"].put("plan", 4900)
            await asyncio.sleep(2)
            for name in ("n-a", "n-b", "n-c"):
                world.entries[name].sharing.note_shared("plan")
            await asyncio.sleep(1)
            for name in ("n-a", "n-b", "n-c"):
                self.assertIn("plan", world.entries[name].held("n0"))

        play(check)

    def test_each_endpoint_is_asked_by_one_entry_once_a_second(self):
        async def check(world):
            memory = world.memories["n0"]
            before = memory.asked
            for number in range(100):
                memory.put("plan", 100 + number)
                await asyncio.sleep(0.1)
            self.assertLessEqual(memory.asked - before, 11)
            self.assertGreaterEqual(memory.asked - before, 9)
            self.assertEqual(1, memory.listed)

        play(check)

    def test_gap_and_restart_are_followed_by_a_list(self):
        # The endpoint keeps its newest events only; then it starts again
        # with an empty memory under the same id.
        async def check(world):
            world.share("plan", "next")
            memory = world.memories["n0"]
            memory.kept = 2
            await asyncio.sleep(1)
            memory.put("plan", 4900)
            for number in range(5):
                memory.put("other", number + 1)
            await asyncio.sleep(2)
            self.assertIn("plan", world.entries["n-a"].held("n0"))
            memory.restart()
            memory.put("next", 700)
            await asyncio.sleep(3)
            held = world.entries["n-b"].held("n0")
            self.assertEqual({"next": 700}, dict(held))

        play(check)

    def test_entry_that_starts_asks_its_neighbours(self):
        # One entry restarts: it knows what the others know before anything
        # changes, and no endpoint had to list its memory again.
        async def check(world):
            world.share("plan")
            for name in ("n0", "n1", "s0"):
                world.memories[name].put("plan", 4900)
            await asyncio.sleep(4)
            listed = {n: m.listed for n, m in world.memories.items()}
            await world.stop("n-b")
            await world.start("n-b")
            await asyncio.sleep(0.5)
            for name in ("n0", "n1", "s0"):
                self.assertIn("plan", world.entries["n-b"].held(name))
            await asyncio.sleep(3)
            again = {n: m.listed for n, m in world.memories.items()}
            self.assertEqual(listed, again)

        play(check)

    def test_listener_that_is_gone_is_replaced(self):
        # The entry that asks n0 ends. Another one goes on from the event
        # that it was told of.
        async def check(world):
            world.share("plan", "next")
            world.memories["n0"].put("plan", 4900)
            await asyncio.sleep(2)
            gone = next(
                name
                for name, entry in world.entries.items()
                if "n0" in entry.listener.endpoint_ids
            )
            await world.stop(gone)
            for entry in world.entries.values():
                entry.sharing.note_shared("next")
            world.memories["n0"].put("next", 700)
            await asyncio.sleep(3)
            for name, entry in world.entries.items():
                if name.startswith("n"):
                    self.assertIn("next", entry.held("n0"))
            self.assertEqual(1, world.memories["n0"].listed)

        play(check)

    def test_full_stop_is_followed_by_one_list_an_endpoint(self):
        # All entries are killed; the endpoints kept what they hold. Half a
        # second after the start it is known again: nobody has to wait for
        # the next prompt to be read twice.
        async def check(world):
            for name in list(world.entries):
                await world.stop(name)
            for memory in world.memories.values():
                memory.put("plan", 4900)
                memory.listed = 0
            for name in NAMES:
                await world.start(name)
            await asyncio.sleep(1.5)
            listed = [m.listed for m in world.memories.values()]
            self.assertEqual([1, 1, 1, 1], listed)
            holding = [
                entry
                for entry in world.entries.values()
                if "plan" in entry.held("n0")
            ]
            self.assertEqual(1, len(holding))

        play(check)

    def test_lost_notice_is_made_up_for(self):
        # A cut swallows what the listener told one neighbour.
        async def check(world):
            world.share("plan")
            listener = next(
                name
                for name, entry in world.entries.items()
                if "n0" in entry.listener.endpoint_ids
            )
            other = next(n for n in ("n-a", "n-b", "n-c") if n != listener)
            world.network.cut([listener], [other])
            world.memories["n0"].put("plan", 4900)
            await asyncio.sleep(2)
            world.network.heal([listener], [other])
            await asyncio.sleep(WHOLE_SECONDS + 1)
            self.assertIn("plan", world.entries[other].held("n0"))

        play(check)

    def test_silent_endpoint_is_asked_rarely_and_keeps_its_memory(self):
        async def check(world):
            world.share("plan")
            memory = world.memories["n0"]
            memory.put("plan", 4900)
            await asyncio.sleep(2)
            memory.is_silent = True
            await asyncio.sleep(10)
            self.assertIn("plan", world.entries["n-a"].held("n0"))
            memory.is_silent = False
            memory.put("plan", 0)
            await asyncio.sleep(4)
            self.assertNotIn("plan", world.entries["n-a"].held("n0"))

        play(check)

    def test_endpoint_that_gives_no_answer_is_told_of(self):
        # It crashes with all that it holds. Entries that have sent it
        # nothing don't know; they would have others fetch from it, and each
        # fetch would wait for an address that does not answer.
        async def check(world):
            world.share("plan")
            memory = world.memories["n0"]
            memory.put("plan", 4900)
            await asyncio.sleep(4)
            memory.is_silent = True
            memory.put("plan", 4900)
            await asyncio.sleep(4)
            for name in NAMES:
                known = world.entries[name].ledger.find("n0")
                self.assertTrue(known.is_silent, name)
            memory.is_silent = False
            await asyncio.sleep(5)
            for name in NAMES:
                known = world.entries[name].ledger.find("n0")
                self.assertFalse(known.is_silent, name)
                self.assertIn("plan", known.tokens_by_part)

        play(check)

    def test_lone_entry_of_a_region_begins_by_itself(self):
        async def check(world):
            world.memories["n0"].put("plan", 4900)
            await asyncio.sleep(2)
            self.assertIn("plan", world.entries["n-a"].held("n0"))

        play(check, names=("n-a",))

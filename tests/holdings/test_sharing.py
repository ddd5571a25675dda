"""Tests of polling endpoints and sharing their prefix caches."""

import asyncio
import unittest

from loguru import logger

from burdockdrum.holdings.sharing import SNAPSHOT_INTERVAL_SECONDS
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


class PrefixCacheSharingTest(unittest.TestCase):
    """Polling, propagation and recovery among a few entries."""

    def setUp(self):
        logger.disable("burdockdrum")
        self.addCleanup(logger.enable, "burdockdrum")

    def test_change_reaches_the_region_within_two_seconds(self):
        # Otherwise an entry would route a prompt with this prefix to an
        # endpoint that has to compute it again.
        async def check(world):
            world.share("plan")
            await asyncio.sleep(1)
            world.caches["n0"].put("plan", 4900)
            await asyncio.sleep(2)
            for name in ("n-a", "n-b", "n-c"):
                entry = world.entries[name]
                self.assertEqual(
                    {"plan": 4900}, dict(entry.cached_parts("n0"))
                )

        play(check)

    def test_unexpected_error_of_one_endpoint_stops_no_other_poll(self):
        # One report that raised RecursionError ended the entry's process.
        async def check(world):
            world.share("plan")
            world.caches["n0"].error = RecursionError("too deep")
            await asyncio.sleep(5)
            world.caches["n1"].put("plan", 4900)
            await asyncio.sleep(3)
            for name in ("n-a", "n-b", "n-c"):
                entry = world.entries[name]
                self.assertIn("plan", entry.cached_parts("n1"))
            world.caches["n0"].error = None
            world.caches["n0"].put("plan", 4900)
            await asyncio.sleep(8)
            self.assertIn("plan", world.entries["n-a"].cached_parts("n0"))

        play(check)

    def test_only_long_parts_reach_another_region(self):
        async def check(world):
            world.share("plan", "head")
            await asyncio.sleep(1)
            world.caches["n0"].put("plan", 4900)
            world.caches["n0"].put("head", 300)
            await asyncio.sleep(3.5)
            for name in ("s-a", "s-b", "s-c"):
                entry = world.entries[name]
                self.assertEqual(
                    {"plan": 4900}, dict(entry.cached_parts("n0"))
                )
                cache = entry.table.find("n0")
                self.assertEqual("n-dc", cache.data_centre)
            world.caches["n0"].put("plan", 0)
            await asyncio.sleep(3.5)
            for name in NAMES:
                cached = world.entries[name].cached_parts("n0")
                self.assertNotIn("plan", cached)

        play(check)

    def test_parts_of_a_single_request_are_not_published(self):
        # Most cached parts never recur; publishing them wastes bandwidth.
        async def check(world):
            cache = world.caches["n0"]
            for number in range(100):
                cache.put(f"own-{number}", 3000)
            await asyncio.sleep(3)
            count = sum(
                "own-1" in world.entries[name].cached_parts("n0")
                for name in ("n-a", "n-b", "n-c")
            )
            self.assertEqual(1, count)

        play(check)

    def test_part_is_published_once_it_is_found_to_be_shared(self):
        # The polling entry sees the cached part before it sees any prompt
        # that shares it.
        async def check(world):
            world.caches["n0"].put("plan", 4900)
            await asyncio.sleep(2)
            for name in ("n-a", "n-b", "n-c"):
                world.entries[name].sharing.mark_shared("plan")
            await asyncio.sleep(1)
            for name in ("n-a", "n-b", "n-c"):
                self.assertIn("plan", world.entries[name].cached_parts("n0"))

        play(check)

    def test_each_endpoint_is_polled_by_one_entry_once_a_second(self):
        async def check(world):
            cache = world.caches["n0"]
            before = cache.queries
            for number in range(100):
                cache.put("plan", 100 + number)
                await asyncio.sleep(0.1)
            self.assertLessEqual(cache.queries - before, 11)
            self.assertGreaterEqual(cache.queries - before, 9)
            self.assertEqual(1, cache.snapshots)

        play(check)

    def test_gap_and_restart_are_followed_by_a_snapshot(self):
        # The endpoint drops old events, then restarts with an empty cache
        # under the same id. Either must not leave stale parts in the table.
        async def check(world):
            world.share("plan", "next")
            cache = world.caches["n0"]
            cache.max_events = 2
            await asyncio.sleep(1)
            cache.put("plan", 4900)
            for number in range(5):
                cache.put("other", number + 1)
            await asyncio.sleep(2)
            self.assertIn("plan", world.entries["n-a"].cached_parts("n0"))
            cache.restart()
            cache.put("next", 700)
            await asyncio.sleep(3)
            cached = world.entries["n-b"].cached_parts("n0")
            self.assertEqual({"next": 700}, dict(cached))

        play(check)

    def test_restarted_entry_loads_the_table_of_another(self):
        # It must not wait for changes, nor query snapshots from endpoints.
        async def check(world):
            world.share("plan")
            for name in ("n0", "n1", "s0"):
                world.caches[name].put("plan", 4900)
            await asyncio.sleep(4)
            snapshots = {n: m.snapshots for n, m in world.caches.items()}
            await world.stop("n-b")
            await world.start("n-b")
            await asyncio.sleep(0.5)
            for name in ("n0", "n1", "s0"):
                self.assertIn("plan", world.entries["n-b"].cached_parts(name))
            await asyncio.sleep(3)
            again = {n: m.snapshots for n, m in world.caches.items()}
            self.assertEqual(snapshots, again)

        play(check)

    def test_successor_continues_from_the_last_event(self):
        # The entry that polls n0 ends. Another one must take over without
        # querying a snapshot.
        async def check(world):
            world.share("plan", "next")
            world.caches["n0"].put("plan", 4900)
            await asyncio.sleep(2)
            gone = next(
                name
                for name, entry in world.entries.items()
                if "n0" in entry.poller.endpoint_ids
            )
            await world.stop(gone)
            for entry in world.entries.values():
                entry.sharing.mark_shared("next")
            world.caches["n0"].put("next", 700)
            await asyncio.sleep(3)
            for name, entry in world.entries.items():
                if name.startswith("n"):
                    self.assertIn("next", entry.cached_parts("n0"))
            self.assertEqual(1, world.caches["n0"].snapshots)

        play(check)

    def test_restart_of_all_entries_needs_one_snapshot_an_endpoint(self):
        # All entries are killed, and the endpoints keep their caches. These
        # must be known again soon after the start.
        async def check(world):
            for name in list(world.entries):
                await world.stop(name)
            for cache in world.caches.values():
                cache.put("plan", 4900)
                cache.snapshots = 0
            for name in NAMES:
                await world.start(name)
            await asyncio.sleep(1.5)
            snapshots = [m.snapshots for m in world.caches.values()]
            self.assertEqual([1, 1, 1, 1], snapshots)
            holding = [
                entry
                for entry in world.entries.values()
                if "plan" in entry.cached_parts("n0")
            ]
            self.assertEqual(1, len(holding))

        play(check)

    def test_snapshots_repair_a_lost_update(self):
        # A partition drops an update on its way to one entry.
        async def check(world):
            world.share("plan")
            poller = next(
                name
                for name, entry in world.entries.items()
                if "n0" in entry.poller.endpoint_ids
            )
            other = next(n for n in ("n-a", "n-b", "n-c") if n != poller)
            world.network.cut([poller], [other])
            world.caches["n0"].put("plan", 4900)
            await asyncio.sleep(2)
            world.network.heal([poller], [other])
            await asyncio.sleep(SNAPSHOT_INTERVAL_SECONDS + 1)
            self.assertIn("plan", world.entries[other].cached_parts("n0"))

        play(check)

    def test_endpoint_in_backoff_is_not_queried(self):
        # Guards against queries to an endpoint that wants no requests.
        async def check(world):
            await asyncio.sleep(2)
            ends_at = world.clock.monotonic() + 6
            for entry in world.entries.values():
                entry.poller.read_backoff = lambda endpoint_id: (
                    ends_at - world.clock.monotonic()
                )
            # The query in flight may still end.
            await asyncio.sleep(1.5)
            queries = world.caches["n0"].queries
            await asyncio.sleep(4)
            self.assertEqual(queries, world.caches["n0"].queries)
            await asyncio.sleep(2)
            self.assertGreater(world.caches["n0"].queries, queries)

        play(check)

    def test_cache_of_unreachable_endpoint_is_kept(self):
        async def check(world):
            world.share("plan")
            cache = world.caches["n0"]
            cache.put("plan", 4900)
            await asyncio.sleep(2)
            cache.is_unreachable = True
            await asyncio.sleep(10)
            self.assertIn("plan", world.entries["n-a"].cached_parts("n0"))
            cache.is_unreachable = False
            cache.put("plan", 0)
            await asyncio.sleep(4)
            self.assertNotIn("plan", world.entries["n-a"].cached_parts("n0"))

        play(check)

    def test_unreachable_endpoint_is_published(self):
        # Otherwise entries would have endpoints fetch prefixes from a crashed
        # one, and each fetch would wait for its timeout.
        async def check(world):
            world.share("plan")
            cache = world.caches["n0"]
            cache.put("plan", 4900)
            await asyncio.sleep(4)
            cache.is_unreachable = True
            cache.put("plan", 4900)
            await asyncio.sleep(4)
            for name in NAMES:
                known = world.entries[name].table.find("n0")
                self.assertTrue(known.is_unreachable, name)
            cache.is_unreachable = False
            await asyncio.sleep(5)
            for name in NAMES:
                known = world.entries[name].table.find("n0")
                self.assertFalse(known.is_unreachable, name)
                self.assertIn("plan", known.tokens_by_part)

        play(check)

    def test_single_entry_starts_without_others(self):
        async def check(world):
            world.caches["n0"].put("plan", 4900)
            await asyncio.sleep(2)
            self.assertIn("plan", world.entries["n-a"].cached_parts("n0"))

        play(check, names=("n-a",))

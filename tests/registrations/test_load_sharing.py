"""Tests of entries that share their loads."""

import asyncio
import random
import unittest

from burdockdrum.metrics import Metrics
from burdockdrum.peers import Peers
from burdockdrum.peers import Seal
from burdockdrum.peers import VmIdentity
from burdockdrum.registrations import LoadSharing
from burdockdrum.registrations import PlacedPrefix
from burdockdrum.registrations import RankLoad
from burdockdrum.registrations import ServiceCapacity
from burdockdrum.testing import FakeNetwork
from burdockdrum.testing import run_virtual
from burdockdrum.testing import VirtualClock
from burdockdrum.timeline import HybridClock

CAPACITY = ServiceCapacity("there", "s", 3, 12, [RankLoad(0, 5, 100)])
# The number of entries that other data centres know of each data centre.
VISIBLE_FROM_OTHER_DATA_CENTRES = 3


class Entry:
    """One entry; ``running`` has its number of requests by endpoint."""

    def __init__(self, world, name, data_centre):
        """Create an entry that has not started."""
        self.world = world
        self.address = f"tcp://{name}:1"
        self.identity = VmIdentity(
            vm_id=name,
            incarnation=1,
            region="here",
            data_centre=data_centre,
            control_address=self.address,
            http_address=f"http://{name}:2",
        )
        self.running = {}
        self.placed = []
        self.received = []
        self.sharing = None
        self.task = None
        self.metrics = Metrics()

    async def start(self):
        """Start sharing."""
        peers = Peers(
            identity=self.identity,
            mailbox=await self.world.network.host(self.identity.vm_id).open(
                self.address
            ),
            clock=self.world.clock,
            hybrid_clock=HybridClock(clock=self.world.clock),
            rng=self.world.rng,
            seal=Seal(secret=b"s"),
            metrics=self.metrics,
        )
        self.sharing = LoadSharing(
            peers=peers,
            clock=self.world.clock,
            read_entries=lambda: self.world.visible_to(self),
            read_draining=lambda: self.identity.vm_id in self.world.draining,
            read_load=self.read_load,
            read_capacities=lambda: [CAPACITY],
        )
        self.sharing.pop_placed = self.pop_placed
        self.sharing.receive_placed = self.received.extend
        self.task = asyncio.create_task(self.run(peers))

    async def run(self, peers):
        """Run the services until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(peers.run())
                group.create_task(self.sharing.run())
        finally:
            await peers.close()

    async def stop(self):
        """Stop at once, as if killed."""
        self.task.cancel()
        await asyncio.wait({self.task})

    def read_load(self):
        """Return the own load in the form of messages."""
        return {
            endpoint_id: [RankLoad(1, count, 10 * count)]
            for endpoint_id, count in self.running.items()
            if count
        }

    def pop_placed(self):
        """Return and remove the placements since the last call."""
        placed, self.placed = self.placed, []
        return placed

    def load_of_others(self, endpoint_id):
        """Return the number of requests of other entries at an endpoint."""
        return self.sharing.load_of(endpoint_id).requests

    def frames(self):
        """Return how many frames were sent and received."""
        text = self.metrics.text().splitlines()
        return sum(
            float(line.rpartition(" ")[2])
            for line in text
            if line.startswith("burdockdrum_peer_frames_total{")
        )


class World:
    """Entries of one region in some data centres."""

    def __init__(self, *sizes):
        """Create entries that are not started.

        :param sizes: the number of entries of each data centre
        """
        self.clock = VirtualClock()
        self.rng = random.Random(1)
        self.network = FakeNetwork(rng=random.Random(1))
        self.network.set_default(delay=0.001)
        self.entries = [
            Entry(self, f"{name}{number:02}", name)
            for name, size in zip("abc", sizes, strict=False)
            for number in range(size)
        ]
        self.draining = set()
        # The entries whose failure membership has detected.
        self.detected = set()

    def visible_to(self, entry):
        """Return the entries that membership lists for an entry."""
        own = entry.identity.data_centre
        seen = []
        for other in self.entries:
            name = other.identity.vm_id
            if other is entry or name in self.detected | self.draining:
                continue
            number = int(name[1:])
            if other.identity.data_centre == own or (
                number < VISIBLE_FROM_OTHER_DATA_CENTRES
            ):
                seen.append(other.identity)
        return seen

    def aggregators(self):
        """Return the entries that are aggregators."""
        return [e for e in self.entries if e.sharing.is_aggregator]


def play(sizes, test):
    """Run a test with entries that have shared loads for two seconds."""

    async def main():
        world = World(*sizes)
        for entry in world.entries:
            await entry.start()
        await asyncio.sleep(2)
        await test(world)
        for entry in world.entries:
            await entry.stop()

    run_virtual(main())


class FewEntriesTest(unittest.TestCase):
    """A few entries, which broadcast their loads."""

    def test_others_know_a_load_within_two_intervals(self):
        async def check(world):
            first, second, third = world.entries
            first.running["e"] = 2
            second.running["e"] = 1
            await asyncio.sleep(0.25)
            counts = [entry.load_of_others("e") for entry in world.entries]
            self.assertEqual([1, 2, 3], counts)
            self.assertEqual([], world.aggregators())
            self.assertIsNotNone(third.sharing.read_report())

        play([3], check)

    def test_load_of_an_entry_that_is_gone_is_dropped(self):
        # Otherwise the endpoints of a killed entry would seem busy forever.
        async def check(world):
            first, second, _ = world.entries
            first.running["e"] = 3
            await asyncio.sleep(0.3)
            self.assertEqual(3, second.load_of_others("e"))
            await first.stop()
            await asyncio.sleep(2)
            self.assertEqual(0, second.load_of_others("e"))

        play([3], check)


class ManyEntriesTest(unittest.TestCase):
    """Many entries, which report to the aggregator of their data centre."""

    def test_every_entry_knows_the_load_of_all_others(self):
        # With only a part of the load, an entry would route a burst to
        # endpoints that other entries have filled already.
        async def check(world):
            for number, entry in enumerate(world.entries):
                entry.running["e"] = number
            await asyncio.sleep(1.5)
            total = sum(range(28))
            for number, entry in enumerate(world.entries):
                self.assertEqual(total - number, entry.load_of_others("e"))
            for entry in world.entries:
                entry.running.clear()
            await asyncio.sleep(1.5)
            counts = {entry.load_of_others("e") for entry in world.entries}
            self.assertEqual({0}, counts)

        play([14, 14], check)

    def test_message_rate_does_not_grow_with_the_entries(self):
        # Guards against broadcasts among many entries, which would take 54
        # frames an interval at each of 28 entries.
        async def check(world):
            before = {e.address: e.frames() for e in world.entries}
            await asyncio.sleep(10)
            for entry in world.entries:
                rate = (entry.frames() - before[entry.address]) / 10
                limit = 100 if entry.sharing.is_aggregator else 6
                self.assertLess(rate, limit)

        play([14, 14], check)

    def test_one_entry_of_a_data_centre_reports_for_all(self):
        async def check(world):
            for entry in world.entries:
                entry.running["e"] = 1
            await asyncio.sleep(1.5)
            reports = [e.sharing.read_report() for e in world.entries]
            published = [r for r in reports if r is not None]
            self.assertEqual(2, len(published))
            for report in published:
                [rank] = report["e"]
                self.assertEqual(14, rank.requests)

        play([14, 14], check)

    def test_killed_aggregator_is_replaced_before_membership_detects_it(self):
        # Until then, the other entries would know only their own load, and
        # all would route to the same endpoint that seems idle.
        async def check(world):
            [aggregator] = world.aggregators()
            rest = [
                entry for entry in world.entries if entry is not aggregator
            ]
            await aggregator.stop()
            for entry in rest:
                entry.running["e"] = 1
            await asyncio.sleep(2.5)
            counts = {entry.load_of_others("e") for entry in rest}
            self.assertEqual({len(rest) - 1}, counts)
            self.assertEqual(1, sum(e.sharing.is_aggregator for e in rest))

        play([8], check)

    def test_draining_aggregator_is_replaced(self):
        # Its remaining requests must stay known to the other entries.
        async def check(world):
            [aggregator] = world.aggregators()
            world.draining.add(aggregator.identity.vm_id)
            aggregator.running["e"] = 5
            await asyncio.sleep(1.5)
            rest = [
                entry for entry in world.entries if entry is not aggregator
            ]
            self.assertFalse(aggregator.sharing.is_aggregator)
            self.assertEqual({5}, {e.load_of_others("e") for e in rest})

        play([8], check)

    def test_partition_between_data_centres_drops_only_the_remote_load(self):
        # The load of the other data centre must expire, and that of the own
        # one must stay complete.
        async def check(world):
            for entry in world.entries:
                entry.running["e"] = 1
            await asyncio.sleep(1.5)
            names = [e.identity.vm_id for e in world.entries]
            world.network.cut(names[:6], names[6:])
            await asyncio.sleep(3)
            counts = {entry.load_of_others("e") for entry in world.entries}
            self.assertEqual({5}, counts)
            world.network.heal(names[:6], names[6:])
            await asyncio.sleep(2.5)
            counts = {entry.load_of_others("e") for entry in world.entries}
            self.assertEqual({11}, counts)

        play([6, 6], check)

    def test_placed_prefixes_reach_every_other_entry_once(self):
        async def check(world):
            placed = PlacedPrefix("e", [("part", 800)])
            world.entries[3].placed.append(placed)
            await asyncio.sleep(2)
            for entry in world.entries:
                expected = [] if entry is world.entries[3] else [placed]
                self.assertEqual(expected, entry.received)

        play([6, 6], check)

    def test_entries_without_a_report_are_counted(self):
        # An entry without replies must know how many loads it lacks.
        async def check(world):
            for entry in world.entries:
                self.assertEqual(0, entry.sharing.unreported_entries)
            names = [e.identity.vm_id for e in world.entries]
            world.network.cut(names[:1], names[1:])
            await asyncio.sleep(3)
            alone, *others = world.entries
            self.assertEqual(7, alone.sharing.unreported_entries)
            self.assertLessEqual(
                {e.sharing.unreported_entries for e in others}, {0, 1}
            )

        play([8], check)

    def test_few_entries_without_a_report_are_counted(self):
        async def check(world):
            first, second, third = world.entries
            self.assertEqual(0, first.sharing.unreported_entries)
            await second.stop()
            await asyncio.sleep(2)
            self.assertEqual(1, first.sharing.unreported_entries)
            self.assertEqual(1, third.sharing.unreported_entries)

        play([3], check)

    def test_replies_contain_the_capacities(self):
        async def check(world):
            for entry in world.entries:
                self.assertEqual([CAPACITY], entry.sharing.capacities)

        play([6], check)

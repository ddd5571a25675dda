"""Tests of entries that tell each other what teams use, in memory."""

import asyncio
import random
import unittest
from unittest import mock

from burdockdrum.histories import Began
from burdockdrum.histories import check_limits
from burdockdrum.histories import LimitInForce
from burdockdrum.metrics import Metrics
from burdockdrum.peers import Peers
from burdockdrum.peers import Seal
from burdockdrum.peers import VmIdentity
from burdockdrum.quotas import QuotaMeter
from burdockdrum.quotas.sharing import UseSharing
from burdockdrum.quotas.sums import NO_USE
from burdockdrum.resources import RateLimit
from burdockdrum.testing import FakeNetwork
from burdockdrum.testing import run_virtual
from burdockdrum.testing import VirtualClock
from burdockdrum.timeline import HybridClock
from burdockdrum.verdicts import Refusal
from tests.callers.fakes import FakeConfiguration
from tests.callers.fakes import make_finder
from tests.callers.fakes import make_team

# What a data centre tells of its entries to another one.
SEEN_FROM_OUTSIDE = 3
STEP_SECONDS = 0.02
WINDOW_SECONDS = 8.0
# Which part of a limit may be used beyond it in a window.
OVER = 0.1
RATE = 1000.0
COST = 5


class Entry:
    """One entry with a meter; ``admitted`` are moments of what passed."""

    def __init__(self, world, name, data_centre, region):
        """Create an entry that has not started."""
        self.world = world
        self.address = f"tcp://{name}:1"
        self.identity = VmIdentity(
            vm_id=name,
            incarnation=1,
            region=region,
            data_centre=data_centre,
            control_address=self.address,
            http_address=f"http://{name}:2",
        )
        self.task = None

    async def start(self):
        """Count and share from now on."""
        world = self.world
        peers = Peers(
            identity=self.identity,
            mailbox=await world.network.host(self.identity.vm_id).open(
                self.address
            ),
            clock=world.clock,
            hybrid_clock=HybridClock(clock=world.clock),
            rng=world.rng,
            seal=Seal(secret=b"s"),
            metrics=Metrics(),
        )
        self.sharing = UseSharing(
            peers=peers,
            clock=world.clock,
            read_entries=lambda: world.seen_by(self),
            data_centres=world.data_centres,
        )
        self.finder = make_finder(world.configuration)
        self.meter = QuotaMeter(
            clock=world.clock,
            rng=world.rng,
            callers=self.finder,
            sharing=self.sharing,
            metrics=Metrics(),
        )
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
        """End at once, as if killed."""
        self.task.cancel()
        await asyncio.wait({self.task})

    def ask(self):
        """Let one request in, or refuse it."""
        self.world.asked += 1
        try:
            self.meter.take(self.finder.find("k"), COST)
        except Refusal:
            self.world.refused += 1
            return
        now = self.world.clock.monotonic()
        self.world.admitted.append(Began(time=now, team="t", cost=COST))


class World:
    """Three regions of two data centres, each with some entries."""

    def __init__(self, entries_here=3):
        """Create the entries."""
        self.clock = VirtualClock()
        self.rng = random.Random(7)
        self.network = FakeNetwork(rng=self.rng)
        self.configuration = FakeConfiguration()
        self.limits = []
        limit = RateLimit(unit="tokens", per_second=RATE, burst=RATE)
        self.bring(limit, binds_after=0.0)
        regions = "abc"
        self.data_centres = [f"{r}{n}" for r in regions for n in (1, 2)]
        self.entries = [
            Entry(self, f"{name}-{number}", name, name[0])
            for name in self.data_centres
            for number in range(entries_here)
        ]
        for first in self.entries:
            for second in self.entries:
                if first.identity.region != second.identity.region:
                    self.network.set_link(
                        first.identity.vm_id,
                        second.identity.vm_id,
                        delay=0.055,
                    )
        self.down = set()
        self.asked = self.refused = 0
        self.admitted = []

    def seen_by(self, entry):
        """Return what membership tells an entry."""
        seen = []
        for name in self.data_centres:
            there = [
                e.identity
                for e in self.entries
                if e.identity.data_centre == name
                and e is not entry
                and e not in self.down
            ]
            is_here = name == entry.identity.data_centre
            seen += there if is_here else there[:SEEN_FROM_OUTSIDE]
        return seen

    async def start(self):
        """Start every entry."""
        for entry in self.entries:
            await entry.start()

    async def play(self, seconds, demand_by_region):
        """Send tokens a second to entries of regions, evenly."""
        owed = dict.fromkeys(demand_by_region, 0.0)
        for _ in range(round(seconds / STEP_SECONDS)):
            for region, demand in demand_by_region.items():
                owed[region] += demand * STEP_SECONDS
                entries = [
                    e
                    for e in self.entries
                    if e.identity.region == region and e not in self.down
                ]
                while owed[region] >= COST and entries:
                    owed[region] -= COST
                    self.rng.choice(entries).ask()
            await self.clock.sleep(STEP_SECONDS)

    def refused_part(self):
        """Return the part refused since the last call."""
        part = self.refused / max(1, self.asked)
        self.asked = self.refused = 0
        return part

    def violations(self):
        """Return which limits were not kept."""
        return check_limits(
            self.admitted,
            self.limits,
            window_seconds=WINDOW_SECONDS,
            over=OVER,
        )

    def bring(self, limit, binds_after):
        """Bring a limit into force, and note from when it binds."""
        team = make_team("t", "k", limit=limit)
        self.configuration.bring(teams=[team], generation=2)
        at = self.clock.monotonic() + binds_after
        self.limits.append(LimitInForce(time=at, team="t", limit=limit))

    def hosts(self, *regions):
        """Return the names of the entries of regions."""
        return [
            e.identity.vm_id
            for e in self.entries
            if e.identity.region in regions
        ]


USUAL = RATE / 1.8


class SharedLimitTest(unittest.TestCase):
    """One team with a limit over 18 entries in three regions."""

    def play(self, scene, **world):
        """Play a scene in virtual time and return its world."""

        async def run():
            self.world = World(**world)
            await self.world.start()
            await self.world.clock.sleep(4.0)
            await scene(self.world)
            for entry in self.world.entries:
                if entry not in self.world.down:
                    await entry.stop()

        run_virtual(run())
        return self.world.violations()

    def test_demand_that_moves_between_regions_is_not_refused(self):
        """Regions that are kept to shares refuse at their peaks."""

        async def scene(world):
            for region in "abcab":
                await world.play(5, {region: USUAL})
            self.assertLess(world.refused_part(), 0.002)

        self.assertEqual([], self.play(scene))

    def test_sixfold_demand_gets_the_limit_and_no_more(self):
        """Each of many entries lets the whole limit through."""

        async def scene(world):
            third = USUAL / 3
            await world.play(5, dict.fromkeys("abc", third))
            await world.play(12, dict.fromkeys("abc", 6 * third))
            last = [one.cost for one in world.admitted if one.time > 15.0]
            self.assertGreater(sum(last), 0.85 * RATE * 6)

        self.assertEqual([], self.play(scene))

    def test_regions_cut_off_keep_to_their_parts_together(self):
        """A team beyond its limit gets it once in each part of a cut."""

        async def scene(world):
            third = USUAL / 3
            await world.play(4, dict.fromkeys("abc", third))
            network = world.network
            network.cut(world.hosts("a"), world.hosts("b", "c"))
            network.cut(world.hosts("b"), world.hosts("c"))
            await world.play(10, dict.fromkeys("abc", 6 * third))
            network.heal(world.hosts("a"), world.hosts("b", "c"))
            network.heal(world.hosts("b"), world.hosts("c"))
            await world.play(6, dict.fromkeys("abc", 6 * third))

        self.assertEqual([], self.play(scene))

    def test_peak_that_moves_during_a_cut_is_mostly_served(self):
        async def scene(world):
            await world.play(5, {"a": 0.9 * USUAL, "b": 0.1 * USUAL})
            world.network.cut(world.hosts("b"), world.hosts("a", "c"))
            await world.play(2, {"a": 0.7 * USUAL, "b": 0.3 * USUAL})
            self.assertLess(world.refused_part(), 0.05)

        self.assertEqual([], self.play(scene))

    def test_restart_of_all_neither_doubles_nor_withholds_the_limit(self):
        async def scene(world):
            third = USUAL / 3
            hot = dict.fromkeys("abc", 6 * third)
            await world.play(6, hot)
            for entry in world.entries:
                await entry.stop()
            await world.clock.sleep(2.0)
            for entry in world.entries:
                await entry.start()
            await world.play(8, hot)
            world.refused_part()
            await world.play(5, dict.fromkeys("abc", third))
            self.assertLess(world.refused_part(), 0.15)

        self.assertEqual([], self.play(scene))

    def test_loss_of_keepers_neither_doubles_nor_withholds_the_limit(self):
        async def scene(world):
            third = USUAL / 3
            usual = dict.fromkeys("abc", third)
            await world.play(5, usual)
            for entry in world.entries:
                if entry.sharing.is_keeper:
                    world.down.add(entry)
                    await entry.stop()
            await world.play(6, usual)
            self.assertLess(world.refused_part(), 0.02)
            await world.play(10, dict.fromkeys("abc", 6 * third))

        self.assertEqual([], self.play(scene))

    def test_lower_limit_binds_all(self):
        """A limit falls far below what is sent while entries go on."""

        async def scene(world):
            await world.play(6, dict.fromkeys("abc", RATE / 3))
            limit = RateLimit(unit="tokens", per_second=200.0, burst=200.0)
            world.bring(limit, binds_after=WINDOW_SECONDS / 2)
            await world.play(12, dict.fromkeys("abc", RATE / 3))

        self.assertEqual([], self.play(scene))


class MutationTest(unittest.TestCase):
    """The checker of limits sees what it is there for."""

    play = SharedLimitTest.play

    async def play_hot(self, world):
        """Send six times the usual everywhere."""
        third = USUAL / 3
        await world.play(3, dict.fromkeys("abc", third))
        await world.play(9, dict.fromkeys("abc", 6 * third))

    def test_entries_that_count_for_themselves_are_caught(self):
        with mock.patch.object(UseSharing, "others", return_value=NO_USE):
            self.assertNotEqual([], self.play(self.play_hot))

    def test_limit_whole_on_both_sides_of_a_cut_is_caught(self):
        async def scene(world):
            network = world.network
            network.cut(world.hosts("a"), world.hosts("b", "c"))
            network.cut(world.hosts("b"), world.hosts("c"))
            await self.play_hot(world)

        with mock.patch.object(UseSharing, "unheard", return_value=0.0):
            self.assertNotEqual([], self.play(scene))

    def test_lower_limit_that_is_not_obeyed_is_caught(self):
        async def scene(world):
            before = world.configuration.current
            limit = RateLimit(unit="tokens", per_second=200.0, burst=200.0)
            world.bring(limit, binds_after=WINDOW_SECONDS / 2)
            world.configuration.current = before
            await world.play(15, dict.fromkeys("abc", RATE / 3))

        self.assertNotEqual([], self.play(scene))

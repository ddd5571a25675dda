"""Tests of the exchange of usage between entries, over a fake network."""

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
from burdockdrum.quotas.sharing import UsageSharing
from burdockdrum.quotas.sums import NO_USAGE
from burdockdrum.resources import RateLimit
from burdockdrum.testing import FakeNetwork
from burdockdrum.testing import run_virtual
from burdockdrum.testing import VirtualClock
from burdockdrum.timeline import HybridClock
from burdockdrum.verdicts import Refusal
from tests.callers.fakes import FakeConfiguration
from tests.callers.fakes import make_finder
from tests.callers.fakes import make_team

# How many entries of a data centre are visible from other data centres.
MAX_VISIBLE_ENTRIES = 3
STEP_SECONDS = 0.02
WINDOW_SECONDS = 8.0
# The fraction by which a limit may be exceeded in a window.
TOLERANCE = 0.1
RATE = 1000.0
COST = 5


class Entry:
    """One entry with a meter."""

    def __init__(self, world, name, data_centre, region):
        """Create an entry without starting it."""
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
        """Start metering and exchanging usage."""
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
        self.sharing = UsageSharing(
            peers=peers,
            clock=world.clock,
            read_entries=lambda: world.visible_entries(self),
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
        """Stop the entry at once, as if it were killed."""
        self.task.cancel()
        await asyncio.wait({self.task})

    def send_request(self):
        """Admit one request, or refuse it."""
        self.world.sent += 1
        try:
            self.meter.acquire(self.finder.find("k"), COST)
        except Refusal:
            self.world.refused += 1
            return
        now = self.world.clock.monotonic()
        self.world.admitted.append(Began(time=now, team="t", cost=COST))


class World:
    """Three regions of two data centres, each with several entries."""

    def __init__(self, entries_per_data_centre=3):
        """Create the entries."""
        self.clock = VirtualClock()
        self.rng = random.Random(7)
        self.network = FakeNetwork(rng=self.rng)
        self.configuration = FakeConfiguration()
        self.limits = []
        limit = RateLimit(unit="tokens", per_second=RATE, burst=RATE)
        self.set_limit(limit, enforced_after=0.0)
        regions = "abc"
        self.data_centres = [f"{r}{n}" for r in regions for n in (1, 2)]
        self.entries = [
            Entry(self, f"{name}-{number}", name, name[0])
            for name in self.data_centres
            for number in range(entries_per_data_centre)
        ]
        for first in self.entries:
            for second in self.entries:
                if first.identity.region != second.identity.region:
                    self.network.set_link(
                        first.identity.vm_id,
                        second.identity.vm_id,
                        delay=0.055,
                    )
        self.stopped = set()
        self.sent = self.refused = 0
        self.admitted = []

    def visible_entries(self, entry):
        """Return the entries that membership shows to an entry."""
        visible = []
        for name in self.data_centres:
            there = [
                e.identity
                for e in self.entries
                if e.identity.data_centre == name
                and e is not entry
                and e not in self.stopped
            ]
            is_here = name == entry.identity.data_centre
            visible += there if is_here else there[:MAX_VISIBLE_ENTRIES]
        return visible

    async def start(self):
        """Start every entry."""
        for entry in self.entries:
            await entry.start()

    async def generate(self, seconds, demand_by_region):
        """Send requests of the given tokens per second to each region."""
        pending = dict.fromkeys(demand_by_region, 0.0)
        for _ in range(round(seconds / STEP_SECONDS)):
            for region, demand in demand_by_region.items():
                pending[region] += demand * STEP_SECONDS
                entries = [
                    e
                    for e in self.entries
                    if e.identity.region == region and e not in self.stopped
                ]
                while pending[region] >= COST and entries:
                    pending[region] -= COST
                    self.rng.choice(entries).send_request()
            await self.clock.sleep(STEP_SECONDS)

    def refused_fraction(self):
        """Return the fraction refused since the last call."""
        part = self.refused / max(1, self.sent)
        self.sent = self.refused = 0
        return part

    def violations(self):
        """Return the windows in which a limit was exceeded."""
        return check_limits(
            self.admitted,
            self.limits,
            window_seconds=WINDOW_SECONDS,
            over=TOLERANCE,
        )

    def set_limit(self, limit, enforced_after):
        """Apply a limit, and record when it takes effect."""
        team = make_team("t", "k", limit=limit)
        self.configuration.apply(teams=[team], generation=2)
        at = self.clock.monotonic() + enforced_after
        self.limits.append(LimitInForce(time=at, team="t", limit=limit))

    def hosts(self, *regions):
        """Return the hosts of the entries in the given regions."""
        return [
            e.identity.vm_id
            for e in self.entries
            if e.identity.region in regions
        ]


USUAL_RATE = RATE / 1.8


class SharedLimitTest(unittest.TestCase):
    """One team's limit over 18 entries in three regions."""

    def run_scenario(self, scenario, **world):
        """Run a scenario in virtual time and return its violations."""

        async def run():
            self.world = World(**world)
            await self.world.start()
            await self.world.clock.sleep(4.0)
            await scenario(self.world)
            for entry in self.world.entries:
                if entry not in self.world.stopped:
                    await entry.stop()

        run_virtual(run())
        return self.world.violations()

    def test_demand_that_moves_between_regions_is_not_refused(self):
        """Static shares per region refuse demand within the limit."""

        async def scenario(world):
            for region in "abcab":
                await world.generate(5, {region: USUAL_RATE})
            self.assertLess(world.refused_fraction(), 0.002)

        self.assertEqual([], self.run_scenario(scenario))

    def test_excess_demand_gets_the_limit_and_no_more(self):
        """Each of many entries admits the whole limit."""

        async def scenario(world):
            third = USUAL_RATE / 3
            await world.generate(5, dict.fromkeys("abc", third))
            await world.generate(12, dict.fromkeys("abc", 6 * third))
            last = [one.cost for one in world.admitted if one.time > 15.0]
            self.assertGreater(sum(last), 0.85 * RATE * 6)

        self.assertEqual([], self.run_scenario(scenario))

    def test_partitioned_regions_together_keep_to_the_limit(self):
        """Each side of a partition admits the whole limit."""

        async def scenario(world):
            third = USUAL_RATE / 3
            await world.generate(4, dict.fromkeys("abc", third))
            network = world.network
            network.cut(world.hosts("a"), world.hosts("b", "c"))
            network.cut(world.hosts("b"), world.hosts("c"))
            await world.generate(10, dict.fromkeys("abc", 6 * third))
            network.heal(world.hosts("a"), world.hosts("b", "c"))
            network.heal(world.hosts("b"), world.hosts("c"))
            await world.generate(6, dict.fromkeys("abc", 6 * third))

        self.assertEqual([], self.run_scenario(scenario))

    def test_demand_that_moves_during_a_partition_is_mostly_served(self):
        async def scenario(world):
            await world.generate(
                5, {"a": 0.9 * USUAL_RATE, "b": 0.1 * USUAL_RATE}
            )
            world.network.cut(world.hosts("b"), world.hosts("a", "c"))
            await world.generate(
                2, {"a": 0.7 * USUAL_RATE, "b": 0.3 * USUAL_RATE}
            )
            self.assertLess(world.refused_fraction(), 0.05)

        self.assertEqual([], self.run_scenario(scenario))

    def test_restart_of_all_entries_keeps_to_the_limit(self):
        """A restart admits too much, or refuses usual demand."""

        async def scenario(world):
            third = USUAL_RATE / 3
            overload = dict.fromkeys("abc", 6 * third)
            await world.generate(6, overload)
            for entry in world.entries:
                await entry.stop()
            await world.clock.sleep(2.0)
            for entry in world.entries:
                await entry.start()
            await world.generate(8, overload)
            world.refused_fraction()
            await world.generate(5, dict.fromkeys("abc", third))
            self.assertLess(world.refused_fraction(), 0.15)

        self.assertEqual([], self.run_scenario(scenario))

    def test_loss_of_aggregators_keeps_to_the_limit(self):
        """New aggregators admit too much, or refuse usual demand."""

        async def scenario(world):
            third = USUAL_RATE / 3
            usual = dict.fromkeys("abc", third)
            await world.generate(5, usual)
            for entry in world.entries:
                if entry.sharing.is_aggregator:
                    world.stopped.add(entry)
                    await entry.stop()
            await world.generate(6, usual)
            self.assertLess(world.refused_fraction(), 0.02)
            await world.generate(10, dict.fromkeys("abc", 6 * third))

        self.assertEqual([], self.run_scenario(scenario))

    def test_lower_limit_is_enforced_by_all_entries(self):
        """Entries keep to the old limit after it was lowered under load."""

        async def scenario(world):
            await world.generate(6, dict.fromkeys("abc", RATE / 3))
            limit = RateLimit(unit="tokens", per_second=200.0, burst=200.0)
            world.set_limit(limit, enforced_after=WINDOW_SECONDS / 2)
            await world.generate(12, dict.fromkeys("abc", RATE / 3))

        self.assertEqual([], self.run_scenario(scenario))


class MutationTest(unittest.TestCase):
    """The checker of limits detects faulty implementations."""

    run_scenario = SharedLimitTest.run_scenario

    async def generate_overload(self, world):
        """Send six times the usual demand to every region."""
        third = USUAL_RATE / 3
        await world.generate(3, dict.fromkeys("abc", third))
        await world.generate(9, dict.fromkeys("abc", 6 * third))

    def test_usage_counted_per_entry_is_detected(self):
        with mock.patch.object(UsageSharing, "others", return_value=NO_USAGE):
            self.assertNotEqual([], self.run_scenario(self.generate_overload))

    def test_whole_limit_on_both_sides_of_a_partition_is_detected(self):
        async def scenario(world):
            network = world.network
            network.cut(world.hosts("a"), world.hosts("b", "c"))
            network.cut(world.hosts("b"), world.hosts("c"))
            await self.generate_overload(world)

        with mock.patch.object(
            UsageSharing, "reserved_fraction", return_value=0.0
        ):
            self.assertNotEqual([], self.run_scenario(scenario))

    def test_lower_limit_that_is_not_applied_is_detected(self):
        async def scenario(world):
            before = world.configuration.current
            limit = RateLimit(unit="tokens", per_second=200.0, burst=200.0)
            world.set_limit(limit, enforced_after=WINDOW_SECONDS / 2)
            world.configuration.current = before
            await world.generate(15, dict.fromkeys("abc", RATE / 3))

        self.assertNotEqual([], self.run_scenario(scenario))

"""Tests that a drain announced to one entry binds all of the region."""

import asyncio
import random
import unittest

from burdockdrum.registrations.follower import TOMBSTONE_SECONDS
from burdockdrum.registrations.messages import RegistrationState
from burdockdrum.registrations.table import RegistrationTable
from burdockdrum.testing import run_virtual
from tests.registrations.test_book import make as make_check_in
from tests.registrations.test_book import SteppedClock
from tests.registrations.test_following import make
from tests.registrations.test_following import play
from tests.registrations.test_following import World

FAULT_SEEDS = 8


def state_of(world, entry, endpoint_id="e1"):
    """Return the state of an endpoint as an entry believes it."""
    endpoint = world.followers[entry].endpoints_by_id.get(endpoint_id)
    return endpoint.state if endpoint is not None else None


async def check_in(world, control, sequence):
    """Let the endpoint check in as ready."""
    world.tables[control].apply(make("e1", sequence=sequence))
    await asyncio.sleep(0.3)


class DrainTest(unittest.TestCase):
    """Control VMs a and b, entries x and y; x receives the announcement."""

    def assert_draining(self, world, *entries):
        for entry in entries:
            self.assertIs(
                RegistrationState.DRAINING, state_of(world, entry), entry
            )

    def test_drain_reaches_every_entry(self):
        # Guards against the other entries sending on until a check-in says
        # that the endpoint drains.
        async def check(world):
            await check_in(world, "a", 1)
            self.assertTrue(world.followers["x"].record_drain("e1"))
            self.assert_draining(world, "x")
            await asyncio.sleep(0.3)
            self.assert_draining(world, "x", "y")
            self.assertFalse(world.followers["x"].record_drain("e1"))

        play(check)

    def test_ready_check_in_does_not_end_a_drain(self):
        # Also at a control VM that did not know the endpoint.
        async def check(world):
            await check_in(world, "a", 1)
            world.followers["x"].record_drain("e1")
            for sequence, control in enumerate("aabb", start=2):
                await check_in(world, control, sequence)
                self.assert_draining(world, "x", "y")
            await asyncio.sleep(1)
            for table in world.tables.values():
                self.assertEqual([], list(table.ready()))

        play(check)

    def test_restart_of_every_control_vm_does_not_end_a_drain(self):
        async def check(world):
            await check_in(world, "a", 1)
            world.followers["x"].record_drain("e1")
            await asyncio.sleep(1)
            for control in "ab":
                await world.stop(control)
                await world.start(control)
            for sequence in range(2, 5):
                await check_in(world, "a", sequence)
                self.assert_draining(world, "x", "y")
            self.assertEqual([], list(world.tables["a"].ready()))

        play(check)

    def test_entry_that_was_told_tells_others(self):
        # The entry that received the announcement is gone, and the control
        # VMs have forgotten it.
        async def check(world):
            await check_in(world, "a", 1)
            world.followers["x"].record_drain("e1")
            await asyncio.sleep(1)
            await world.stop("x")
            for control in "ab":
                await world.stop(control)
                await world.start(control)
            for sequence in range(2, 6):
                await check_in(world, "b", sequence)
                self.assert_draining(world, "y")
            self.assertEqual([], list(world.tables["b"].ready()))

        play(check)

    def test_entry_that_starts_later_learns_of_it(self):
        async def check(world):
            await check_in(world, "a", 1)
            world.followers["x"].record_drain("e1")
            await check_in(world, "b", 2)
            await asyncio.sleep(1)
            await world.stop("x")
            await world.start("z")
            await asyncio.sleep(1)
            self.assert_draining(world, "z")

        play(check)

    def test_entry_without_control_vms_keeps_to_it_at_once(self):
        async def check(world):
            await check_in(world, "a", 1)
            world.network.cut(["x"], ["a", "b"])
            world.followers["x"].record_drain("e1")
            self.assert_draining(world, "x")
            await check_in(world, "a", 2)
            await asyncio.sleep(2)
            self.assertIs(RegistrationState.READY, state_of(world, "y"))
            world.network.heal(["x"], ["a", "b"])
            await asyncio.sleep(2)
            self.assert_draining(world, "x", "y")

        play(check)

    def test_another_incarnation_does_not_drain(self):
        async def check(world):
            first = make("e@1", sequence=9)
            world.tables["a"].apply(first)
            await asyncio.sleep(0.3)
            world.followers["x"].record_drain("e@1")
            await asyncio.sleep(0.3)
            world.tables["a"].apply(make("e@2"))
            await asyncio.sleep(0.3)
            self.assertIs(RegistrationState.READY, state_of(world, "y", "e@2"))

        play(check)

    def test_state_ends_with_the_endpoint(self):
        # Guards against a table that grows with each endpoint that drains.
        async def check(world):
            await check_in(world, "a", 1)
            world.followers["x"].record_drain("e1")
            await asyncio.sleep(1)
            world.tables["a"].end("e1")
            await asyncio.sleep(5)
            world.tables["a"].apply(make("e1", sequence=7))
            await asyncio.sleep(1)
            self.assertIsNone(state_of(world, "x"))
            await asyncio.sleep(TOMBSTONE_SECONDS + 5)
            for follower in world.followers.values():
                self.assertEqual({}, follower._drains._registered_at_by_id)

        play(check)


class FaultTest(unittest.TestCase):
    """Cuts and restarts in series, overlapping, with ready check-ins."""

    def test_drain_holds_under_random_faults(self):
        for seed in range(FAULT_SEEDS):
            with self.subTest(seed=seed):
                run_virtual(self.play(seed))

    async def play(self, seed):
        rng, world = random.Random(seed), World(seed)
        for name in "abxy":
            await world.start(name)
        await asyncio.sleep(1)
        await check_in(world, "a", 1)
        world.followers["x"].record_drain("e1")
        for sequence in range(2, 60):
            self.inject(rng, world)
            if rng.random() < 0.2:
                name = rng.choice("aby")
                await world.stop(name)
                await world.start(name)
            await check_in(world, rng.choice("ab"), sequence)
            self.assertIsNot(RegistrationState.READY, state_of(world, "x"))
        world.network.heal(["a", "b"], ["x", "y"])
        await asyncio.sleep(3)
        for entry in "xy":
            self.assertIsNot(RegistrationState.READY, state_of(world, entry))
        for table in world.tables.values():
            self.assertEqual([], list(table.ready()))
        for name in list(world.tasks):
            await world.stop(name)

    def inject(self, rng, world):
        """Cut or heal the links of an entry and a control VM."""
        ends = [rng.choice("ab")], [rng.choice("xy")]
        if rng.random() < 0.3:
            world.network.cut(*ends)
        elif rng.random() < 0.5:
            world.network.heal(*ends)


class TableTest(unittest.TestCase):
    """The registrations of one control VM."""

    def setUp(self):
        self.clock = SteppedClock()
        self.table = RegistrationTable(clock=self.clock)
        self.table.apply(make_check_in())

    def states(self):
        changes = self.table.changes_after(0, frozenset({"dc"}))
        return {r.endpoint_id: r.state for r in changes}

    def test_late_and_ready_check_ins_change_nothing(self):
        self.assertTrue(self.table.record_drain("e1"))
        serial = self.table.serial
        for sequence in (1, 2, 3):
            self.table.apply(make_check_in(sequence=sequence))
        self.assertEqual({"e1": RegistrationState.DRAINING}, self.states())
        self.assertEqual(serial, self.table.serial)
        self.assertFalse(self.table.record_drain("e1"))

    def test_check_in_timeout_does_not_end_it(self):
        self.table.record_drain("e1")
        self.clock.now += 10
        self.table.prune()
        self.assertEqual({"e1": RegistrationState.DRAINING}, self.states())

    def test_end_is_final(self):
        self.table.end("e1")
        self.assertFalse(self.table.record_drain("e1"))
        self.assertEqual({"e1": RegistrationState.GONE}, self.states())

    def test_unknown_endpoint_is_ignored(self):
        self.assertFalse(self.table.record_drain("e2"))
        self.assertEqual({"e1"}, set(self.states()))

    def test_restored_drain_is_not_ended_by_a_check_in(self):
        self.table.record_drain("e1")
        other = RegistrationTable(clock=self.clock)
        other.restore(self.table.ready_or_draining())
        other.apply(make_check_in(sequence=5))
        self.assertEqual([], list(other.ready()))

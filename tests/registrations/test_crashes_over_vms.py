"""Tests that crashes become known to all entries, through control VMs."""

import unittest

from burdockdrum.crashes import CrashLedger
from burdockdrum.crashes import SHARE_DELAY_SECONDS
from burdockdrum.crashes import Standing
from burdockdrum.testing import run_virtual
from tests.registrations.limited_region import LimitedRegion

# By the platform's rules, every entry must know within 5 s.
LEARNING_SECONDS = 4.0
# Between two VMs of the test's network, with some reserve.
MESSAGE_SECONDS = 0.15


class CrashRegion(LimitedRegion):
    """A region whose VMs have ledgers, and send no requests."""

    def __init__(self, **fields):
        """Create VMs that are not started."""
        super().__init__(**fields)
        self.ledgers = {}

    def make_ledger(self, name):
        """Return a new ledger, which is kept for the test."""
        self.ledgers[name] = CrashLedger(clock=self.clock)
        return self.ledgers[name]

    async def _send_continuously(self, name):
        """Send nothing."""

    def crash(self, entry, *endpoint_ids, fingerprint="f"):
        """Let an entry see endpoints crash under a request."""
        for endpoint_id in endpoint_ids:
            self.ledgers[entry].add(fingerprint, endpoint_id, entry)


class CrashSharingTest(unittest.TestCase):
    """Control VMs c0 to c2 and some entries."""

    def play(self, test, **region):
        """Run a test in a region whose VMs have been started."""

        async def main():
            world = CrashRegion(**region)
            await world.start_all(3.0)
            try:
                await test(world)
            finally:
                await world.stop_all()

        run_virtual(main())

    def assert_rejected(self, world, names, fingerprint="f"):
        """Check that entries reject a request."""
        lacking = [
            name
            for name in names
            if world.ledgers[name].assess(fingerprint).standing
            is not Standing.QUARANTINED
        ]
        self.assertEqual([], lacking)

    def test_crashes_seen_by_several_entries_add_up(self):
        # Guards against a request that costs each entry three endpoints.
        async def check(world):
            for entry, endpoint_id in zip(
                ("e0", "e1", "e2"), "xyz", strict=True
            ):
                world.crash(entry, endpoint_id)
            await world.run(LEARNING_SECONDS)
            self.assert_rejected(world, world.entries)

        for entries in (3, 60, 300):
            with self.subTest(entries=entries):
                self.play(check, entries=entries)

    def test_repeated_crash_is_known_within_the_time_of_a_message(self):
        # Guards against copies at other entries that each cost an endpoint
        # while the entry that knows of two crashes waits for a third.
        async def check(world):
            world.crash("e0", "x", "y")
            world.crash("e1", "z")
            await world.run(MESSAGE_SECONDS)
            self.assertEqual(2, len(world.ledgers["c0"].assess("f").crashes))
            await world.run(SHARE_DELAY_SECONDS + MESSAGE_SECONDS)
            self.assert_rejected(world, world.entries)

        self.play(check, entries=6)

    def test_crashing_request_replaces_one_that_ran_beside_it(self):
        # Guards against rejecting a request that ran beside crashing ones
        # until the crashes of the other one are told half a second later.
        async def check(world):
            world.crash("e0", "u", "v", "x", fingerprint="known")
            world.crash("e0", "x", fingerprint="beside")
            world.crash("e2", "w", fingerprint="crashing")
            await world.run(LEARNING_SECONDS)
            world.crash("e0", "y", "z", fingerprint="beside")
            await world.run(MESSAGE_SECONDS)
            self.assert_rejected(world, ["e1"], fingerprint="beside")
            world.crash("e1", "y", "z", fingerprint="crashing")
            await world.run(2 * MESSAGE_SECONDS)
            self.assert_rejected(world, world.entries, fingerprint="crashing")
            for name in world.entries:
                standing = world.ledgers[name].assess("beside").standing
                self.assertIs(Standing.CLEAR, standing)

        self.play(check)

    def test_restarted_entries_learn_from_control_vms(self):
        async def check(world):
            world.crash("e0", "x", "y", "z")
            await world.run(LEARNING_SECONDS)
            for name in world.entries:
                await world.stop(name)
            await world.run(1.0)
            for name in world.entries:
                await world.start(name)
            await world.run(1.5)
            self.assert_rejected(world, world.entries)

        self.play(check)

    def test_restarted_control_vms_learn_from_entries(self):
        # Guards against entries that start later and know nothing.
        async def check(world):
            world.crash("e0", "x", "y", "z")
            await world.run(LEARNING_SECONDS)
            for name in world.control:
                await world.stop(name)
            await world.run(1.0)
            for name in world.control:
                await world.start(name)
            await world.run(3.0)
            await world.stop("e2")
            await world.start("e2")
            await world.run(1.5)
            self.assert_rejected(world, world.entries)

        self.play(check)

    def test_both_sides_of_a_cut_know_all_after_it(self):
        # Guards against crashes on two sides that are never added up.
        async def check(world):
            world.crash("e0", "x")
            await world.run(LEARNING_SECONDS)
            world.cut(["e0", "c0"])
            world.crash("e0", "y")
            world.crash("e1", "z")
            world.crash("e1", "u", "v", "w", fingerprint="g")
            await world.run(10.0)
            self.assert_rejected(world, ["e1", "e2"], fingerprint="g")
            self.assertEqual(2, len(world.ledgers["e0"].assess("f").crashes))
            world.heal()
            await world.run(LEARNING_SECONDS + 4.0)
            self.assert_rejected(world, world.entries)
            self.assert_rejected(world, world.entries, fingerprint="g")

        self.play(check)

    def test_cleared_request_is_cleared_everywhere(self):
        async def check(world):
            world.crash("e0", "x", "y", "z")
            await world.run(LEARNING_SECONDS)
            world.ledgers["e1"].clear("f")
            await world.run(LEARNING_SECONDS)
            self.assertTrue(
                all(world.ledgers[name].is_empty for name in world.entries)
            )

        self.play(check)

    def test_quarantine_is_lifted_within_the_time_of_two_messages(self):
        # Guards against entries that reject a request which has completed.
        async def check(world):
            world.crash("e0", "x", "y", "z")
            await world.run(MESSAGE_SECONDS)
            self.assert_rejected(world, world.entries)
            world.ledgers["e1"].clear("f")
            await world.run(2 * MESSAGE_SECONDS)
            for name in world.entries:
                standing = world.ledgers[name].assess("f").standing
                self.assertIs(Standing.CLEAR, standing, name)

        self.play(check)

    def test_suspects_that_complete_at_once_are_not_shared(self):
        # Guards against messages for each request that ran on a crashed
        # endpoint and was served by another one.
        async def check(world):
            for number in range(30):
                world.crash("e0", "x", fingerprint=f"f{number}")
            await world.run(0.2)
            for number in range(30):
                world.ledgers["e0"].clear(f"f{number}")
            await world.run(LEARNING_SECONDS)
            self.assertEqual([], list(world.ledgers["e1"].keys()))

        self.play(check)

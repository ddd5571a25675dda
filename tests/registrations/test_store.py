"""Tests of restoring registrations after a power failure."""

import asyncio
import random
import unittest

from loguru import logger

from burdockdrum.crashes import CrashLedger
from burdockdrum.ports import DiskError
from burdockdrum.registrations.messages import LimitNotice
from burdockdrum.registrations.messages import Registration
from burdockdrum.registrations.messages import RegistrationState
from burdockdrum.registrations.store import MAX_AGE_SECONDS
from burdockdrum.registrations.store import RegistrationStore
from burdockdrum.registrations.store import WRITE_INTERVAL_SECONDS
from burdockdrum.registrations.table import CHECK_IN_TIMEOUT_SECONDS
from burdockdrum.registrations.table import RegistrationTable
from burdockdrum.testing import run_virtual
from burdockdrum.testing import VirtualClock
from tests.faulty_disk import FaultyDisk


def make_registration(endpoint_id, **fields):
    """Return the first check-in of an endpoint."""
    defaults = {
        "service": "model",
        "address": f"{endpoint_id}:80",
        "data_centre": "dc",
        "slots": 8,
        "sequence": 1,
        "state": RegistrationState.READY,
    }
    return Registration(endpoint_id=endpoint_id, **{**defaults, **fields})


class ControlVm:
    """One run of a control VM with its table and store."""

    def __init__(self, disk, **fields):
        """Start with the content of a disk."""
        self.table = RegistrationTable(clock=VirtualClock(), **fields)
        self.crashes = CrashLedger(clock=VirtualClock())
        self.store = RegistrationStore(
            clock=VirtualClock(),
            disk=disk,
            table=self.table,
            crashes=self.crashes,
        )
        self.task = asyncio.create_task(self.store.run())

    async def stop(self):
        """Stop at once."""
        self.task.cancel()
        await asyncio.wait({self.task})

    def ready(self):
        """Return the ids of endpoints that accept requests."""
        return sorted(r.endpoint_id for r in self.table.ready())


class StoreTest(unittest.TestCase):
    """The registrations before and after a power failure."""

    def setUp(self):
        logger.disable("burdockdrum")
        self.addCleanup(logger.enable, "burdockdrum")
        self.disk = FaultyDisk(rng=random.Random(1))

    def play(self, before, after, down_seconds=1.5):
        """Run a VM, cut its power, and run it again.

        :param before: called with the VM before the power failure
        :param after: called with the VM after the power failure
        """

        async def main():
            vm = ControlVm(self.disk)
            await before(vm)
            await vm.stop()
            self.disk.lose_power()
            await asyncio.sleep(down_seconds)
            vm = ControlVm(self.disk)
            await asyncio.sleep(0.05)
            await after(vm)
            await vm.stop()

        run_virtual(main())

    def test_all_endpoints_are_known_at_once_after_a_power_failure(self):
        # Otherwise the first endpoints to check in again would receive all
        # requests.
        async def before(vm):
            for number in range(10):
                vm.table.apply(make_registration(f"e{number}"))
            await asyncio.sleep(WRITE_INTERVAL_SECONDS * 2)

        async def after(vm):
            self.assertEqual(10, len(vm.ready()))

        self.play(before, after)

    def test_crashes_are_known_after_a_power_failure(self):
        # Guards against a quarantine that ends when everything stops.
        async def before(vm):
            for endpoint_id in ("e1", "e2", "e3"):
                vm.crashes.add("f", endpoint_id, "entry")
            await asyncio.sleep(WRITE_INTERVAL_SECONDS * 2)

        async def after(vm):
            self.assertEqual({"f"}, set(vm.crashes.quarantined))
            age = vm.crashes.assess("f").crashes[0].age
            self.assertGreater(age, 1.5)

        self.play(before, after)

    def test_restored_limit_is_as_old_as_it_is(self):
        # Guards against a limit that was withdrawn while the VM was down and
        # looks like the later announcement after the restart.
        async def before(vm):
            vm.table.apply(make_registration("a"))
            vm.table.record_limit(LimitNotice("a", 2.0, 0.0))
            await asyncio.sleep(WRITE_INTERVAL_SECONDS * 2)

        async def after(vm):
            (known,) = vm.table.changes_after(0, frozenset({"dc"}))
            self.assertEqual(2.0, known.rate_limit)
            self.assertGreater(known.rate_limit_age, 5.0)
            self.assertTrue(vm.table.record_limit(LimitNotice("a", None, 4.0)))

        self.play(before, after, down_seconds=5.0)

    def test_draining_endpoint_is_restored_as_draining(self):
        # Otherwise it would receive new requests until its next check-in.
        async def before(vm):
            vm.table.apply(make_registration("a"))
            vm.table.apply(
                make_registration(
                    "a", sequence=2, state=RegistrationState.DRAINING
                )
            )
            vm.table.apply(make_registration("b"))
            await asyncio.sleep(WRITE_INTERVAL_SECONDS * 2)

        async def after(vm):
            self.assertEqual(["b"], vm.ready())
            [known] = [
                r for r in vm.table.ready_or_draining() if r.endpoint_id == "a"
            ]
            self.assertIs(RegistrationState.DRAINING, known.state)

        self.play(before, after)

    def test_endpoint_that_ended_is_not_restored(self):
        async def before(vm):
            vm.table.apply(make_registration("a"))
            await asyncio.sleep(WRITE_INTERVAL_SECONDS * 2)
            vm.table.end("a")
            await asyncio.sleep(WRITE_INTERVAL_SECONDS * 2)

        async def after(vm):
            self.assertEqual([], vm.ready())

        self.play(before, after)

    def test_restored_endpoint_times_out_without_a_check_in(self):
        # The endpoint was lost in the same power failure.
        async def before(vm):
            vm.table.apply(make_registration("a"))
            await asyncio.sleep(WRITE_INTERVAL_SECONDS * 2)

        async def after(vm):
            await asyncio.sleep(CHECK_IN_TIMEOUT_SECONDS + 0.5)
            vm.table.prune()
            self.assertEqual([], vm.ready())

        self.play(before, after)

    def test_check_in_takes_precedence_over_the_restored_state(self):
        # The endpoint checks in while the file is being read.
        async def before(vm):
            vm.table.apply(make_registration("a", slots=8, sequence=5))
            await asyncio.sleep(WRITE_INTERVAL_SECONDS * 2)

        async def main():
            vm = ControlVm(self.disk)
            await before(vm)
            await vm.stop()
            vm = ControlVm(self.disk)
            vm.table.apply(make_registration("a", slots=4, sequence=6))
            await asyncio.sleep(0.05)
            [known] = vm.table.ready_or_draining()
            self.assertEqual(4, known.slots)
            await vm.stop()

        run_virtual(main())

    def test_new_incarnation_replaces_the_restored_one(self):
        # The endpoint lost its power as well and restarts under the same id.
        async def before(vm):
            vm.table.apply(make_registration("a 1", name="a", incarnation=1))
            await asyncio.sleep(WRITE_INTERVAL_SECONDS * 2)

        async def after(vm):
            vm.table.apply(make_registration("a 2", name="a", incarnation=2))
            self.assertEqual(["a 2"], vm.ready())

        self.play(before, after)

    def test_old_or_corrupt_file_is_ignored(self):
        # The VM must start with an empty table instead of failing.
        async def before(vm):
            vm.table.apply(make_registration("a"))
            await asyncio.sleep(WRITE_INTERVAL_SECONDS * 2)

        async def after(vm):
            self.assertEqual([], vm.ready())
            self.assertFalse(vm.task.done())

        self.play(before, after, down_seconds=MAX_AGE_SECONDS + 1)
        self.disk.corrupt("registrations", 0)
        self.play(lambda vm: asyncio.sleep(0), after, down_seconds=0.1)

    def test_check_ins_continue_while_the_disk_refuses_writes(self):
        # Guards against a store that never writes again.
        async def main():
            vm = ControlVm(self.disk)
            self.disk.fail_syncs = True
            vm.table.apply(make_registration("a"))
            await asyncio.sleep(WRITE_INTERVAL_SECONDS * 2)
            self.assertFalse(vm.task.done())
            vm.table.apply(make_registration("b"))
            self.assertEqual(["a", "b"], vm.ready())
            with self.assertRaises(DiskError):
                await vm.store.flush()
            self.disk.fail_syncs = False
            await vm.store.flush()
            await vm.stop()
            self.disk.lose_power()
            vm = ControlVm(self.disk)
            await asyncio.sleep(WRITE_INTERVAL_SECONDS)
            self.assertEqual(["a", "b"], vm.ready())
            await vm.stop()

        run_virtual(main())

    def test_file_that_could_not_be_read_is_not_replaced(self):
        # Guards against one refused read that forgets endpoints and crashes.
        async def main():
            vm = ControlVm(self.disk, are_versions_shared=True)
            vm.table.apply(make_registration("a"))
            vm.crashes.add("f", "a", "entry")
            await vm.store.flush()
            await vm.stop()
            self.disk.fail_reads = True
            vm = ControlVm(self.disk, are_versions_shared=True)
            vm.table.apply(make_registration("b"))
            await asyncio.sleep(5.0)
            self.assertEqual(["b"], vm.ready())
            began = asyncio.get_running_loop().time()
            with self.assertRaises(DiskError):
                await vm.store.flush()
            self.assertEqual(began, asyncio.get_running_loop().time())
            self.assertFalse(vm.store.restored.is_set())
            self.disk.fail_reads = False
            await vm.store.restored.wait()
            await vm.store.flush()
            await vm.stop()
            self.disk.lose_power()
            vm = ControlVm(self.disk, are_versions_shared=True)
            await vm.store.restored.wait()
            self.assertEqual(["a", "b"], vm.ready())
            self.assertEqual(1, len(vm.crashes.assess("f").crashes))
            await vm.stop()

        run_virtual(main())

    def test_versions_of_a_damaged_file_are_not_complete(self):
        # Guards against a control VM that counts with what it has forgotten.
        async def main():
            for is_damaged in (False, True):
                vm = ControlVm(self.disk, are_versions_shared=True)
                vm.table.versions.complete()
                await vm.store.flush()
                await vm.stop()
                if is_damaged:
                    self.disk.corrupt("registrations", 0)
                vm = ControlVm(self.disk, are_versions_shared=True)
                await vm.store.restored.wait()
                self.assertIsNot(is_damaged, vm.table.versions.is_complete)
                await vm.stop()

        run_virtual(main())

    def test_what_was_read_back_is_written_before_it_is_acknowledged(self):
        # Guards against a file whose rename was never synced.
        async def main():
            vm = ControlVm(self.disk)
            vm.table.apply(make_registration("a"))
            await vm.store.flush()
            self.disk.refuses_folder_syncs = True
            vm.table.apply(make_registration("b"))
            with self.assertRaises(DiskError):
                await vm.store.flush()
            await vm.stop()
            self.disk.refuses_folder_syncs = False
            vm = ControlVm(self.disk)
            await vm.store.flush()
            self.assertEqual(["a", "b"], vm.ready())
            await vm.stop()
            self.disk.lose_power()
            vm = ControlVm(self.disk)
            await vm.store.restored.wait()
            self.assertEqual(["a", "b"], vm.ready())
            await vm.stop()

        run_virtual(main())

    def test_check_ins_without_news_write_nothing(self):
        async def main():
            vm = ControlVm(self.disk)
            vm.table.apply(make_registration("a"))
            await asyncio.sleep(WRITE_INTERVAL_SECONDS * 2)
            syncs = self.disk.syncs
            for number in range(2, 12):
                vm.table.apply(make_registration("a", sequence=number))
                await asyncio.sleep(1.2)
            self.assertEqual(syncs, self.disk.syncs)
            await vm.stop()

        run_virtual(main())

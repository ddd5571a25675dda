"""Tests of endpoints that are known again after a loss of all power."""

import asyncio
import random
import unittest

from loguru import logger

from burdockdrum.registrations.book import RegistrationBook
from burdockdrum.registrations.book import SILENT_SECONDS
from burdockdrum.registrations.messages import Registration
from burdockdrum.registrations.messages import RegistrationState
from burdockdrum.registrations.store import MAX_AGE_SECONDS
from burdockdrum.registrations.store import RegistrationStore
from burdockdrum.registrations.store import WRITE_SECONDS
from burdockdrum.testing import FakeDisk
from burdockdrum.testing import run_virtual
from burdockdrum.testing import VirtualClock


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
    """One start of a control VM's book and its file."""

    def __init__(self, disk):
        """Start over a disk."""
        self.book = RegistrationBook(clock=VirtualClock())
        self.store = RegistrationStore(
            clock=VirtualClock(), disk=disk, book=self.book
        )
        self.task = asyncio.create_task(self.store.run())

    async def stop(self):
        """Lose the power."""
        self.task.cancel()
        await asyncio.wait({self.task})

    def live(self):
        """Return the ids of endpoints that take work."""
        return sorted(r.endpoint_id for r in self.book.live())


class StoreTest(unittest.TestCase):
    """Before and after a loss of power."""

    def setUp(self):
        logger.disable("burdockdrum")
        self.addCleanup(logger.enable, "burdockdrum")
        self.disk = FakeDisk(rng=random.Random(1))

    def play(self, before, after, down_seconds=1.5):
        """Run a VM, lose the power, and look at its next start.

        :param before: is given the first start
        :param after: is given the next one
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

    def test_all_endpoints_are_known_at_once_after_a_loss_of_power(self):
        # Callers come back with the entries. Were each endpoint only known
        # once it has checked in again, the first ones would get them all.
        async def before(vm):
            for number in range(10):
                vm.book.take(make_registration(f"e{number}"))
            await asyncio.sleep(WRITE_SECONDS * 2)

        async def after(vm):
            self.assertEqual(10, len(vm.live()))

        self.play(before, after)

    def test_endpoint_that_leaves_is_still_leaving(self):
        # It said so, the power went, and it serves for some seconds more.
        async def before(vm):
            vm.book.take(make_registration("a"))
            vm.book.take(
                make_registration(
                    "a", sequence=2, state=RegistrationState.LEAVING
                )
            )
            vm.book.take(make_registration("b"))
            await asyncio.sleep(WRITE_SECONDS * 2)

        async def after(vm):
            self.assertEqual(["b"], vm.live())
            [known] = [r for r in vm.book.present() if r.endpoint_id == "a"]
            self.assertIs(RegistrationState.LEAVING, known.state)

        self.play(before, after)

    def test_endpoint_that_ended_is_not_restored(self):
        async def before(vm):
            vm.book.take(make_registration("a"))
            await asyncio.sleep(WRITE_SECONDS * 2)
            vm.book.end("a")
            await asyncio.sleep(WRITE_SECONDS * 2)

        async def after(vm):
            self.assertEqual([], vm.live())

        self.play(before, after)

    def test_endpoint_lost_with_the_power_falls_silent(self):
        # It never checks in again: entries use others after a while.
        async def before(vm):
            vm.book.take(make_registration("a"))
            await asyncio.sleep(WRITE_SECONDS * 2)

        async def after(vm):
            await asyncio.sleep(SILENT_SECONDS + 0.5)
            vm.book.prune()
            self.assertEqual([], vm.live())

        self.play(before, after)

    def test_check_in_goes_before_what_is_read_back(self):
        # The endpoint checks in, with other words, while the file is read.
        async def before(vm):
            vm.book.take(make_registration("a", slots=8, sequence=5))
            await asyncio.sleep(WRITE_SECONDS * 2)

        async def main():
            vm = ControlVm(self.disk)
            await before(vm)
            await vm.stop()
            vm = ControlVm(self.disk)
            vm.book.take(make_registration("a", slots=4, sequence=6))
            await asyncio.sleep(0.05)
            [known] = vm.book.present()
            self.assertEqual(4, known.slots)
            await vm.stop()

        run_virtual(main())

    def test_new_start_replaces_the_one_read_back(self):
        # The endpoint lost its power as well and starts again under its id.
        async def before(vm):
            vm.book.take(make_registration("a 1", name="a", born=1))
            await asyncio.sleep(WRITE_SECONDS * 2)

        async def after(vm):
            vm.book.take(make_registration("a 2", name="a", born=2))
            self.assertEqual(["a 2"], vm.live())

        self.play(before, after)

    def test_what_is_old_or_damaged_is_left(self):
        # A VM that was down for an hour, or whose file can't be read, starts
        # as one that knows nothing.
        async def before(vm):
            vm.book.take(make_registration("a"))
            await asyncio.sleep(WRITE_SECONDS * 2)

        async def after(vm):
            self.assertEqual([], vm.live())
            self.assertFalse(vm.task.done())

        self.play(before, after, down_seconds=MAX_AGE_SECONDS + 1)
        self.disk.corrupt("registrations", 0)
        self.play(lambda vm: asyncio.sleep(0), after, down_seconds=0.1)

    def test_disk_that_fails_stops_nothing_else(self):
        # The log decides what a failed disk means. Endpoints check in.
        async def main():
            vm = ControlVm(self.disk)
            self.disk.fail_syncs = True
            vm.book.take(make_registration("a"))
            await asyncio.sleep(WRITE_SECONDS * 2)
            self.assertTrue(vm.task.done())
            self.assertIsNone(vm.task.exception())
            vm.book.take(make_registration("b"))
            self.assertEqual(["a", "b"], vm.live())

        run_virtual(main())

    def test_check_ins_without_news_write_nothing(self):
        async def main():
            vm = ControlVm(self.disk)
            vm.book.take(make_registration("a"))
            await asyncio.sleep(WRITE_SECONDS * 2)
            syncs = self.disk.syncs
            for number in range(2, 12):
                vm.book.take(make_registration("a", sequence=number))
                await asyncio.sleep(1.2)
            self.assertEqual(syncs, self.disk.syncs)
            await vm.stop()

        run_virtual(main())

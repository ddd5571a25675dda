"""Tests that orders on evacuations apply in the order of their sending."""

import asyncio
import unittest

from burdockdrum.configuration.evacuations import ACCEPT_SECONDS
from burdockdrum.configuration.evacuations import EvacuationOrder
from burdockdrum.configuration.evacuations import EvacuationOrderer
from burdockdrum.configuration.evacuations import MAX_RECORDS
from burdockdrum.configuration.evacuations import PRESENCE_SECONDS
from burdockdrum.metrics import Metrics
from burdockdrum.pauses import PauseDetector
from burdockdrum.resources import ACCEPTED
from burdockdrum.resources import CONFLICT
from burdockdrum.resources import ResourceStore
from burdockdrum.resources import SetEvacuation
from burdockdrum.system_ports import SystemClock
from burdockdrum.testing import run_virtual
from burdockdrum.testing import VirtualClock
from tests.pauses.blocking import block_event_loop


class EvacuationOrdererTest(unittest.TestCase):
    """A control VM and the orders that it receives and applies."""

    def play(self, test):
        """Run a test under virtual time."""

        async def main():
            self.clock = VirtualClock()
            self.store = ResourceStore()
            self.orderer = EvacuationOrderer(
                clock=self.clock, store=self.store
            )
            await test()

        run_virtual(main())

    def apply(self, *, evacuated):
        """Apply an order that another control VM received."""
        return self.store.apply(
            SetEvacuation(data_centre="a", evacuated=evacuated)
        )

    async def make_change(self, *, evacuated, connected_at=None):
        """Return the change of an order; it was just accepted by default."""
        if connected_at is None:
            connected_at = self.clock.monotonic()
        return await self.orderer.make_change(
            EvacuationOrder(
                data_centre="a",
                evacuated=evacuated,
                connected_at=connected_at,
            )
        )

    def test_order_that_waits_while_others_are_applied_is_outdated(self):
        # Guards against a message to the leader that is delivered late.
        async def test():
            change = await self.make_change(evacuated=True)
            self.apply(evacuated=True)
            self.apply(evacuated=False)
            self.assertEqual(CONFLICT, self.store.apply(change).code)

        self.play(test)

    def test_order_is_as_old_as_its_connection(self):
        async def test():
            connected_at = self.clock.monotonic()
            await asyncio.sleep(1.0)
            self.apply(evacuated=True)
            await asyncio.sleep(1.0)
            old = await self.make_change(
                evacuated=False, connected_at=connected_at
            )
            new = await self.make_change(evacuated=False)
            self.assertEqual(CONFLICT, self.store.apply(old).code)
            self.assertEqual(ACCEPTED, self.store.apply(new).code)

        self.play(test)

    def test_order_waits_for_its_sender_to_leave_only_after_others(self):
        async def test():
            began = self.clock.monotonic()
            await self.make_change(evacuated=True)
            self.assertEqual(began, self.clock.monotonic())
            self.apply(evacuated=True)
            await asyncio.sleep(1.0)
            began = self.clock.monotonic()
            await self.make_change(evacuated=False)
            self.assertAlmostEqual(
                PRESENCE_SECONDS, self.clock.monotonic() - began
            )

        self.play(test)

    def test_order_from_before_all_records_is_outdated(self):
        # Guards against a bound on the records that lets old orders pass.
        async def test():
            connected_at = self.clock.monotonic()
            await asyncio.sleep(1.0)
            for _ in range(MAX_RECORDS + 1):
                self.store.evacuation_orders.advance("b")
            self.apply(evacuated=True)
            change = await self.make_change(
                evacuated=False, connected_at=connected_at
            )
            self.assertEqual(CONFLICT, self.store.apply(change).code)

        self.play(test)


class PausedVmTest(unittest.IsolatedAsyncioTestCase):
    """A control VM that doesn't run for some time."""

    async def test_order_that_is_accepted_after_a_pause_is_outdated(self):
        # Guards against an order that waited in the socket meanwhile.
        clock = SystemClock()
        pauses = PauseDetector(clock=clock, metrics=Metrics())
        task = asyncio.create_task(pauses.run())
        self.addCleanup(task.cancel)
        store = ResourceStore()
        orderer = EvacuationOrderer(clock=clock, store=store, pauses=pauses)
        await asyncio.sleep(2 * ACCEPT_SECONDS)
        block_event_loop(1.0)
        # The log is read before the connection is accepted.
        store.apply(SetEvacuation(data_centre="a", evacuated=True))
        order = EvacuationOrder(
            data_centre="a", evacuated=False, connected_at=clock.monotonic()
        )
        change = await orderer.make_change(order)
        self.assertEqual(CONFLICT, store.apply(change).code)
        await asyncio.sleep(2 * ACCEPT_SECONDS)
        order = EvacuationOrder(
            data_centre="a", evacuated=False, connected_at=clock.monotonic()
        )
        change = await orderer.make_change(order)
        self.assertEqual(ACCEPTED, store.apply(change).code)

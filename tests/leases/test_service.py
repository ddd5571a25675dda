"""Lease handover between holders."""

import asyncio
import unittest

from burdockdrum.leases import LEASE_SECONDS
from burdockdrum.leases import LeaseNotHeld
from burdockdrum.leases import LeaseUnavailable
from burdockdrum.leases import ORDER_SECONDS
from burdockdrum.leases import SUPERSEDE_SECONDS
from burdockdrum.testing import run_virtual
from tests.configuration.deployment import Deployment

VM_IDS = ["n1.1", "s1.1", "e1.1", "e1.2", "e1.3"]
CONTROL_IDS = ["n1.1", "s1.1", "e1.1"]
NAME = "repairs/e1"


class LeaseServiceTest(unittest.TestCase):
    """Two VMs that use leases, and three control VMs."""

    def run_deployment(self, scenario):
        async def main():
            deployment = Deployment(
                seed=2, vm_ids=VM_IDS, control_ids=CONTROL_IDS
            )
            await deployment.start()
            first = deployment.leases("e1.2")
            second = deployment.leases("e1.3")
            await scenario(deployment, first, second)
            await deployment.stop()

        run_virtual(main())

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def test_lease_survives_a_leader_change(self):
        # A leader crash must not end a lease: the holder keeps it under the
        # same fencing number, and another VM can't acquire it.
        async def scenario(deployment, first, second):
            lease = await first.acquire(NAME)
            await deployment.crash(deployment.leader(), power=True)
            for _ in range(60):
                await asyncio.sleep(0.5)
                self.assertEqual(lease.fencing, first.held(NAME).fencing)
            with self.assertRaises(LeaseUnavailable):
                await second.acquire(NAME)

        self.run_deployment(scenario)

    def test_released_lease_can_be_acquired_at_once(self):
        async def scenario(deployment, first, second):
            lease = await first.acquire(NAME)
            await first.release(NAME)
            self.assertIsNone(first.held(NAME))
            started = self.now()
            after = await second.acquire(NAME)
            self.assertGreater(after.fencing, lease.fencing)
            async with second.order(NAME, checks_fencing=False):
                self.assertLess(self.now() - started, 1)

        self.run_deployment(scenario)

    def test_restarted_holder_waits_for_expiry(self):
        # A restarted VM can acquire its former lease only after that expired,
        # and under a new fencing number.
        async def scenario(deployment, first, second):
            lease = await first.acquire(NAME)
            await deployment.restart("e1.2")
            started = self.now()
            again = await deployment.leases("e1.2").acquire(NAME, timeout=20)
            self.assertGreater(again.fencing, lease.fencing)
            self.assertGreater(self.now() - started, LEASE_SECONDS - 1)

        self.run_deployment(scenario)

    def test_next_holder_waits_for_a_late_order(self):
        # A partitioned holder starts an order just before its lease expires.
        # Engines that don't check fencing numbers must not get an order of
        # the next holder before that order has ended; others get it at once.
        async def scenario(deployment, first, second):
            await first.acquire(NAME)
            deployment.cut(["e1.2"])
            while first.held(NAME).expires_at - self.now() > 0.05:
                await asyncio.sleep(0.01)
            async with first.order(NAME, checks_fencing=False):
                ends_at = self.now() + ORDER_SECONDS
                await second.acquire(NAME, timeout=5)
                self.assertLess(self.now(), ends_at)
                async with second.order(NAME, checks_fencing=True):
                    self.assertLess(self.now(), ends_at)
            async with second.order(NAME, checks_fencing=False):
                self.assertGreaterEqual(self.now(), ends_at)
            with self.assertRaises(LeaseNotHeld):
                async with first.order(NAME, checks_fencing=True):
                    self.fail("an order ran without a lease")

        self.run_deployment(scenario)

    def test_order_times_out(self):
        async def scenario(deployment, first, second):
            await first.acquire(NAME)
            started = self.now()
            with self.assertRaises(TimeoutError):
                async with first.order(NAME, checks_fencing=True):
                    await asyncio.sleep(60)
            self.assertAlmostEqual(ORDER_SECONDS, self.now() - started, 3)

        self.run_deployment(scenario)

    def test_expiry_counts_from_the_grant_not_the_retry(self):
        # Responses to the holder are lost for some seconds, so that it learns
        # of its grant late. Its lease must still expire before the leader
        # grants it to another VM.
        async def scenario(deployment, first, second):
            control = [*CONTROL_IDS]
            deployment.cluster.network.cut(control, ["e1.2"], both=False)
            acquiring = asyncio.create_task(first.acquire(NAME, timeout=30))
            await asyncio.sleep(3)
            deployment.cluster.network.heal(control, ["e1.2"], both=False)
            lease = await acquiring
            deployment.cut(["e1.2"])
            granted = await second.acquire(NAME, timeout=30)
            self.assertGreater(granted.fencing, lease.fencing)
            self.assertIsNone(first.held(NAME))
            self.assertGreater(self.now(), lease.expires_at)
            self.assertGreater(SUPERSEDE_SECONDS, LEASE_SECONDS)

        self.run_deployment(scenario)

"""One holder after the other, step by step."""

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
    """Two VMs without a disk, and three control VMs."""

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

    def test_lease_is_kept_over_a_leader_change(self):
        # The leader crashes. The holder goes on holding, under the same
        # number, and another still can't have the lease.
        async def scenario(deployment, first, second):
            lease = await first.acquire(NAME)
            await deployment.crash(deployment.leader(), power=True)
            for _ in range(60):
                await asyncio.sleep(0.5)
                self.assertEqual(lease.fencing, first.held(NAME).fencing)
            with self.assertRaises(LeaseUnavailable):
                await second.acquire(NAME)

        self.run_deployment(scenario)

    def test_released_lease_is_another_at_once(self):
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

    def test_restarted_holder_is_a_stranger(self):
        # The holder restarts, and has forgotten its lease. It gets it again
        # only when nobody can believe in the first any more, and under
        # another number.
        async def scenario(deployment, first, second):
            lease = await first.acquire(NAME)
            await deployment.restart("e1.2")
            started = self.now()
            again = await deployment.leases("e1.2").acquire(NAME, timeout=20)
            self.assertGreater(again.fencing, lease.fencing)
            self.assertGreater(self.now() - started, LEASE_SECONDS - 1)

        self.run_deployment(scenario)

    def test_order_at_the_last_moment_is_waited_out(self):
        # The holder is cut off from the control VMs, and gives an order a
        # moment before its lease ends, which takes as long as an order may.
        # The next holder has its lease by then. An engine that checks
        # numbers gets its order at once; one that does not gets none before
        # the old order has ended.
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
                    self.fail("an order without a lease")

        self.run_deployment(scenario)

    def test_order_is_ended_after_its_time(self):
        async def scenario(deployment, first, second):
            await first.acquire(NAME)
            started = self.now()
            with self.assertRaises(TimeoutError):
                async with first.order(NAME, checks_fencing=True):
                    await asyncio.sleep(60)
            self.assertAlmostEqual(ORDER_SECONDS, self.now() - started, 3)

        self.run_deployment(scenario)

    def test_grant_whose_answer_was_lost_counts_from_its_grant(self):
        # The leader's answer to the holder is lost each time for some
        # seconds, so that the holder has its lease late, from an earlier
        # grant. It must believe in it no longer than the leader does.
        async def scenario(deployment, first, second):
            control = [*CONTROL_IDS]
            deployment.cluster.network.cut(control, ["e1.2"], both=False)
            asking = asyncio.create_task(first.acquire(NAME, timeout=30))
            await asyncio.sleep(3)
            deployment.cluster.network.heal(control, ["e1.2"], both=False)
            lease = await asking
            deployment.cut(["e1.2"])
            granted = await second.acquire(NAME, timeout=30)
            self.assertGreater(granted.fencing, lease.fencing)
            self.assertIsNone(first.held(NAME))
            self.assertGreater(self.now(), lease.expires_at)
            self.assertGreater(SUPERSEDE_SECONDS, LEASE_SECONDS)

        self.run_deployment(scenario)

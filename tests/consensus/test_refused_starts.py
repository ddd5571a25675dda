"""Tests of control VMs that start while their disk refuses operations."""

import asyncio
import unittest

from loguru import logger

from burdockdrum.consensus import NotAccepted
from burdockdrum.consensus import NotCurrent
from burdockdrum.consensus import Role
from burdockdrum.testing import run_virtual
from tests.consensus.cluster import Cluster
from tests.consensus.cluster import with_cluster
from tests.faulty_disk import FaultyDisk

SEEDS = range(6)


class SnapshotLosingDisk(FaultyDisk):
    """A disk that may fail to sync the names of new snapshots."""

    loses_snapshots = False

    async def sync_folder(self):
        """Sync the folder, unless a snapshot would become durable."""
        names = {name for change in self._pending for name in change}
        self.refuses_folder_syncs = self.loses_snapshots and any(
            name.startswith("snapshot-") for name in names
        )
        await super().sync_folder()


class RefusedStartTest(unittest.TestCase):
    """A start whose disk refuses reads or writes for a while."""

    def setUp(self):
        logger.disable("burdockdrum")
        self.addCleanup(logger.enable, "burdockdrum")

    async def _check_refusal(self, cluster, vm):
        """Check what a VM does for as long as its disk refuses."""
        await asyncio.sleep(5.0)
        self.assertIsNotNone(vm.task)
        self.assertIs(Role.WAITING, vm.running.role)
        self.assertIsNotNone(vm.running.disk_refusal)
        self.assertIn("burdockdrum_log_disk_refuses 1", vm.metrics.text())
        began = asyncio.get_running_loop().time()
        with self.assertRaises(NotAccepted):
            await vm.running.propose(b"x", timeout=5)
        with self.assertRaises(NotCurrent):
            await vm.running.read_barrier(timeout=5)
        self.assertEqual(began, asyncio.get_running_loop().time())

    async def _check_return(self, cluster, vm):
        """Check that a VM takes part again once its disk is well."""
        await cluster.wait_until(lambda: b"y" in vm.machine.commands)
        self.assertIsNone(vm.running.disk_refusal)
        self.assertIn("burdockdrum_log_disk_refuses 0", vm.metrics.text())
        events = vm.timeline.events(prefix="log.disk_refuses")
        self.assertEqual(1, len(events))

    def test_member_waits_for_a_disk_that_refuses_its_start(self):
        # Guards against a process that ends at each start until the disk is
        # well, and serves no check-ins meanwhile.
        run_virtual(with_cluster(Cluster(), self._start_refused))

    async def _start_refused(self, cluster):
        leader = await cluster.wait_for_leader()
        await leader.propose(b"kept", timeout=5)
        vm = next(v for v in cluster.vms.values() if v.log is not leader)
        await cluster.stop(vm.vm_id)
        vm.disk = FaultyDisk.copy_of(vm.disk)
        vm.disk.fail_reads = True
        await cluster.start(vm.vm_id)
        await self._check_refusal(cluster, vm)
        await leader.propose(b"y", timeout=5)
        vm.disk.fail_reads = False
        await self._check_return(cluster, vm)

    def test_first_start_waits_for_a_full_disk(self):
        # Guards against a founder that draws an identity and can't store it.
        async def main():
            cluster = Cluster()
            vm = cluster.vms["c"]
            vm.disk.full = True
            await cluster.start_all()
            try:
                await self._check_refusal(cluster, vm)
                vm.disk.full = False
                leader = await cluster.wait_for_leader()
                await leader.propose(b"y", timeout=5)
                await self._check_return(cluster, vm)
                await cluster.stop_all(power_loss=True)
                await cluster.start_all()
                await cluster.wait_until(lambda: b"y" in vm.machine.commands)
            finally:
                await cluster.stop_all()

        run_virtual(main())

    def test_founding_goes_on_once_the_proposal_can_be_stored(self):
        # Guards against a cluster that is never formed, as the others have
        # accepted a proposal that its own founder could not store.
        for is_killed in (False, True):
            with self.subTest(is_killed=is_killed):
                run_virtual(self._propose_on_a_full_disk(is_killed))

    async def _propose_on_a_full_disk(self, is_killed):
        cluster = Cluster()
        founder = cluster.vms["a"]
        await cluster.start("a")
        await cluster.start("b")
        try:
            await asyncio.sleep(1.0)
            founder.disk.full = True
            await cluster.start("c")
            await asyncio.sleep(3.0)
            if is_killed:
                await cluster.restart("a", power_loss=True)
            founder.disk.full = False
            leader = await cluster.wait_for_leader()
            await leader.propose(b"x", timeout=5)
        finally:
            await cluster.stop_all()

    def test_nothing_is_removed_for_a_snapshot_that_may_be_lost(self):
        # Guards against a damaged folder after a power loss: a start that
        # could not write the snapshot anew, and removed what it covers.
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cluster = Cluster(
                    seed=seed,
                    snapshot_every_entries=10,
                    keep_entries=2,
                    segment_bytes=300,
                )
                run_virtual(with_cluster(cluster, self._lose_a_snapshot))

    async def _lose_a_snapshot(self, cluster):
        leader = await cluster.wait_for_leader()
        vm = next(v for v in cluster.vms.values() if v.log is not leader)
        await cluster.stop(vm.vm_id)
        vm.disk = SnapshotLosingDisk.copy_of(vm.disk)
        await cluster.start(vm.vm_id)

        async def propose(count):
            for _ in range(count):
                await leader.propose(b"x", timeout=5)
            await asyncio.sleep(1.0)

        await propose(15)
        vm.disk.loses_snapshots = True
        await propose(12)
        await cluster.stop(vm.vm_id)
        vm.disk.loses_snapshots = False
        vm.disk.full = True
        await cluster.start(vm.vm_id)
        await propose(3)
        await cluster.stop(vm.vm_id, power_loss=True)
        vm.disk.full = False
        await cluster.start(vm.vm_id)
        await propose(3)
        await cluster.wait_until_applied()
        # Once the snapshot is durable, the first segment is removed.
        _, first_segment, *_ = await vm.disk.list()
        await propose(30)
        self.assertNotIn(first_segment, await vm.disk.list())

"""Tests of the room that a member's own files take on a small disk."""

import asyncio
import unittest
from unittest import mock
from unittest.mock import ANY

from loguru import logger

from burdockdrum.consensus import Role
from burdockdrum.testing import run_virtual
from tests.consensus.cluster import Cluster
from tests.consensus.cluster import ListMachine
from tests.consensus.cluster import with_cluster
from tests.faulty_disk import FaultyDisk

SETTINGS = {
    "snapshot_every_bytes": 8_000,
    "keep_bytes": 8_000,
    "segment_bytes": 2_000,
}


class RecentCommands(ListMachine):
    """A state machine of a bounded size: the last commands."""

    def apply(self, index, command):
        """Keep the command, and forget old ones."""
        result = super().apply(index, command)
        del self.commands[:-60]
        return result


class DiskRoomTest(unittest.TestCase):
    """Three members whose disks have little room."""

    def setUp(self):
        logger.disable("burdockdrum")
        self.addCleanup(logger.enable, "burdockdrum")

    def play(self, use, **settings):
        """Run a test on a cluster, on disks of its own."""
        cluster = Cluster(**{**SETTINGS, **settings})
        cluster.make_machine = lambda vm_id: RecentCommands()
        for vm in cluster.vms.values():
            vm.disk = FaultyDisk.copy_of(vm.disk)
        run_virtual(with_cluster(cluster, use))

    async def propose(self, cluster, count, size):
        for number in range(count):
            leader = await cluster.wait_for_leader()
            await leader.propose(b"%06d" % number + bytes(size), timeout=5)

    def test_large_entries_do_not_fill_the_disk(self):
        # Guards against a log that keeps so many entries, however large.
        async def use(cluster):
            await cluster.wait_for_leader()
            for vm in cluster.vms.values():
                vm.disk.capacity = 100_000
            await self.propose(cluster, 400, 500)
            await cluster.wait_until_applied()
            for vm in cluster.vms.values():
                self.assertFalse(vm.timeline.events(prefix="log.disk_ref"))
                shown = dict(
                    line.split()
                    for line in vm.metrics.text().splitlines()
                    if line.startswith("burdockdrum_log_")
                )
                known = sum(
                    float(shown[f"burdockdrum_log_{name}"])
                    for name in ("bytes", "snapshot_bytes")
                )
                self.assertAlmostEqual(vm.disk.used, known, delta=2_000)

        self.play(use)

    def test_snapshot_that_was_begun_before_a_restart_takes_no_room(self):
        # Guards against a member that never has room again after a kill.
        async def use(cluster):
            leader = await cluster.wait_for_leader()
            vm = next(v for v in cluster.vms.values() if v.log is not leader)
            await cluster.stop(vm.vm_id)
            await vm.disk.write("snapshot.tmp", bytes(50_000))
            vm.disk.capacity = vm.disk.used
            await cluster.start(vm.vm_id)
            await self.propose(cluster, 5, 500)
            await cluster.wait_until_applied()

        self.play(use)

    def test_files_that_could_not_be_removed_are_removed_later(self):
        # Guards against files that stay until the next snapshot.
        async def use(cluster):
            leader = await cluster.wait_for_leader()
            vm = cluster.vm_of(leader)
            vm.disk.refuses_removals = True
            await self.propose(cluster, 40, 500)
            self.assertEqual(2, len(vm.timeline.events(prefix="snapshot.t")))
            self.assertEqual(2, await self.count_snapshots(vm))
            vm.disk.refuses_removals = False
            await asyncio.sleep(10.0)
            self.assertEqual(1, await self.count_snapshots(vm))

        self.play(use)

    def test_snapshot_of_the_leader_is_installed_once_there_is_room(self):
        # Guards against a member that is behind for good after one refusal,
        # and against one that is sent the snapshot all the time.
        async def use(cluster):
            leader = await cluster.wait_for_leader()
            vm = next(v for v in cluster.vms.values() if v.log is not leader)
            cluster.cut_off(vm.vm_id)
            await self.propose(cluster, 100, 500)
            vm.disk.capacity = vm.disk.used + 5_000
            cluster.heal()
            with (
                mock.patch("burdockdrum.logs.states.log_failure") as failed,
                mock.patch.object(
                    vm.disk, "write", wraps=vm.disk.write
                ) as written,
            ):
                await asyncio.sleep(10.0)
            self.assertLess(written.call_count, 10)
            failed.assert_called_once_with("snapshot.not_saved", reason=ANY)
            self.assertFalse(vm.timeline.events(prefix="snapshot.installed"))
            self.assertLess(vm.disk.used, vm.disk.capacity)
            vm.disk.capacity = 100_000
            await cluster.wait_until_applied()
            self.assertTrue(vm.timeline.events(prefix="snapshot.installed"))

        self.play(use)

    async def count_snapshots(self, vm):
        names = await vm.disk.list()
        return sum(name.startswith("snapshot-") for name in names)

    def test_snapshot_without_room_takes_none_from_the_log(self):
        # Guards against a part of a snapshot that fills the disk, so that
        # the member takes no part though its entries would fit.
        async def use(cluster):
            await self.propose(cluster, 60, 500)
            vm = cluster.vm_of(await cluster.wait_for_leader())
            vm.disk.capacity = vm.disk.used + 20_000
            taken = len(vm.timeline.events(prefix="snapshot.taken"))
            for _ in range(3):
                await self.propose(cluster, 10, 500)
                await asyncio.sleep(1.0)
            self.assertFalse(vm.timeline.events(prefix="log.disk_refuses"))
            self.assertIs(Role.LEADER, vm.running.role)
            events = vm.timeline.events(prefix="snapshot.taken")
            self.assertEqual(taken, len(events))
            vm.disk.capacity *= 2
            await cluster.wait_until(
                lambda: (
                    len(vm.timeline.events(prefix="snapshot.taken")) > taken
                )
            )

        self.play(use)

"""Tests of disks that fail, are full, slow or rolled back."""

import asyncio
import copy
import functools
import unittest

from loguru import logger

from burdockdrum.consensus import NotAccepted
from burdockdrum.consensus import OutcomeUnknown
from burdockdrum.consensus import Role
from burdockdrum.testing import run_virtual
from tests.consensus.cluster import Cluster
from tests.consensus.cluster import with_cluster


class DiskTest(unittest.TestCase):
    """Disk faults of single members and power losses of all."""

    def setUp(self):
        logger.disable("burdockdrum")
        self.addCleanup(logger.enable, "burdockdrum")

    def test_member_with_a_failed_sync_halts(self):
        # After one failed sync the leader must take no part until its
        # restart, although the next sync would succeed.
        for fault in ("fail_syncs", "full"):
            with self.subTest(fault=fault):
                fail = functools.partial(self._fail, fault)
                run_virtual(with_cluster(Cluster(), fail))

    async def _fail(self, fault, cluster):
        old = await cluster.wait_for_leader()
        await old.propose(b"kept", timeout=5)
        vm = cluster.vm_of(old)
        setattr(vm.disk, fault, True)
        with self.assertRaises((OutcomeUnknown, NotAccepted)):
            await old.propose(b"x", timeout=1)
        setattr(vm.disk, fault, False)
        self.assertEqual(Role.HALTED, old.role)
        self.assertIn("disk failed", old.halt_reason)
        events = vm.timeline.events(prefix="log.stepped_aside")
        self.assertEqual(1, len(events))
        new = await cluster.wait_for_leader()
        await new.propose(b"y", timeout=5)
        self.assertEqual(Role.HALTED, old.role)
        await cluster.restart(vm.vm_id)
        await cluster.wait_until_applied()
        self.assertEqual(Role.FOLLOWER, vm.running.role)
        self.assertIn(b"y", vm.machine.commands)

    def test_leader_counts_its_own_log_only_once_synced(self):
        # With one follower down, the other follower alone is no quorum.
        async def use(cluster):
            leader = await cluster.wait_for_leader()
            vm = cluster.vm_of(leader)
            other = next(v for v in cluster.vms.values() if v is not vm)
            await cluster.stop(other.vm_id)
            vm.disk.sync_seconds = 2.0
            began = asyncio.get_running_loop().time()
            await leader.propose(b"x", timeout=5)
            took = asyncio.get_running_loop().time() - began
            self.assertGreaterEqual(took, 2.0)

        run_virtual(with_cluster(Cluster(), use))

    def test_slow_disk_does_not_delay_other_members(self):
        async def use(cluster):
            leader = await cluster.wait_for_leader()
            for vm in list(cluster.vms.values())[:1]:
                vm.disk.sync_seconds = 5.0
            began = asyncio.get_running_loop().time()
            for number in range(10):
                await leader.propose(f"{number}".encode(), timeout=5)
            took = asyncio.get_running_loop().time() - began
            self.assertLess(took, 2.0)

        run_virtual(with_cluster(Cluster(), use))

    def test_power_loss_everywhere_loses_no_acknowledged_command(self):
        async def use(cluster):
            kept = []
            for number in range(60):
                leader = await cluster.wait_for_leader()
                command = f"{number}".encode()
                await leader.propose(command, timeout=5)
                kept.append(command)
                if number % 20 == 19:
                    await cluster.stop_all(power_loss=True)
                    await cluster.start_all()
            await cluster.wait_until_applied()
            for vm in cluster.vms.values():
                self.assertEqual(kept, vm.machine.commands)

        run_virtual(with_cluster(Cluster(snapshot_every_entries=25), use))

    def test_disk_usage_and_restart_stay_bounded(self):
        # The disk usage and the entries read at a restart must stay bounded.
        async def use(cluster):
            leader = await cluster.wait_for_leader()
            for number in range(600):
                await leader.propose(f"{number}".encode(), timeout=5)
            await cluster.wait_until_applied()
            vm = cluster.vm_of(leader)
            await cluster.restart(vm.vm_id)
            await cluster.wait_until_applied()
            self.assertEqual(600, len(vm.machine.commands))
            storage = vm.running._replica.storage
            self.assertLess(len(storage.entries), 200)
            self.assertLess(storage.disk_bytes, 20_000)
            names = await vm.disk.list()
            self.assertEqual(
                1, len([n for n in names if n.startswith("snapshot-")])
            )

        settings = {"snapshot_every_entries": 50, "keep_entries": 20}
        run_virtual(with_cluster(Cluster(segment_bytes=2000, **settings), use))

    def test_snapshot_is_sent_to_a_member_far_behind(self):
        # Its missing entries are compacted. The snapshot is sent in chunks
        # over a link that loses and duplicates messages.
        async def use(cluster):
            leader = await cluster.wait_for_leader()
            stopped_id = next(
                vm.vm_id for vm in cluster.vms.values() if vm.log != leader
            )
            await cluster.stop(stopped_id)
            for number in range(200):
                await leader.propose(b"%05d" % number, timeout=5)
            cluster.network.set_default(loss=0.1, duplicate=0.2, jitter=0.05)
            await cluster.start(stopped_id)
            await cluster.wait_until_applied(seconds=120)
            machines = [vm.machine.commands for vm in cluster.vms.values()]
            self.assertEqual(
                200, len(cluster.vms[stopped_id].machine.commands)
            )
            self.assertEqual(machines[0], machines[1])
            timeline = cluster.vms[stopped_id].timeline
            self.assertTrue(timeline.events(prefix="snapshot.installed"))

        settings = {
            "snapshot_every_entries": 50,
            "keep_entries": 5,
            "snapshot_chunk_bytes": 100,
        }
        run_virtual(with_cluster(Cluster(**settings), use))

    def test_rolled_back_disk_is_detected(self):
        # A VM restored from an older image, with the same disk id, lacks
        # entries that it acknowledged. It must halt, also under a new leader.
        async def use(cluster):
            leader = await cluster.wait_for_leader()
            await leader.propose(b"x", timeout=5)
            await cluster.wait_until_applied()
            vm = next(v for v in cluster.vms.values() if v.log != leader)
            image = copy.deepcopy(vm.disk.__dict__)
            await leader.propose(b"y", timeout=5)
            await cluster.wait_until_applied()
            await cluster.stop(vm.vm_id)
            await leader.transfer_leadership()
            vm.disk.__dict__.update(image)
            await cluster.start(vm.vm_id)
            await cluster.wait_until(lambda: vm.running.role is Role.HALTED)
            self.assertIn("older image", vm.running.halt_reason)
            await (await cluster.wait_for_leader()).propose(b"z", timeout=5)

        run_virtual(with_cluster(Cluster(), use))

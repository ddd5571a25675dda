"""Tests of disks that fail, are full, slow or rolled back."""

import asyncio
import contextlib
import copy
import functools
import unittest

from loguru import logger

from burdockdrum.consensus import NotAccepted
from burdockdrum.consensus import OutcomeUnknown
from burdockdrum.consensus import Role
from burdockdrum.ports import DiskError
from burdockdrum.testing import run_virtual
from tests.consensus.cluster import Cluster
from tests.consensus.cluster import with_cluster


class DiskTest(unittest.TestCase):
    """Disk faults of single members and power losses of all."""

    def setUp(self):
        logger.disable("burdockdrum")
        self.addCleanup(logger.enable, "burdockdrum")

    def test_start_on_a_disk_that_refuses_writes_waits_for_it(self):
        # Guards against a member that counts what it can't write anew, and
        # against one that has to be started again once the disk accepts it.
        async def use(fault, cluster):
            leader = await cluster.wait_for_leader()
            await leader.propose(b"x", timeout=5)
            first, second = (
                vm for vm in cluster.vms.values() if vm.log is not leader
            )
            await cluster.stop(first.vm_id)
            setattr(first.disk, fault, True)
            log = await cluster.start(first.vm_id)
            await asyncio.sleep(1.0)
            self.assertIsNotNone(log.disk_refusal)
            events = first.timeline.events(prefix="log.disk_refuses")
            self.assertEqual(1, len(events))
            await log.propose(b"passed on", timeout=1)
            await cluster.stop(second.vm_id)
            with self.assertRaises((OutcomeUnknown, NotAccepted)):
                await leader.propose(b"y", timeout=2)
            first.disk.mend()
            await (await cluster.wait_for_leader()).propose(b"z", timeout=5)
            self.assertIsNone(log.disk_refusal)

        for fault in ("fail_syncs", "full"):
            with self.subTest(fault=fault):
                run_virtual(
                    with_cluster(Cluster(), functools.partial(use, fault))
                )

    def test_start_on_a_disk_that_stalls_passes_changes_on(self):
        # Guards against a member that serves nobody until its first syncs
        # have ended.
        async def use(cluster):
            leader = await cluster.wait_for_leader()
            vm = next(v for v in cluster.vms.values() if v.log is not leader)
            await cluster.stop(vm.vm_id)
            vm.disk.sync_seconds = 20.0
            log = await cluster.start(vm.vm_id)
            await asyncio.sleep(1.0)
            await log.propose(b"x", timeout=1)
            self.assertEqual(0, log._replica.storage.durable_index)

        run_virtual(with_cluster(Cluster(), use))

    def test_disks_that_refuse_writes_in_turn_end_nothing(self):
        # Guards against a cluster that loses a member with each full disk.
        async def use(cluster):
            await cluster.wait_for_leader()
            for number, vm in enumerate(list(cluster.vms.values())):
                vm.disk.full = True
                leader = await cluster.wait_for_leader()
                for place in range(3):
                    with contextlib.suppress(OutcomeUnknown, NotAccepted):
                        await leader.propose(b"%d" % place, timeout=2)
                vm.disk.full = False
                await asyncio.sleep(3.0)
                leader = await cluster.wait_for_leader()
                await leader.propose(b"after %d" % number, timeout=5)
            await cluster.wait_until_applied()

        run_virtual(with_cluster(Cluster(), use))

    def test_snapshot_that_the_disk_refused_is_taken_later(self):
        async def use(cluster):
            leader = await cluster.wait_for_leader()
            vm = cluster.vm_of(leader)
            for number in range(45):
                await leader.propose(b"%d" % number, timeout=5)
            save = vm.running._replica.snapshots.save
            refusals = []

            async def refuse(snapshot):
                refusals.append(snapshot.index)
                raise DiskError("no space left on device")

            vm.running._replica.snapshots.save = refuse
            for number in range(10):
                await leader.propose(b"%d" % number, timeout=5)
            await asyncio.sleep(1.0)
            self.assertTrue(refusals)
            vm.running._replica.snapshots.save = save
            await asyncio.sleep(1.0)
            self.assertTrue(vm.timeline.events(prefix="snapshot.taken"))
            self.assertEqual(Role.LEADER, leader.role)

        run_virtual(with_cluster(Cluster(snapshot_every_entries=50), use))

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

"""Tests of members whose disks refuse writes or stall for a while."""

import asyncio
import itertools
import unittest

from loguru import logger

from burdockdrum.consensus import NotAccepted
from burdockdrum.consensus import OutcomeUnknown
from burdockdrum.testing import run_virtual
from tests.consensus.cluster import Cluster
from tests.consensus.cluster import with_cluster
from tests.consensus.histories import FAULTS
from tests.consensus.histories import Plan
from tests.consensus.histories import run_history
from tests.consensus.test_self_repair import make_cluster
from tests.consensus.test_self_repair import start_six
from tests.consensus.test_self_repair import voters

FAULT_SECONDS = 6.0
# A leader is noticed to be lost within two election timeouts; a read or a
# change that others can serve must not wait for that.
SERVED_SECONDS = 1.0
STEP_SECONDS = 0.3
SEEDS = range(60)


async def block(vm, fault, seconds=FAULT_SECONDS):
    """Block the disk of a VM for some seconds."""
    if fault == "stall":
        vm.disk.sync_seconds = seconds
    else:
        setattr(vm.disk, fault, True)
    await asyncio.sleep(seconds)
    vm.disk.mend()
    vm.disk.sync_seconds = 0.0


class BlockedDiskTest(unittest.TestCase):
    """Disks that are full, fail to sync or stall, and come back."""

    def setUp(self):
        logger.disable("burdockdrum")
        self.addCleanup(logger.enable, "burdockdrum")

    def play_each(self, use, *, leads=(True, False), **settings):
        """Play a test with each fault, on the leader and on a follower."""

        async def choose(cluster, fault, of_leader):
            leader = cluster.vm_of(await cluster.wait_for_leader())
            rest = [vm for vm in cluster.vms.values() if vm is not leader]
            victim = leader if of_leader else rest[0]
            others = [vm for vm in cluster.vms.values() if vm is not victim]
            await use(cluster, fault, victim, others)

        for fault, of_leader in itertools.product(
            ("full", "fail_syncs", "stall"), leads
        ):
            with self.subTest(fault=fault, of_leader=of_leader):
                run_virtual(
                    with_cluster(
                        Cluster(**settings),
                        lambda c, f=fault, o=of_leader: choose(c, f, o),
                    )
                )

    def test_changes_and_reads_go_on_at_each_member(self):
        # Guards against callers who wait, or get nothing, at the VM of one
        # blocked disk or for a new leader, though a quorum can write.
        async def use(cluster, fault, victim, others):
            blocked = asyncio.create_task(block(victim, fault))
            for number in itertools.count():
                for vm in cluster.vms.values():
                    command = b"%d %s" % (number, vm.vm_id.encode())
                    await vm.running.propose(command, timeout=SERVED_SECONDS)
                    await vm.running.read_barrier(timeout=SERVED_SECONDS)
                    self.assertIn(command, vm.machine.commands)
                if blocked.done():
                    break
                await asyncio.sleep(STEP_SECONDS)
            events = victim.timeline.events(prefix="log.disk_refuses")
            self.assertEqual(0 if fault == "stall" else 1, len(events))

        self.play_each(use)

    def test_blocked_disk_is_counted_only_once_it_syncs(self):
        # Guards against a member that acknowledges what isn't durable, and
        # against one that never takes part again.
        async def use(cluster, fault, victim, others):
            gone, other = others
            await other.running.propose(b"kept", timeout=5)
            blocked = asyncio.create_task(block(victim, fault))
            await asyncio.sleep(STEP_SECONDS)
            await cluster.stop(gone.vm_id)
            with self.assertRaises((OutcomeUnknown, NotAccepted)):
                await other.running.propose(b"unsynced", timeout=2.0)
            self.assertNotIn(b"unsynced", other.machine.commands)
            await blocked
            log = await cluster.wait_for_leader()
            await log.propose(b"counted", timeout=5)
            await cluster.stop_all(power_loss=True)
            await cluster.start_all()
            await cluster.wait_until_applied()
            for vm in cluster.vms.values():
                self.assertEqual(
                    [b"kept", b"counted"],
                    [c for c in vm.machine.commands if c != b"unsynced"],
                )

        self.play_each(use)

    def test_reads_go_on_while_no_quorum_can_write(self):
        # Guards against members that all live and answer no read, and
        # against changes that are taken though none can be confirmed.
        async def use(cluster, fault, victim, others):
            await victim.running.propose(b"kept", timeout=5)
            await cluster.wait_until_applied()
            blocked = [
                asyncio.create_task(block(vm, fault))
                for vm in (victim, others[0])
            ]
            reasons = set()
            for _ in range(4):
                await asyncio.sleep(STEP_SECONDS)
                for vm in cluster.vms.values():
                    await vm.running.read_barrier(timeout=SERVED_SECONDS)
                    with self.assertRaises((OutcomeUnknown, NotAccepted)) as e:
                        await vm.running.propose(b"x", timeout=STEP_SECONDS)
                    reasons.add(str(e.exception))
            await asyncio.gather(*blocked)
            self.assertIn("no quorum of the voters can write", reasons)
            log = await cluster.wait_for_leader()
            await log.propose(b"after", timeout=5)
            self.assertLess(log.commit_index, 20)

        self.play_each(use)

    def test_memory_for_a_blocked_disk_is_bounded(self):
        # Guards against entries and handlers that pile up behind a disk that
        # is blocked for long, and a leader that can take no more of them.
        async def use(cluster, fault, victim, others):
            blocked = asyncio.create_task(block(victim, fault, 60.0))
            await asyncio.sleep(2.0)
            tasks = len(asyncio.all_tasks())
            for number in range(60):
                log = await cluster.wait_for_leader()
                try:
                    await log.propose(b"%01000d" % number, timeout=5)
                except (NotAccepted, OutcomeUnknown):
                    await asyncio.sleep(0.5)
                storage = victim.running._replica.storage
                unsynced = storage.last_index - storage.durable_index
                self.assertLess(unsynced, 25)
                self.assertLess(len(asyncio.all_tasks()), tasks + 20)
                await asyncio.sleep(STEP_SECONDS)
            self.assertGreater(others[0].running.commit_index, 55)
            await blocked
            await cluster.wait_until_applied()

        self.play_each(use, append_bytes=4000)

    def test_reads_go_on_if_no_successor_could_be_elected(self):
        # Guards against a leader with a blocked disk that hands over, though
        # the votes of the others are no quorum, and against changes that it
        # takes meanwhile.
        async def use(cluster, fault, victim, others):
            gone, other = others
            blocked = asyncio.create_task(block(victim, fault, 30.0))
            await cluster.stop(gone.vm_id)
            reasons = []
            for _ in range(40):
                await victim.running.read_barrier(timeout=SERVED_SECONDS)
                await other.running.read_barrier(timeout=SERVED_SECONDS)
                with self.assertRaises((OutcomeUnknown, NotAccepted)) as e:
                    await other.running.propose(b"x", timeout=STEP_SECONDS)
                reasons.append(str(e.exception))
            self.assertIn("no quorum of the voters can write", reasons)
            self.assertLess(victim.running._replica.storage.last_index, 20)
            await blocked
            log = await cluster.wait_for_leader()
            await log.propose(b"after", timeout=5)

        self.play_each(use, leads=(True,), max_uncommitted_entries=15)

    def test_member_that_needs_a_snapshot_confirms_reads(self):
        # Guards against a leader that loses its quorum, though it is heard by
        # a member that is far behind and has a blocked disk.
        async def use(cluster, fault, victim, others):
            log = await cluster.wait_for_leader()
            cluster.cut_off(victim.vm_id)
            for number in range(30):
                await log.propose(b"%d" % number, timeout=5)
            blocked = asyncio.create_task(block(victim, fault, 20.0))
            await asyncio.sleep(STEP_SECONDS)
            if fault == "stall":
                victim.disk.sync_seconds = 3.0
            cluster.heal()
            await asyncio.sleep(STEP_SECONDS)
            gone = next(vm for vm in others if vm.log is not log)
            await cluster.stop(gone.vm_id)
            for _ in range(60):
                await log.read_barrier(timeout=SERVED_SECONDS)
                await asyncio.sleep(STEP_SECONDS)
            await blocked
            await log.propose(b"after", timeout=15)

        self.play_each(
            use, leads=(False,), snapshot_every_entries=10, keep_entries=2
        )

    def test_voter_whose_disk_is_blocked_for_long_is_replaced(self):
        # Guards against a voter that counts as reachable, as it answers, and
        # leaves two of three voters that can write.
        async def main(of_leader):
            cluster = make_cluster()
            leader = await start_six(cluster)
            victim_id = next(
                v
                for v in voters(leader)
                if (v == cluster.vm_of(leader).vm_id) == of_leader
            )
            await leader.propose(b"x", timeout=5)
            victim = cluster.vms[victim_id]
            blocked = asyncio.create_task(block(victim, "full", 30.0))
            for number in range(30):
                leader = await cluster.wait_for_leader()
                await leader.propose(b"%d" % number, timeout=5)
                await asyncio.sleep(STEP_SECONDS)
            self.assertNotIn(victim_id, voters(leader))
            self.assertEqual(3, len(voters(leader)))
            await blocked
            await cluster.stop_all()
            self.assertEqual([], cluster.errors)

        for of_leader in (True, False):
            with self.subTest(of_leader=of_leader):
                run_virtual(main(of_leader))

    def test_blocked_leader_removes_no_voter_that_it_can_not_replace(self):
        # Guards against a removal that a leader appends and can't commit: the
        # voter would not count when its disk is well again.
        async def main(stops):
            cluster = make_cluster()
            leader = await start_six(cluster)
            first = cluster.vm_of(leader)
            second = next(
                cluster.vms[v] for v in voters(leader) if v != first.vm_id
            )
            blocked = asyncio.create_task(block(first, "full", 60.0))
            gone = asyncio.create_task(block(second, "full", 8.0))
            if stops:
                await cluster.stop(second.vm_id)
            with self.assertRaises(OutcomeUnknown):
                await leader.propose(b"x", timeout=2)
            await gone
            await cluster.start_all()
            leader = await cluster.wait_for_leader()
            await leader.propose(b"y", timeout=5)
            blocked.cancel()
            await cluster.stop_all()
            self.assertEqual([], cluster.errors)

        for stops in (True, False):
            with self.subTest(stops=stops):
                run_virtual(main(stops))

    def test_random_histories_with_stalled_disks(self):
        # Guards against lost or stale answers when stalls, refusals, crashes
        # and losses of power come together.
        faults = (*FAULTS, *["stalled_disk", "full_disk", "working_disk"] * 2)
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run_history(Plan(seed=seed, seconds=6.0, faults=faults))

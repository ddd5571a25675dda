"""Tests of bootstrapping and of changing members."""

import asyncio
import unittest

from loguru import logger

from burdockdrum.consensus import NotAccepted
from burdockdrum.consensus import Role
from burdockdrum.testing import run_virtual
from tests.consensus.cluster import Cluster
from tests.consensus.cluster import with_cluster


async def replace(cluster, vm_id):
    """Remove a member and add its VM again with its current disk."""
    leader = await cluster.wait_for_leader()
    vm = cluster.vms[vm_id]
    # Through a follower, which forwards the changes.
    other = next(log for log in cluster.logs if log not in (leader, vm.log))
    await other.remove_member(vm_id)
    await other.add_member(vm_id, vm.address, vm.running.disk_id)


def voters(log):
    return sorted(member.vm_id for member in log.members if member.voter)


async def stop_follower(cluster, leader, *, wipe=False):
    """Stop one member that is not the leader and return it."""
    vm = next(v for v in cluster.vms.values() if v.log is not leader)
    await cluster.stop(vm.vm_id)
    if wipe:
        vm.disk.wipe()
    return vm


class FoundingTest(unittest.TestCase):
    """Agreement on the first configuration."""

    def setUp(self):
        logger.disable("burdockdrum")
        self.addCleanup(logger.enable, "burdockdrum")

    def test_no_vote_before_all_founders_are_known(self):
        async def main():
            cluster = Cluster()
            await cluster.start("a")
            await cluster.start("b")
            await asyncio.sleep(60)
            for log in cluster.logs:
                self.assertEqual(Role.WAITING, log.role)
                self.assertEqual(0, log.term)
            await cluster.start("c")
            leader = await cluster.wait_for_leader()
            self.assertEqual(["a", "b", "c"], voters(leader))
            await cluster.stop_all()

        run_virtual(main())

    def test_power_loss_during_the_bootstrap(self):
        # Founders lose power while they accept the first configuration. The
        # cluster must still form, once.
        async def main(seed):
            cluster = Cluster(seed=seed)
            cluster.network.set_default(delay=0.05, loss=0.2)
            await cluster.start_all()
            for vm_id in ("a", "b", "c"):
                await asyncio.sleep(0.02 * seed)
                await cluster.restart(vm_id, power_loss=True)
            leader = await cluster.wait_for_leader(seconds=60)
            self.assertEqual(["a", "b", "c"], voters(leader))
            await cluster.stop_all()
            self.assertEqual([], cluster.errors)

        for seed in range(20):
            with self.subTest(seed=seed):
                run_virtual(main(seed))

    def test_emptied_founders_form_no_second_cluster(self):
        # Two of three founders, with the proposing one, lose their disks.
        # They must not form a new, empty cluster.
        async def use(cluster):
            leader = await cluster.wait_for_leader()
            await leader.propose(b"kept", timeout=5)
            await cluster.wait_until_applied()
            await cluster.stop("a")
            await cluster.stop("b")
            cluster.vms["a"].disk.wipe()
            cluster.vms["b"].disk.wipe()
            await cluster.start_all()
            await asyncio.sleep(120)
            self.assertFalse(any(log.is_leader for log in cluster.logs))
            for vm_id in ("a", "b"):
                log = cluster.vms[vm_id].running
                self.assertEqual(Role.WAITING, log.role)

        run_virtual(with_cluster(Cluster(), use))


class MembershipTest(unittest.TestCase):
    """Changes of members."""

    def setUp(self):
        logger.disable("burdockdrum")
        self.addCleanup(logger.enable, "burdockdrum")

    def test_emptied_member_does_not_vote(self):
        # The leader and b have a command, c is down. After b has lost its
        # disk, b and c must not elect a leader, as neither has the command.
        async def use(cluster):
            leader = await cluster.wait_for_leader()
            c = await stop_follower(cluster, leader)
            await leader.propose(b"kept", timeout=5)
            b = await stop_follower_but(cluster, leader, c)
            b.disk.wipe()
            await cluster.stop(cluster.vm_of(leader).vm_id)
            await cluster.start(b.vm_id)
            await cluster.start(c.vm_id)
            await asyncio.sleep(120)
            self.assertFalse(any(log.is_leader for log in cluster.logs))

        async def stop_follower_but(cluster, leader, down):
            vm = next(
                v
                for v in cluster.vms.values()
                if v.log is not leader and v is not down
            )
            await cluster.stop(vm.vm_id)
            return vm

        run_virtual(with_cluster(Cluster(), use))

    def test_second_disk_loss_right_after_a_repair(self):
        # A member loses its disk and is added again. As soon as it is a
        # voter, another VM loses its disk. No acknowledged command is lost.
        async def use(cluster):
            leader = await cluster.wait_for_leader()
            kept = []
            for number in range(120):
                kept.append(b"%d" % number)
                await leader.propose(kept[-1], timeout=5)
            emptied = await stop_follower(cluster, leader, wipe=True)
            await cluster.start(emptied.vm_id)
            await asyncio.sleep(1)
            await replace(cluster, emptied.vm_id)
            kept.append(b"meanwhile")
            await leader.propose(kept[-1], timeout=5)
            await cluster.wait_until(lambda: len(voters(leader)) == 3)
            second = next(
                vm for vm in cluster.vms.values() if vm.log is leader
            )
            await cluster.stop(second.vm_id)
            second.disk.wipe()
            leader = await cluster.wait_for_leader()
            await leader.read_barrier(timeout=5)
            self.assertEqual(kept, cluster.vm_of(leader).machine.commands)
            await cluster.start(second.vm_id)
            await asyncio.sleep(1)
            await replace(cluster, second.vm_id)
            await cluster.wait_until(lambda: len(voters(leader)) == 3)
            await cluster.wait_until_applied()
            self.assertEqual(kept, second.machine.commands)

        settings = {"snapshot_every_entries": 30, "keep_entries": 5}
        for seed in range(5):
            with self.subTest(seed=seed):
                run_virtual(with_cluster(Cluster(seed=seed, **settings), use))

    def test_unreachable_learner_is_in_no_quorum(self):
        async def use(cluster):
            leader = await cluster.wait_for_leader()
            new = cluster.add_vm()
            await cluster.start(new.vm_id)
            await asyncio.sleep(1)
            disk_id = new.running.disk_id
            cluster.cut_off(new.vm_id)
            await leader.add_member(new.vm_id, new.address, disk_id)
            await stop_follower(cluster, leader)
            await leader.propose(b"x", timeout=5)
            self.assertEqual(["a", "b", "c"], voters(leader))

        run_virtual(with_cluster(Cluster(), use))

    def test_three_members_grow_to_five_and_back(self):
        async def use(cluster):
            leader = await cluster.wait_for_leader()
            for number in range(2):
                new = cluster.add_vm()
                await cluster.start(new.vm_id)
                await asyncio.sleep(1)
                await leader.add_member(
                    new.vm_id, new.address, new.running.disk_id
                )
                size = 4 + number
                await cluster.wait_until(
                    lambda n=size: len(voters(leader)) == n
                )
            await leader.propose(b"x", timeout=5)
            own_id = cluster.vm_of(leader).vm_id
            await leader.remove_member(own_id)
            await cluster.stop(own_id)
            leader = await cluster.wait_for_leader()
            self.assertEqual(4, len(voters(leader)))
            await leader.propose(b"y", timeout=5)
            await cluster.wait_until_applied()
            for log in cluster.logs:
                commands = cluster.vm_of(log).machine.commands
                self.assertEqual([b"x", b"y"], commands)

        run_virtual(with_cluster(Cluster(), use))

    def test_new_disk_is_rejected_until_the_old_one_is_removed(self):
        async def use(cluster):
            leader = await cluster.wait_for_leader()
            vm = await stop_follower(cluster, leader, wipe=True)
            log = await cluster.start(vm.vm_id)
            await asyncio.sleep(1)
            with self.assertRaises(NotAccepted):
                await leader.add_member(vm.vm_id, vm.address, log.disk_id)

        run_virtual(with_cluster(Cluster(), use))

"""Tests of repairing the membership without an operator."""

import asyncio
import unittest

from loguru import logger

from burdockdrum.consensus.messages import JoinRequest
from burdockdrum.consensus.self_repair import JOIN_REQUEST_MEMORY_SECONDS
from burdockdrum.testing import run_virtual
from tests.consensus.cluster import Cluster


def make_cluster(*, size=3, seed=1, target_voter_count=3):
    cluster = Cluster(
        size=size,
        seed=seed,
        target_voter_count=target_voter_count,
        read_control_addresses=lambda: [
            vm.address for vm in cluster.vms.values()
        ],
    )
    cluster.network.set_default(delay=0.055)
    return cluster


def voters(log):
    return sorted(member.vm_id for member in log.members if member.voter)


def disks(log):
    return {m.vm_id: m.disk_id for m in log.members if m.voter}


def is_voter(cluster, vm):
    """Return whether a VM with its current disk is a voter."""
    disk_id = vm.running.disk_id
    return disk_id is not None and any(
        disks(log).get(vm.vm_id) == disk_id for log in cluster.logs
    )


async def wait_for(condition, seconds):
    for _ in range(int(seconds / 0.1)):
        if condition():
            return True
        await asyncio.sleep(0.1)
    return False


async def start_six(cluster):
    """Start three founders and three more VMs; return the leader."""
    await cluster.start_all()
    for _ in range(3):
        await cluster.start(cluster.add_vm().vm_id)
    leader = await cluster.wait_for_leader()
    if not await wait_for(lambda: len(leader.members) == 6, 10):
        raise AssertionError(f"members: {leader.members}")
    await asyncio.sleep(5)
    return leader


class SelfRepairTest(unittest.TestCase):
    """Members that lose their disks or never return."""

    def setUp(self):
        logger.disable("burdockdrum")
        self.addCleanup(logger.enable, "burdockdrum")

    def test_emptied_vm_rejoins_before_another_loss(self):
        # The leader loses its disk and becomes a voter with the new one, so
        # that the cluster survives another loss.
        async def main(seed):
            cluster = make_cluster(seed=seed)
            await cluster.start_all()
            leader = await cluster.wait_for_leader()
            await leader.propose(b"first", timeout=5)
            emptied = next(v for v in cluster.vms.values() if v.log is leader)
            await cluster.stop(emptied.vm_id)
            emptied.disk.wipe()
            await cluster.start(emptied.vm_id)
            back = await wait_for(lambda: is_voter(cluster, emptied), 6)
            self.assertTrue(back)
            other = next(v for v in cluster.vms.values() if v is not emptied)
            await cluster.stop(other.vm_id)
            leader = await cluster.wait_for_leader()
            await leader.propose(b"second", timeout=5)
            await cluster.wait_until_applied()
            self.assertEqual([b"first", b"second"], emptied.machine.commands)
            await cluster.stop_all()
            self.assertEqual([], cluster.errors)

        for seed in range(8):
            with self.subTest(seed=seed):
                run_virtual(main(seed))

    def test_halted_voter_is_replaced_and_does_not_return(self):
        # Guards against a voter with an older image of its disk, which lives
        # and answers other messages, that stays a third of the quorum.
        async def main():
            cluster = make_cluster()
            leader = await start_six(cluster)
            halted_id = next(
                v for v in voters(leader) if cluster.vms[v].log is not leader
            )
            halted = cluster.vms[halted_id]
            halted.running._replica.halt("an older image")
            self.assertTrue(
                await wait_for(lambda: halted_id not in voters(leader), 10)
            )
            await asyncio.sleep(20)
            self.assertNotIn(halted_id, voters(leader))
            self.assertEqual(3, len(voters(leader)))
            self.assertIn("burdockdrum_log_halted 1", halted.metrics.text())
            self.assertTrue(halted.timeline.events(prefix="log.stepped_aside"))
            await cluster.stop_all()

        run_virtual(main())

    def test_new_vm_replaces_a_lost_one(self):
        # The lost voter must be removed: four voters with one lost survive
        # no more losses than two of three.
        async def main():
            cluster = make_cluster()
            await cluster.start_all()
            leader = await cluster.wait_for_leader()
            gone = next(v for v in cluster.vms.values() if v.log is not leader)
            await cluster.stop(gone.vm_id)
            newcomer = cluster.add_vm()
            await cluster.start(newcomer.vm_id)
            expected = sorted({*cluster.founders, "d"} - {gone.vm_id})
            self.assertTrue(
                await wait_for(lambda: voters(leader) == expected, 20)
            )
            await cluster.stop_all()

        run_virtual(main())

    def test_vm_beyond_the_voters_is_a_learner(self):
        # Endpoints register with every control VM. If the sixth were no
        # member, no entry VM would follow it.
        async def main():
            cluster = make_cluster(size=3, target_voter_count=5)
            leader = await start_six(cluster)
            self.assertEqual(5, len(voters(leader)))
            self.assertEqual(6, len(leader.members))
            await leader.propose(b"x", timeout=5)
            await cluster.wait_until_applied()
            for vm in cluster.vms.values():
                self.assertEqual([b"x"], vm.machine.commands)
            await cluster.stop_all()
            self.assertEqual([], cluster.errors)

        run_virtual(main())

    def test_learner_replaces_a_lost_voter(self):
        # After the promotion the cluster survives two more losses.
        async def main():
            cluster = make_cluster(size=3, target_voter_count=5)
            leader = await start_six(cluster)
            spare = next(m.vm_id for m in leader.members if not m.voter)
            gone = next(
                vm.vm_id
                for vm in cluster.vms.values()
                if vm.log is not leader and vm.vm_id != spare
            )
            await cluster.stop(gone)
            expected = sorted(set(cluster.vms) - {gone})
            self.assertTrue(
                await wait_for(lambda: voters(leader) == expected, 20)
            )
            self.assertTrue(
                await wait_for(lambda: len(leader.members) == 5, 20)
            )
            for vm_id in expected[:2]:
                await cluster.stop(vm_id)
            leader = await cluster.wait_for_leader()
            await leader.propose(b"x", timeout=5)
            await cluster.stop_all()
            self.assertEqual([], cluster.errors)

        run_virtual(main())

    def test_delayed_join_request_of_a_lost_disk_is_ignored(self):
        # It must not replace the member with the VM's current disk.
        async def main():
            cluster = make_cluster()
            await cluster.start_all()
            leader = await cluster.wait_for_leader()
            vm = next(v for v in cluster.vms.values() if v.log is not leader)
            await cluster.stop(vm.vm_id)
            vm.disk.wipe()
            await cluster.start(vm.vm_id)
            self.assertTrue(await wait_for(lambda: is_voter(cluster, vm), 6))
            held = dict(disks(leader))
            late = JoinRequest(
                vm_id=vm.vm_id,
                address=vm.address,
                disk_id="lost",
                incarnation=vm.incarnation - 1,
            )
            lead = next(v for v in cluster.vms.values() if v.log is leader)
            vm.running._peers.send(lead.address, late)
            await asyncio.sleep(5)
            self.assertEqual(held, disks(leader))
            await cluster.stop_all()

        run_virtual(main())

    def test_replaced_vms_are_forgotten(self):
        # Guards against a control VM that remembers each VM there ever was.
        async def main():
            cluster = make_cluster()
            await cluster.start_all()
            leader = await cluster.wait_for_leader()
            lead = next(v for v in cluster.vms.values() if v.log is leader)
            other = next(v for v in cluster.vms.values() if v is not lead)
            for number in range(6):
                request = JoinRequest(
                    vm_id=f"replaced-{number}",
                    address="x",
                    disk_id=f"disk-{number}",
                    incarnation=1,
                )
                other.running._peers.send(lead.address, request)
                await asyncio.sleep(JOIN_REQUEST_MEMORY_SECONDS / 4)
            remembered = leader._self_repair._received_by_vm_id
            self.assertLessEqual(len(remembered), 5)
            await cluster.stop_all()

        run_virtual(main())

    def test_emptied_vm_that_starts_behind_its_clock_rejoins(self):
        # Guards against a VM whose requests count as those of its former
        # start for good, as no other VM sends any.
        async def main():
            cluster = make_cluster()
            await cluster.start_all()
            leader = await cluster.wait_for_leader()
            vm = next(v for v in cluster.vms.values() if v.log is not leader)
            request = JoinRequest(
                vm_id=vm.vm_id,
                address=vm.address,
                disk_id=vm.running.disk_id,
                incarnation=10,
            )
            vm.running._peers.send(cluster.vm_of(leader).address, request)
            await asyncio.sleep(0.5)
            await cluster.stop(vm.vm_id)
            vm.disk.wipe()
            await cluster.start(vm.vm_id)
            await asyncio.sleep(JOIN_REQUEST_MEMORY_SECONDS)
            rejoined = await wait_for(lambda: is_voter(cluster, vm), 20)
            await cluster.stop_all()
            self.assertTrue(rejoined)

        run_virtual(main())

    def test_number_of_voters_grows_to_the_target(self):
        # Three founders and three more VMs, with five voters as the target.
        async def main():
            cluster = make_cluster(target_voter_count=5)
            await cluster.start_all()
            await cluster.wait_for_leader()
            for _ in range(3):
                await cluster.start(cluster.add_vm().vm_id)
            leader = await cluster.wait_for_leader()
            self.assertTrue(
                await wait_for(lambda: len(voters(leader)) == 5, 10)
            )
            await asyncio.sleep(5)
            self.assertEqual(5, len(voters(leader)))
            self.assertEqual(6, len(leader.members))
            await cluster.stop_all()

        run_virtual(main())

    def test_no_member_is_removed_without_a_quorum(self):
        # Two of three VMs lose their disks at once. The third must not
        # remove them, and no second cluster may form.
        async def main():
            cluster = make_cluster()
            await cluster.start_all()
            leader = await cluster.wait_for_leader()
            await leader.propose(b"kept", timeout=5)
            for vm in [v for v in cluster.vms.values() if v.log is not leader]:
                await cluster.stop(vm.vm_id)
                vm.disk.wipe()
                await cluster.start(vm.vm_id)
            await asyncio.sleep(30)
            self.assertEqual(3, len(voters(leader)))
            self.assertFalse(any(log.is_leader for log in cluster.logs))
            await cluster.stop_all()

        run_virtual(main())

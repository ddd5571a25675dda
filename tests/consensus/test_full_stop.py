"""Tests of control VMs that all stop at once and start again."""

import asyncio
import unittest

from loguru import logger

from burdockdrum.consensus.messages import VoteReply
from burdockdrum.consensus.messages import VoteRequest
from burdockdrum.testing import run_virtual
from tests.consensus.cluster import Cluster

# A trial, a vote and the first entry of the term take a way there and back
# each; before them a member asks the others what they remember of its disk.
DELAY_SECONDS = 0.055
ELECTION_SECONDS = 0.6
LEADER_WITHIN_SECONDS = 0.7
# Nothing that was sent before is still on its way after this.
DOWN_SECONDS = 0.5


def make_cluster(seed, size=3):
    cluster = Cluster(
        seed=seed,
        size=size,
        election_timeout_seconds=ELECTION_SECONDS,
        heartbeat_seconds=ELECTION_SECONDS / 5,
        call_timeout_seconds=ELECTION_SECONDS / 2,
    )
    cluster.network.set_default(delay=DELAY_SECONDS)
    return cluster


class FullStopTest(unittest.TestCase):
    """Elections after a restart of everything, or nearly."""

    def setUp(self):
        logger.disable("burdockdrum")
        self.addCleanup(logger.enable, "burdockdrum")

    def test_leader_is_elected_without_a_silence_for_nobody(self):
        # All control VMs lose their power and start again within 0.15 s.
        # Callers get nothing until one leads. Each might have promised its
        # silence to a leader before; but all of them say that they don't
        # lead, so there is none.
        async def main(seed, size):
            cluster = make_cluster(seed, size)
            await cluster.start_all()
            leader = await cluster.leader()
            await leader.propose(b"first", timeout=5)
            await cluster.stop_all(power_loss=True)
            await asyncio.sleep(DOWN_SECONDS)
            loop = asyncio.get_running_loop()
            for vm_id in list(cluster.vms):
                await cluster.start(vm_id)
                await asyncio.sleep(0.15 / size)
            began = loop.time()
            leader = await cluster.leader()
            self.assertLess(loop.time() - began, LEADER_WITHIN_SECONDS)
            await leader.propose(b"second", timeout=5)
            await cluster.settle()
            for vm in cluster.vms.values():
                self.assertEqual([b"first", b"second"], vm.machine.commands)
            await cluster.stop_all()
            self.assertEqual([], cluster.errors)

        for seed in range(12):
            for size in (3, 5):
                with self.subTest(seed=seed, size=size):
                    run_virtual(main(seed, size))

    def test_members_that_lost_their_disks_do_not_hold_up_the_others(self):
        """A member that is silent about its lost disk might seem to lead."""

        async def main(seed, lost):
            cluster = make_cluster(seed, 5)
            await cluster.start_all()
            leader = await cluster.leader()
            await leader.propose(b"first", timeout=5)
            await cluster.settle()
            names = list(cluster.vms)
            if lost == "leader":
                names.sort(key=lambda n: cluster.vms[n].log is not leader)
            await cluster.stop_all(power_loss=True)
            await asyncio.sleep(DOWN_SECONDS)
            for name in names[:2]:
                cluster.vms[name].disk.wipe()
            loop = asyncio.get_running_loop()
            began = loop.time()
            await cluster.start_all()
            leader = await cluster.leader()
            self.assertLess(loop.time() - began, LEADER_WITHIN_SECONDS)
            await leader.propose(b"second", timeout=5)
            self.assertEqual(
                [b"first", b"second"],
                cluster.vm_of(leader).machine.commands,
            )
            await cluster.stop_all()
            self.assertEqual([], cluster.errors)

        for seed in range(8):
            for lost in ("leader", "any"):
                with self.subTest(seed=seed, lost=lost):
                    run_virtual(main(seed, lost))

    def test_lease_of_a_leader_that_is_cut_off_is_kept(self):
        # Both followers start again just after they have answered a leader,
        # which then is cut off from them and serves reads by its lease. No
        # other one may be elected before the lease is over: it could change
        # what the old leader still reads.
        async def main(seed):
            cluster = make_cluster(seed)
            await cluster.start_all()
            old = await cluster.leader()
            await old.propose(b"x", timeout=5)
            holder = cluster.vm_of(old)
            followers = [v for v in cluster.vms.values() if v is not holder]
            await asyncio.sleep(0.3)
            cluster.cut_off(holder.vm_id)
            for vm in followers:
                await cluster.restart(vm.vm_id)
            while old.is_leader:
                self.assertFalse(any(vm.log.is_leader for vm in followers))
                await asyncio.sleep(0.005)
            await cluster.until(
                lambda: any(vm.log.is_leader for vm in followers)
            )
            await cluster.stop_all()
            self.assertEqual([], cluster.errors)

        for seed in range(20):
            with self.subTest(seed=seed):
                run_virtual(main(seed))

    def test_leader_that_goes_on_is_not_deposed_by_two_restarts(self):
        # Both followers are killed and start again at once; the leader has
        # not even noticed. Their trials must not depose it.
        async def main(seed):
            cluster = make_cluster(seed)
            await cluster.start_all()
            leader = await cluster.leader()
            term = leader.term
            for vm in list(cluster.vms.values()):
                if vm.log is not leader:
                    await cluster.restart(vm.vm_id)
            await asyncio.sleep(3)
            self.assertTrue(leader.is_leader)
            self.assertEqual(term, leader.term)
            await cluster.stop_all()

        for seed in range(12):
            with self.subTest(seed=seed):
                run_virtual(main(seed))

    def test_waiver_holds_for_the_start_that_was_asked_only(self):
        # A candidate's request, made while nobody led, is held up. The
        # member that it is for answers a new leader meanwhile, and starts
        # again: the old request must not free it of that promise. One that
        # was made at this very start does.
        async def main():
            cluster = make_cluster(1)
            await cluster.start_all()
            leader = await cluster.leader()
            holder = cluster.vm_of(leader)
            vm, other = (v for v in cluster.vms.values() if v is not holder)
            held_up = vm.running._replica.start
            cluster.cut_off(holder.vm_id)
            await asyncio.sleep(DELAY_SECONDS * 2)
            await cluster.restart(vm.vm_id)
            await cluster.until(lambda: vm.log._replica is not None)
            await cluster.until(lambda: vm.log._replica.admitted)
            asked = vm.running._replica.start
            self.assertTrue(leader.is_leader)
            self.assertFalse(await self.ask(other, vm, held_up))
            self.assertTrue(await self.ask(other, vm, asked))
            await cluster.stop_all()

        run_virtual(main())

    async def ask(self, candidate, member, waived_start):
        """Ask for a vote in the next term but one, as if nobody led."""
        replica = candidate.running._replica
        request = VoteRequest(
            cluster_id=replica.identity.current.cluster_id,
            target_disk_id=member.running.disk_id,
            term=replica.storage.term + 2,
            sender_id=replica.vm_id,
            sender_disk_id=replica.disk_id,
            last_index=replica.storage.last_index,
            last_term=replica.storage.last_term,
            waived_start=waived_start,
        )
        reply = await candidate.running._peers.call(
            member.address, request, VoteReply, timeout=1.0
        )
        return reply.granted

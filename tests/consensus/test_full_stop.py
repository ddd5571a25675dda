"""Tests of restarting all control VMs at once."""

import asyncio
import unittest

from loguru import logger

from burdockdrum.consensus.messages import VoteReply
from burdockdrum.consensus.messages import VoteRequest
from burdockdrum.testing import run_virtual
from tests.consensus.cluster import Cluster

# The rollback check, the pre-vote, the vote and the first entry of the term
# take one round trip each.
DELAY_SECONDS = 0.055
ELECTION_TIMEOUT_SECONDS = 0.6
MAX_ELECTION_SECONDS = 0.7
# Long enough that no earlier message is still in flight.
DOWNTIME_SECONDS = 0.5


def make_cluster(seed, size=3):
    cluster = Cluster(
        seed=seed,
        size=size,
        election_timeout_seconds=ELECTION_TIMEOUT_SECONDS,
        heartbeat_seconds=ELECTION_TIMEOUT_SECONDS / 5,
        call_timeout_seconds=ELECTION_TIMEOUT_SECONDS / 2,
    )
    cluster.network.set_default(delay=DELAY_SECONDS)
    return cluster


class FullStopTest(unittest.TestCase):
    """Elections after a restart of all or most members."""

    def setUp(self):
        logger.disable("burdockdrum")
        self.addCleanup(logger.enable, "burdockdrum")

    def test_leader_is_elected_quickly_after_a_full_restart(self):
        # Restarted members must not wait for the lease of a leader if all
        # of them report that they do not lead.
        async def main(seed, size):
            cluster = make_cluster(seed, size)
            await cluster.start_all()
            leader = await cluster.wait_for_leader()
            await leader.propose(b"first", timeout=5)
            await cluster.stop_all(power_loss=True)
            await asyncio.sleep(DOWNTIME_SECONDS)
            loop = asyncio.get_running_loop()
            for vm_id in list(cluster.vms):
                await cluster.start(vm_id)
                await asyncio.sleep(0.15 / size)
            began = loop.time()
            leader = await cluster.wait_for_leader()
            self.assertLess(loop.time() - began, MAX_ELECTION_SECONDS)
            await leader.propose(b"second", timeout=5)
            await cluster.wait_until_applied()
            for vm in cluster.vms.values():
                self.assertEqual([b"first", b"second"], vm.machine.commands)
            await cluster.stop_all()
            self.assertEqual([], cluster.errors)

        for seed in range(12):
            for size in (3, 5):
                with self.subTest(seed=seed, size=size):
                    run_virtual(main(seed, size))

    def test_members_without_disks_do_not_delay_the_election(self):
        """A member that does not reply for its former disk might lead."""

        async def main(seed, lost):
            cluster = make_cluster(seed, 5)
            await cluster.start_all()
            leader = await cluster.wait_for_leader()
            await leader.propose(b"first", timeout=5)
            await cluster.wait_until_applied()
            names = list(cluster.vms)
            if lost == "leader":
                names.sort(key=lambda n: cluster.vms[n].log is not leader)
            await cluster.stop_all(power_loss=True)
            await asyncio.sleep(DOWNTIME_SECONDS)
            for name in names[:2]:
                cluster.vms[name].disk.wipe()
            loop = asyncio.get_running_loop()
            began = loop.time()
            await cluster.start_all()
            leader = await cluster.wait_for_leader()
            self.assertLess(loop.time() - began, MAX_ELECTION_SECONDS)
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

    def test_restarted_followers_respect_the_lease(self):
        # The leader is cut off and serves reads under its lease. Followers
        # that have restarted must elect no other before the lease expires.
        async def main(seed):
            cluster = make_cluster(seed)
            await cluster.start_all()
            old = await cluster.wait_for_leader()
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
            await cluster.wait_until(
                lambda: any(vm.log.is_leader for vm in followers)
            )
            await cluster.stop_all()
            self.assertEqual([], cluster.errors)

        for seed in range(20):
            with self.subTest(seed=seed):
                run_virtual(main(seed))

    def test_restarted_followers_do_not_depose_the_leader(self):
        # The pre-votes of two restarted followers must not depose a leader
        # that is still running.
        async def main(seed):
            cluster = make_cluster(seed)
            await cluster.start_all()
            leader = await cluster.wait_for_leader()
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

    def test_waiver_is_valid_for_one_start_only(self):
        # A delayed vote request from before a restart must not waive the
        # lease of a leader contacted in between.
        async def main():
            cluster = make_cluster(1)
            await cluster.start_all()
            leader = await cluster.wait_for_leader()
            holder = cluster.vm_of(leader)
            vm, other = (v for v in cluster.vms.values() if v is not holder)
            stale_start = vm.running._replica.start_id
            cluster.cut_off(holder.vm_id)
            await asyncio.sleep(DELAY_SECONDS * 2)
            await cluster.restart(vm.vm_id)
            await cluster.wait_until(lambda: vm.log._replica is not None)
            await cluster.wait_until(lambda: vm.log._replica.admitted)
            current_start = vm.running._replica.start_id
            self.assertTrue(leader.is_leader)
            self.assertFalse(await self.request_vote(other, vm, stale_start))
            self.assertTrue(await self.request_vote(other, vm, current_start))
            await cluster.stop_all()

        run_virtual(main())

    async def request_vote(self, candidate, member, waived_start):
        """Request a vote in a later term, with a waiver."""
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

"""Tests of candidates whose own vote a leader's lease depends on."""

import asyncio
import unittest

from loguru import logger

from burdockdrum.consensus import Role
from burdockdrum.testing import run_virtual
from tests.consensus.cluster import Cluster
from tests.consensus.cluster import with_cluster

SEEDS = range(20)


class OwnVoteTest(unittest.TestCase):
    """A leader that only one follower hears, and that is then cut off."""

    def setUp(self):
        logger.disable("burdockdrum")
        self.addCleanup(logger.enable, "burdockdrum")

    def play(self, use):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run_virtual(with_cluster(Cluster(seed=seed), use))

    async def split(self, cluster):
        """Let one follower hear nothing of the leader.

        :returns: the leader and the follower that hears it
        """
        leader = cluster.vm_of(await cluster.wait_for_leader())
        near, far = (v for v in cluster.vms.values() if v is not leader)
        cluster.network.cut([leader.vm_id], [far.vm_id])
        await asyncio.sleep(2.0)
        self.assertTrue(leader.running.is_leader)
        return leader, near

    async def check_leases(self, cluster):
        """Check that at most one member claims to lead, for 3 s."""
        for _ in range(300):
            holders = [v for v in cluster.vms.values() if v.running.is_leader]
            self.assertLessEqual(len(holders), 1)
            await asyncio.sleep(0.01)

    def test_candidate_that_heard_the_leader_gives_itself_no_vote(self):
        # Guards against two leases at once after a pre-vote that failed.
        async def use(cluster):
            leader, near = await self.split(cluster)
            cluster.cut_off(near.vm_id)
            while near.running.role is not Role.CANDIDATE:
                await asyncio.sleep(0.01)
            cluster.network.heal([leader.vm_id], [near.vm_id])
            await asyncio.sleep(0.5)
            cluster.heal()
            cluster.cut_off(leader.vm_id)
            await self.check_leases(cluster)

        self.play(use)

    def test_candidate_that_has_just_started_gives_itself_no_vote(self):
        # Guards against two leases at once after a restart.
        async def use(cluster):
            leader, near = await self.split(cluster)
            await cluster.restart(near.vm_id)
            cluster.cut_off(leader.vm_id)
            await self.check_leases(cluster)

        self.play(use)

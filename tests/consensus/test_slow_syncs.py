"""A leader is elected while syncs last longer than a call may take."""

import asyncio
import unittest

from loguru import logger

from burdockdrum.testing import run_virtual
from tests.consensus.cluster import Cluster
from tests.consensus.cluster import with_cluster


class SlowSyncTest(unittest.TestCase):
    """Disks that accept writes, each slower than the timeout of a call."""

    def setUp(self):
        logger.disable("burdockdrum")
        self.addCleanup(logger.enable, "burdockdrum")

    def test_leader_is_elected_while_syncs_are_slow(self):
        # Guards against candidates that raise the term again and again, as
        # votes that wait for a sync come after the timeout of their call.
        async def use(cluster):
            old = await cluster.wait_for_leader()
            for vm in cluster.vms.values():
                vm.disk.sync_seconds = 0.7
            await cluster.stop(cluster.vm_of(old).vm_id)
            async with asyncio.timeout(15):
                leader = await cluster.wait_for_leader()
                await leader.propose(b"x", timeout=10)

        run_virtual(with_cluster(Cluster(), use))

"""Tests of draining the leading control VM."""

import asyncio
import unittest

from burdockdrum.testing import run_virtual
from burdockdrum.vms import Drain
from tests.configuration.deployment import Deployment

CONTROL_IDS = ["n1.1", "s1.1", "e1.1"]
HANDOVER_SECONDS = 1.0


class HandOverTest(unittest.TestCase):
    """Leadership while the leader is replaced."""

    def test_leadership_is_transferred_before_the_exit(self):
        # The last step of a drain is a transfer of leadership. Without it,
        # changes would wait two seconds or more for an election.
        async def main():
            deployment = Deployment(
                seed=3, vm_ids=CONTROL_IDS, control_ids=CONTROL_IDS
            )
            await deployment.start()
            leader = deployment.leader_id()
            vm = deployment.cluster.vms_by_id[leader]
            drain = vm.kernel.find("drain", Drain)
            drain.begin()
            await drain.done.wait()
            await deployment.crash(leader)
            await asyncio.sleep(HANDOVER_SECONDS)
            self.assertNotIn(deployment.leader_id(), (None, leader))
            await deployment.stop()

        run_virtual(main())

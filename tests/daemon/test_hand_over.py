"""A control VM that leads is drained."""

import asyncio
import unittest

from burdockdrum.testing import run_virtual
from burdockdrum.vms import Drain
from tests.configuration.deployment import Deployment

CONTROL_IDS = ["n1.1", "s1.1", "e1.1"]
SOON_SECONDS = 1.0


class HandOverTest(unittest.TestCase):
    """Operators' changes go on while the leader is replaced."""

    def test_leadership_is_handed_on_before_the_exit(self):
        # An operator changes something just after the leader's VM exited.
        # Had it only gone, the others would wait for an election first, two
        # seconds or more; it hands leadership on as the last step.
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
            await asyncio.sleep(SOON_SECONDS)
            self.assertNotIn(deployment.leader_id(), (None, leader))
            await deployment.stop()

        run_virtual(main())

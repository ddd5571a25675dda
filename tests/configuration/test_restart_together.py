"""How soon the VMs of a data centre serve after they all start together.

The pattern: a data centre of a dozen entries loses its power and returns;
control VMs elsewhere go on. Callers wait until an entry knows the routes.
"""

import asyncio
import unittest

from burdockdrum.testing import run_virtual
from tests.configuration.deployment import Deployment

CONTROL_IDS = ["n1.1", "n2.1", "n3.1"]
ENTRY_IDS = [f"s1.{number}" for number in range(1, 13)]
# A way there and back between regions, another one for a control VM to make
# sure, and a tenth of a second between two of these; callers' objectives
# begin at half a second.
KNOWN_WITHIN_SECONDS = 0.5
DELAY_SECONDS = 0.055
# Messages of before the stop have arrived by then.
DOWN_SECONDS = 2.0


class RestartTogetherTest(unittest.TestCase):
    """Entries that all start at once."""

    def test_every_entry_knows_what_to_serve_by_at_once(self):
        # They ask control VMs that have made sure of what they know up to a
        # second ago, before the entries started: that answer does not prove
        # that it is as new as what these have served before.
        async def main(seed):
            deployment = Deployment(
                seed=seed,
                vm_ids=[*CONTROL_IDS, *ENTRY_IDS],
                control_ids=CONTROL_IDS,
            )
            deployment.cluster.network.set_default(delay=DELAY_SECONDS)
            await deployment.start()
            await asyncio.sleep(5)
            for vm_id in ENTRY_IDS:
                await deployment.crash(vm_id)
            await asyncio.sleep(DOWN_SECONDS)
            loop = asyncio.get_running_loop()
            began = loop.time()
            for vm_id in ENTRY_IDS:
                await deployment.start_vm(vm_id)
            waiting = set(ENTRY_IDS)
            while waiting and loop.time() - began < 5:
                await asyncio.sleep(0.02)
                waiting = {
                    vm_id
                    for vm_id in waiting
                    if not deployment.configuration(vm_id).known
                }
            seconds = loop.time() - began
            await deployment.stop()
            self.assertLess(seconds, KNOWN_WITHIN_SECONDS)

        for seed in range(3):
            with self.subTest(seed=seed):
                run_virtual(main(seed))

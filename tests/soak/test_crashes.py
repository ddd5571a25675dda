"""Short runs of the soak of requests that crash endpoints."""

import asyncio

from scripts.soak.crashes import CrashSoak
from tests.soak.cases import SoakCase

SEED = 1


async def nothing_else(soak):
    """Let no other fault happen."""
    await asyncio.Future()


async def restart_all_entries(soak):
    """Restart all entries after they have learned of the requests."""
    await asyncio.sleep(10.0)
    await soak.restart_all_entries()
    await asyncio.Future()


async def restart_control(soak):
    """Restart all control VMs, then all entries."""
    await asyncio.sleep(8.0)
    await soak.restart_control()
    await asyncio.sleep(6.0)
    await soak.restart_all_entries()
    await asyncio.Future()


async def restart_everything(soak):
    """Restart all processes after they have learned of the requests."""
    await asyncio.sleep(10.0)
    await soak.restart_everything()
    await asyncio.Future()


class CrashingRequestTest(SoakCase):
    """Requests that crash endpoints, at six entries of three regions."""

    def run_seed(self, faults, *, seconds):
        """Run processes under the faults; check what endpoints got."""
        result = self.run_soak(CrashSoak(SEED), faults, seconds=seconds)
        self.assertGreater(result.counts_by_status.get(200, 0), 100)

    def test_crashing_request_is_rejected_by_all_entries(self):
        # Guards against a request that costs an endpoint each time it comes.
        self.run_seed(nothing_else, seconds=18)

    def test_restarted_entries_know_crashing_requests(self):
        # Guards against entries that must lose endpoints again to learn.
        self.run_seed(restart_all_entries, seconds=22)

    def test_restarted_control_vms_know_crashing_requests(self):
        # Guards against control VMs that forget what entries told them.
        self.run_seed(restart_control, seconds=28)

    def test_restarted_deployment_knows_crashing_requests(self):
        # Guards against a quarantine that ends when all processes stop.
        self.run_seed(restart_everything, seconds=32)

    def test_crashing_request_under_random_faults(self):
        self.run_seed(None, seconds=25)

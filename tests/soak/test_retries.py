"""Short runs of the soak of the retry budget over real processes."""

import asyncio

from scripts.soak.failing_endpoint import Failure
from scripts.soak.retries import RetrySoak
from tests.soak.cases import SoakCase

SEED = 1
FILL_SECONDS = 11.0


async def reject_with_a_region_without_endpoints(soak):
    """Let all endpoints reject, and remove those of the last region."""
    soak.set_failure(Failure.REJECTS)
    await soak.remove_endpoints(soak.deployment.zones[-1])
    await asyncio.Future()


async def reject_while_entries_restart(soak):
    """Let all endpoints reject; restart all entries twice."""
    soak.set_failure(Failure.REJECTS)
    await asyncio.sleep(FILL_SECONDS)
    for _ in range(2):
        await soak.restart_all_entries()
        await asyncio.sleep(3.0)
    await asyncio.Future()


class RetryBudgetTest(SoakCase):
    """Retries that endpoints get from six entries of three regions."""

    def run_seed(self, faults, *, seconds, rate):
        """Run processes under the faults, and check their retries."""
        result = self.run_soak(
            RetrySoak(SEED, rate=rate), faults, seconds=seconds
        )
        self.assertGreater(sum(result.counts_by_status.values()), 100)

    def test_budget_holds_while_a_region_has_no_endpoints(self):
        # Guards against uncharged arrivals of requests that were forwarded.
        self.run_seed(
            reject_with_a_region_without_endpoints, seconds=16, rate=60
        )

    def test_budget_holds_while_all_entries_restart(self):
        # Guards against entries that spend the burst again after a restart,
        # or divide it by the few entries that they know of.
        self.run_seed(reject_while_entries_restart, seconds=32, rate=8)

    def test_budget_holds_under_random_faults(self):
        self.run_seed(None, seconds=30, rate=20)

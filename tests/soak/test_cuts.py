"""Short runs of the soak of entries that lose their links to endpoints."""

import asyncio

from scripts.soak.cut_endpoint import Cut
from scripts.soak.cuts import CutSoak
from tests.soak.cases import SoakCase

SEED = 1


class CutEntriesTest(SoakCase):
    """Entries of processes that are cut off from all endpoints."""

    def run_seed(self, faults, *, seconds):
        """Run processes under the faults; check first tries of callers."""
        result = self.run_soak(CutSoak(SEED), faults, seconds=seconds)
        self.assertGreater(result.counts_by_status.get(200, 0), 100)

    def test_callers_of_cut_entries_are_served_as_often(self):
        # Guards against entries that refuse what the entry beside serves.
        async def cut_one_of_each_region(soak):
            for cut in Cut:
                await soak.cut(soak.deployment.entries[::2], cut)
                await asyncio.sleep(2.0)

        self.run_seed(cut_one_of_each_region, seconds=45)

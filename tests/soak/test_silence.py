"""Short runs of the soak of endpoints that fall silent and go on."""

import asyncio

from scripts.soak.silence import SilenceSoak
from tests.soak.cases import SoakCase

SEED = 1
RESTART_INTERVAL_SECONDS = 6.0


async def nothing_else(soak):
    """Let no process end."""
    await soak.change_failures()


async def stop_entries(soak):
    """Stop one entry after the other, as for a release."""
    async with asyncio.TaskGroup() as group:
        group.create_task(soak.change_failures())
        while True:
            await asyncio.sleep(RESTART_INTERVAL_SECONDS)
            await soak.restart_entries_in_series()


class SilenceTest(SoakCase):
    """Six entries of three regions, whose endpoints pause."""

    def run_seed(self, faults, *, seconds, **options):
        """Run processes under the faults; check how answers ended."""
        soak = SilenceSoak(SEED, **options)
        result = self.run_soak(soak, faults, seconds=seconds)
        self.assertGreater(result.counts_by_status.get(200, 0), 100)
        return soak

    def test_answers_are_whole_while_endpoints_pause(self):
        # Guards against answers that end for the silence of an endpoint that
        # goes on, with nothing else wrong.
        soak = self.run_seed(
            nothing_else, seconds=15, fails=False, is_endless=False
        )
        self.assertLessEqual(soak.answers.count_nothing().keys(), {"time"})

    def test_answers_are_whole_beside_failing_successors(self):
        # Guards against a sound attempt that is given up for one that fails.
        self.run_seed(nothing_else, seconds=20, is_endless=False)

    def test_answers_are_whole_while_entries_stop(self):
        self.run_seed(stop_entries, seconds=25, is_endless=False)

    def test_answers_have_reasons_under_random_faults(self):
        # Guards against parts of a response that are read without a limit,
        # too: some responses have no end, and memory is checked.
        self.run_seed(None, seconds=25)

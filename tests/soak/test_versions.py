"""Short runs of the soak of streams over several software versions."""

import asyncio
import unittest

from scripts.soak.versions import run_version_seed

SEED = 1


async def restart_entries(soak):
    """Kill entries one after the other, while endpoints crash."""
    async with asyncio.TaskGroup() as group:
        group.create_task(soak.change_failures())
        while True:
            await asyncio.sleep(3.0)
            await soak.restart_entries_in_series()


class StreamVersionTest(unittest.TestCase):
    """Streams of three versions, at six entries of three regions."""

    def run_seed(self, faults, *, seconds):
        """Run processes under the faults; check what callers got."""
        result = asyncio.run(
            run_version_seed(SEED, seconds=seconds, logs=None, faults=faults)
        )
        self.assertEqual([], result.violations, result.format_result())
        self.assertGreater(result.counts_by_status.get(200, 0), 100)

    def test_streams_keep_their_version_while_entries_restart(self):
        # Guards against knowledge of streams that ends with their entry.
        self.run_seed(restart_entries, seconds=20)

    def test_streams_keep_their_version_under_random_faults(self):
        self.run_seed(None, seconds=20)

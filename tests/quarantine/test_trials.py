"""Tests of the table of trials."""

import asyncio
import unittest

from burdockdrum.quarantine.trials import TrialTable
from burdockdrum.testing import run_virtual
from burdockdrum.testing import VirtualClock

LONG_RUN_SECONDS = 600.0


class TrialTableTest(unittest.TestCase):
    """Trials that are not ended."""

    def test_trial_lasts_as_long_as_its_request_may_run(self):
        # Guards against a second run of a suspect beside a long first one.
        async def main():
            table = TrialTable(clock=VirtualClock())
            self.assertTrue(table.grant("x", "e1", LONG_RUN_SECONDS))
            await asyncio.sleep(LONG_RUN_SECONDS - 1)
            self.assertFalse(table.grant("x", "e2", LONG_RUN_SECONDS))
            self.assertFalse(table.grant("y", "e1", LONG_RUN_SECONDS))

        run_virtual(main())

    def test_trial_of_a_stopped_entry_ends_with_its_request(self):
        # Guards against blocking an endpoint for longer than the run.
        async def main():
            table = TrialTable(clock=VirtualClock())
            self.assertTrue(table.grant("x", "e1", 5.0))
            await asyncio.sleep(8.0)
            self.assertTrue(table.grant("y", "e1", 5.0))

        run_virtual(main())


if __name__ == "__main__":
    unittest.main()

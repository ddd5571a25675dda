"""Tests of an endpoint's rate limit over the entries of a real deployment."""

import asyncio
import time

from tests.platform.runners import RunnerCase

LIMIT_PER_SECOND = 1.0
WINDOW_SECONDS = 4.0
# Bound of the platform's rule for any window of that length.
MAX_IN_WINDOW = 1.5 * LIMIT_PER_SECOND * WINDOW_SECONDS + 5
# From the first announcement on, until the rule holds.
GRACE_SECONDS = 5.0
MEASURED_SECONDS = 6.0


class LimitOverEntriesTest(RunnerCase):
    """Two entries of one region, and a runner that both send to."""

    async def test_limit_binds_all_entries_together(self):
        # Guards against each entry sending as if there were no limit, or up
        # to the whole limit by itself.
        self.send_to_all()
        await asyncio.sleep(1.0)
        self.runner.headers = (b"Server-Limit: %g" % LIMIT_PER_SECOND,)
        begin = time.monotonic() + GRACE_SECONDS
        await asyncio.sleep(GRACE_SECONDS + MEASURED_SECONDS)
        await self.cancel_tasks()
        events = self.events()
        self.assertIn("endpoint.limit_announced", events)
        self.assertNotIn("endpoint.limit_withdrawn", events)
        times = [*self.arrivals(0, begin), *self.arrivals(1, begin)]
        busiest = max(
            sum(first <= at < first + WINDOW_SECONDS for at in times)
            for first in times
        )
        self.assertLessEqual(busiest, MAX_IN_WINDOW)
        # The endpoint is still used, up to half of its limit at least.
        self.assertGreater(
            len(times), LIMIT_PER_SECOND * MEASURED_SECONDS / 2 - 1
        )
        refused = {name for name, s in self.statuses_by_id.items() if s == 503}
        self.assertGreater(len(refused), 20)
        self.assertEqual(set(), refused & self.runner.arrived_at_by_id.keys())

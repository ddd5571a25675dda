"""Tests of the connections that a runner gets from all entries together."""

import asyncio

from tests.platform.runners import RunnerCase

MAX_CONNECTIONS = 10
CALLERS = 12
# Until the entries know of each other and have reported their loads.
GRACE_SECONDS = 2.0
MEASURED_SECONDS = 3.0


class ConnectionsTest(RunnerCase):
    """Two entries, and a runner that takes a few connections."""

    services = ({"name": "s", "max_conns": MAX_CONNECTIONS},)

    async def test_connections_of_all_entries_stay_within_the_bound(self):
        # Guards against connections that the endpoint resets, so that
        # requests on them may have run.
        self.runner.run_seconds = 0.05
        await asyncio.sleep(GRACE_SECONDS)
        self.runner.most_connections = 0
        self.send_to_all(CALLERS)
        await asyncio.sleep(MEASURED_SECONDS)
        self.assertLessEqual(self.runner.most_connections, MAX_CONNECTIONS)
        # They are used, more than half of them at the busiest moment.
        self.assertGreater(self.runner.most_connections, MAX_CONNECTIONS / 2)

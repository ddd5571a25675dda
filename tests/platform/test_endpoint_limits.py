"""Tests of an endpoint's rate limit over the entries of a real deployment."""

import asyncio
import json
import time
import unittest

from scripts.local_deployment import call
from scripts.local_deployment import CALLERS_PORT
from scripts.local_deployment import CONTROL_PORT
from scripts.local_deployment import Deployment
from scripts.local_deployment import until
from tests.http1.wire import header
from tests.http1.wire import read_request
from tests.http1.wire import ScriptedServer

CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "fetch",
            "host": "h",
            "path_prefix": "/p/",
            "kind": "safe",
            "timeout_ms": 2000,
            "service": "s",
        }
    ],
    "services": [{"name": "s"}],
}
LIMIT_PER_SECOND = 1.0
WINDOW_SECONDS = 4.0
# Bound of the platform's rule for any window of that length.
MAX_IN_WINDOW = 1.5 * LIMIT_PER_SECOND * WINDOW_SECONDS + 5
# From the first announcement on, until the rule holds.
GRACE_SECONDS = 5.0
MEASURED_SECONDS = 6.0


class Runner(ScriptedServer):
    """A runner that announces a rate limit once ``is_limited`` is set."""

    def __init__(self):
        """Create a runner without a limit."""
        super().__init__(self._respond)
        self.is_limited = False
        self.arrived_at = []
        self.request_ids = set()

    async def _respond(self, reader, writer):
        while True:
            head, _ = await read_request(reader)
            request_id = header(head, b"x-request-id")
            self.arrived_at.append(time.monotonic())
            self.request_ids.add(request_id.decode())
            limit = (
                b"Server-Limit: %g\r\n" % LIMIT_PER_SECOND
                if self.is_limited
                else b""
            )
            writer.write(
                b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Request-Id: "
                + request_id
                + b"\r\n"
                + limit
                + b"Content-Length: 3\r\n\r\nran"
            )


class LimitOverEntriesTest(unittest.IsolatedAsyncioTestCase):
    """Two entries of one region, and a runner that both send to."""

    async def asyncSetUp(self):
        self.deployment = Deployment(entries=2)
        self.addAsyncCleanup(self.deployment.stop)
        self.runner = Runner()
        self.address = await self.runner.open()
        self.addAsyncCleanup(self.runner.close)
        await self.deployment.start()
        self.tasks = [asyncio.create_task(self.check_in())]
        self.addAsyncCleanup(self.cancel_tasks)
        self.entries = [e for e in self.deployment.entries if e.zone == "a"]
        self.statuses_by_id = {}
        self.calls = 0
        await until(self.put_config, 20)
        await self.deployment.until_ready()
        await until(self.is_served)

    async def cancel_tasks(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def check_in(self):
        """Check in the runner at the first control VM."""
        sequence = 0
        while True:
            sequence += 1
            body = {
                "service": "s",
                "addr": self.address,
                "zone": "a",
                "slots": 4,
                "state": "ready",
                "seq": sequence,
            }
            await call(
                self.deployment.control[0].ip,
                CONTROL_PORT,
                "PUT",
                "/v1/instances/i-1",
                json.dumps(body).encode(),
            )
            await asyncio.sleep(0.3)

    async def put_config(self):
        status, _ = await call(
            self.deployment.control[0].ip,
            CONTROL_PORT,
            "PUT",
            "/v1/config",
            json.dumps(CONFIG).encode(),
        )
        return status == 200

    async def send_request(self, entry):
        self.calls += 1
        request_id = f"r{self.calls}"
        headers = (
            "Host: h",
            f"X-Request-Id: {request_id}",
            "X-Deadline-Ms: 2000",
        )
        status, _ = await call(
            entry.ip, CALLERS_PORT, "POST", "/p/x", b"q", headers
        )
        self.statuses_by_id[request_id] = status
        return status

    async def is_served(self):
        """Return whether requests to both entries succeed."""
        statuses = [await self.send_request(e) for e in self.entries]
        return statuses == [200, 200]

    async def send_continuously(self, entry):
        while True:
            await self.send_request(entry)
            await asyncio.sleep(0.02)

    async def test_limit_binds_all_entries_together(self):
        # Guards against each entry sending as if there were no limit, or up
        # to the whole limit by itself.
        self.tasks += [
            asyncio.create_task(self.send_continuously(entry))
            for entry in self.entries
        ]
        await asyncio.sleep(1.0)
        self.runner.is_limited = True
        begin = time.monotonic() + GRACE_SECONDS
        await asyncio.sleep(GRACE_SECONDS + MEASURED_SECONDS)
        await self.cancel_tasks()
        events = [name for e in self.entries for name in e.events()]
        self.assertIn("endpoint.limit_announced", events)
        self.assertNotIn("endpoint.limit_withdrawn", events)
        times = [at for at in self.runner.arrived_at if at >= begin]
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
        self.assertEqual(set(), refused & self.runner.request_ids)

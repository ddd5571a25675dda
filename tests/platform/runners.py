"""A deployment of processes with a runner that two entries send to."""

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
}
SEND_INTERVAL_SECONDS = 0.02


class Runner(ScriptedServer):
    """A runner that records its requests.

    ``status`` is that of its responses; ``headers`` are added to them. Both
    apply to requests that arrive from then on.
    ``run_seconds`` is how long it runs a request. ``open_connections`` counts
    the connections, ``most_connections`` is the highest count.
    """

    def __init__(self):
        """Create a runner that serves every request."""
        super().__init__(self._respond)
        self.status = b"200 OK"
        self.headers = ()
        self.arrived_at_by_id = {}
        self.run_seconds = 0.0
        self.open_connections = 0
        self.most_connections = 0

    async def _respond(self, reader, writer):
        self.open_connections += 1
        self.most_connections = max(
            self.most_connections, self.open_connections
        )
        try:
            while True:
                await self._serve_request(reader, writer)
        finally:
            self.open_connections -= 1

    async def _serve_request(self, reader, writer):
        head, _ = await read_request(reader)
        request_id = header(head, b"x-request-id")
        status, headers = self.status, self.headers
        self.arrived_at_by_id[request_id.decode()] = time.monotonic()
        await asyncio.sleep(self.run_seconds)
        lines = [
            b"HTTP/1.1 " + status,
            b"X-Request-Id: " + request_id,
            *headers,
        ]
        if status.startswith(b"200"):
            lines.append(b"X-Server-Stamp: s")
        else:
            lines.append(b"X-Not-Run: 1")
        lines.append(b"Content-Length: 3")
        writer.write(b"\r\n".join(lines) + b"\r\n\r\nran")


class RunnerCase(unittest.IsolatedAsyncioTestCase):
    """Base class of tests with two entries of one region and a runner.

    Requests to the entries have ids that begin with 0- and with 1-.
    """

    services = ({"name": "s"},)

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
            json.dumps({**CONFIG, "services": self.services}).encode(),
        )
        return status == 200

    async def send_request(self, entry):
        self.calls += 1
        request_id = f"{self.entries.index(entry)}-{self.calls}"
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
            await asyncio.sleep(SEND_INTERVAL_SECONDS)

    def send_to_all(self, callers=1):
        """Begin to send requests of some callers to both entries."""
        self.tasks += [
            asyncio.create_task(self.send_continuously(entry))
            for entry in self.entries
            for _ in range(callers)
        ]

    def arrivals(self, number, since):
        """Return when requests of an entry arrived after a time."""
        return [
            at
            for request_id, at in self.runner.arrived_at_by_id.items()
            if request_id.startswith(f"{number}-") and at >= since
        ]

    def events(self):
        """Return the names of the events that both entries logged."""
        return [name for entry in self.entries for name in entry.events()]

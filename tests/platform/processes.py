"""A deployment of real processes with one runner."""

import asyncio
import json

from scripts.local_deployment import call
from scripts.local_deployment import CALLERS_PORT
from scripts.local_deployment import CONTROL_PORT
from scripts.local_deployment import Deployment
from scripts.local_deployment import until
from tests.http1.wire import header
from tests.http1.wire import read_request
from tests.http1.wire import ScriptedServer

CONFIG = {
    "version": 4,
    "routes": [
        {
            "name": "fetch",
            "host": "h",
            "path_prefix": "/p/",
            "kind": "unsafe",
            "timeout_ms": 3000,
            "service": "s",
        }
    ],
    "services": [{"name": "s"}],
}


async def run_request(reader, writer):
    """Respond to each request as a runner, with a delay under /slow."""
    while True:
        head, body = await read_request(reader)
        if b"/slow" in head:
            await asyncio.sleep(1.5)
        request_id = header(head, b"x-request-id")
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Request-Id: "
            + request_id
            + b"\r\nContent-Length: 3\r\n\r\nran"
        )


class ProcessesCase:
    """A mixin with three control VMs, three entries and one runner."""

    respond = staticmethod(run_request)
    slots = 4

    async def asyncSetUp(self):
        self.deployment = Deployment()
        self.configure()
        self.addAsyncCleanup(self.deployment.stop)
        self.runner = ScriptedServer(self.respond)
        self.address = await self.runner.open()
        self.addAsyncCleanup(self.runner.close)
        await self.deployment.start()
        self.heartbeat = asyncio.create_task(self.check_in())
        self.addAsyncCleanup(self.stop_heartbeat)
        await until(self.put_config, 20)
        await self.deployment.until_ready()
        await until(self.is_served)

    def configure(self):
        """Change the deployment before it is started."""

    async def stop_heartbeat(self):
        self.heartbeat.cancel()
        await asyncio.gather(self.heartbeat, return_exceptions=True)

    async def check_in(self):
        """Check in a runner of zone a at the first available control VM."""
        sequence = 0
        while True:
            sequence += 1
            body = {
                "service": "s",
                "addr": self.address,
                "zone": "a",
                "slots": self.slots,
                "state": "ready",
                "seq": sequence,
            }
            for machine in self.deployment.control:
                status, _ = await call(
                    machine.ip,
                    CONTROL_PORT,
                    "PUT",
                    "/v1/instances/i-1",
                    json.dumps(body).encode(),
                )
                if status == 200:
                    break
            await asyncio.sleep(0.3)

    async def put_config(self, **changes):
        body = json.dumps({**CONFIG, **changes}).encode()
        for machine in self.deployment.control:
            status, _ = await call(
                machine.ip, CONTROL_PORT, "PUT", "/v1/config", body
            )
            if status == 200:
                return True
        return False

    async def send_request(self, entry, path="/p/x"):
        headers = ("Host: h", "X-Request-Id: r1", "X-Deadline-Ms: 3000")
        return await call(entry.ip, CALLERS_PORT, "POST", path, b"q", headers)

    async def is_served(self):
        """Return whether requests to every entry succeed."""
        answers = [await self.send_request(e) for e in self.deployment.entries]
        return all(answer == (200, b"ran") for answer in answers)

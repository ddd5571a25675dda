"""Tests of a deployment of real processes: signals, crashes, restarts."""

import asyncio
import json
import signal
import unittest

from scripts.local_deployment import call
from scripts.local_deployment import CALLERS_PORT
from scripts.local_deployment import CONTROL_PORT
from scripts.local_deployment import Deployment
from scripts.local_deployment import DIRECTORY_PORT
from scripts.local_deployment import is_ready
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


class ProcessesTest(unittest.IsolatedAsyncioTestCase):
    """Three control VMs and three entries."""

    async def asyncSetUp(self):
        self.deployment = Deployment()
        self.addAsyncCleanup(self.deployment.stop)
        self.runner = ScriptedServer(run_request)
        self.address = await self.runner.open()
        self.addAsyncCleanup(self.runner.close)
        await self.deployment.start()
        self.heartbeat = asyncio.create_task(self.check_in())
        self.addAsyncCleanup(self.stop_heartbeat)
        await until(self.put_config, 20)
        await self.deployment.until_ready()
        await until(self.is_served)

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
                "slots": 4,
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

    async def read_version(self):
        for machine in self.deployment.control:
            version = await self.read_version_at(machine)
            if version is not None:
                return version
        return None

    async def read_version_at(self, machine):
        """Return the version that a control VM confirms with the quorum."""
        status, body = await call(
            machine.ip, CONTROL_PORT, "GET", "/v1/config"
        )
        return json.loads(body)["version"] if status == 200 else None

    async def is_promoted(self, machine):
        """Return whether a control VM with an empty disk votes again."""
        return any(
            line["event"] == "member.promoted"
            and line["about_vm"] == f"vm-{machine.ip}"
            for other in self.deployment.control
            for line in other.log()
        )

    async def send_request(self, entry, path="/p/x"):
        headers = ("Host: h", "X-Request-Id: r1", "X-Deadline-Ms: 3000")
        return await call(entry.ip, CALLERS_PORT, "POST", path, b"q", headers)

    async def is_served(self):
        """Return whether requests to every entry succeed."""
        answers = [await self.send_request(e) for e in self.deployment.entries]
        return all(answer == (200, b"ran") for answer in answers)

    async def resolve(self):
        control = self.deployment.control[0]
        path = "/v1/resolve?name=h&region=a&zone=a"
        status, body = await call(control.ip, DIRECTORY_PORT, "GET", path)
        return json.loads(body)["addrs"] if status == 200 else []

    async def test_stopped_entry_cuts_nobody_off(self):
        # HARD CASE 20: an entry is stopped during a request. The request
        # completes; the entry is delisted and not ready at once, still serves
        # new requests for a while, and exits within the grace period.
        entry = self.deployment.entries[0]
        address = f"{entry.ip}:{CALLERS_PORT}"
        self.assertEqual([address], await self.resolve())
        slow = asyncio.create_task(self.send_request(entry, "/p/slow"))
        await asyncio.sleep(0.2)
        entry.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.5)
        self.assertFalse(await is_ready(entry))
        self.assertNotIn(address, await self.resolve())
        self.assertEqual((200, b"ran"), await self.send_request(entry))
        self.assertEqual((200, b"ran"), await slow)
        async with asyncio.timeout(8):
            self.assertEqual(0, await entry.process.wait())
        events = entry.events()
        for name in ("process.started", "process.stopping", "process.stopped"):
            self.assertIn(name, events)

    async def test_reload_interrupts_nothing(self):
        for machine in self.deployment.machines:
            machine.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.5)
        self.assertTrue(await self.is_served())
        entry = self.deployment.entries[0]
        self.assertIn("settings.read", entry.events())
        entry.settings.write_text("node = ")
        entry.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.5)
        self.assertIn("settings.refused", entry.events())
        self.assertTrue(await self.is_served())

    async def test_loss_of_any_control_machine_is_tolerated(self):
        # Each control VM is killed and restarted in turn, one with an empty
        # disk. Acknowledged changes survive and new ones are accepted. The
        # next one is killed when the quorum no longer needs it: two lost at
        # once are more than the deployment tolerates.
        version = 4
        for machine in self.deployment.control:
            await machine.stop()
            version += 3
            await until(lambda v=version: self.put_config(version=v), 10)
            self.assertTrue(await self.is_served())
            is_emptied = machine is self.deployment.control[1]
            if is_emptied:
                for path in (machine.folder / "log").iterdir():
                    path.unlink()
            await machine.start()
            found = await until(lambda m=machine: self.read_version_at(m), 10)
            self.assertEqual(version, found)
            if is_emptied:
                await until(lambda m=machine: self.is_promoted(m), 10)
                # Agreed after the promotion, which is then agreed as well.
                await until(lambda v=version: self.put_config(version=v), 10)
            self.assertEqual(version, await self.read_version())

    async def test_restart_of_everything_keeps_what_was_acknowledged(self):
        self.assertTrue(await self.put_config(version=9))
        for machine in self.deployment.machines:
            await machine.stop()
        await self.deployment.start()
        self.assertEqual(9, await until(self.read_version, 10))
        await until(self.is_served, 10)

"""Tests of a deployment of real processes: signals, crashes, restarts."""

import asyncio
import json
import signal
import unittest

from scripts.local_deployment import call
from scripts.local_deployment import CALLERS_PORT
from scripts.local_deployment import CONTROL_PORT
from scripts.local_deployment import DIRECTORY_PORT
from scripts.local_deployment import is_ready
from scripts.local_deployment import until
from tests.platform.processes import ProcessesCase


class ProcessesTest(ProcessesCase, unittest.IsolatedAsyncioTestCase):
    """Signals, crashes and restarts of the processes."""

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

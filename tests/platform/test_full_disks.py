"""Tests of processes whose files can't grow, as on a full disk."""

import functools
import json
import resource
import shutil
import time
import unittest

from scripts.local_deployment import call
from scripts.local_deployment import CONTROL_PORT
from scripts.local_deployment import Deployment
from scripts.local_deployment import DIRECTORY_PORT
from scripts.local_deployment import until

METRICS_PORT = 9464
# Less than a record takes.
FREE_BYTES = 20
# The platform's bound on a confirmation.
ACK_SECONDS = 6.0
CONFIG = {"version": 1, "routes": [], "services": [{"name": "s"}]}
CHECK_IN = {
    "service": "s",
    "addr": "127.0.0.1:9",
    "zone": "a",
    "slots": 4,
    "state": "ready",
    "seq": 1,
}


def set_full(machine, *, is_full):
    """Refuse writes of a process that this test started, or allow them.

    The limit applies to its log as well, which is a file.
    """
    _, hard = resource.prlimit(machine.process.pid, resource.RLIMIT_FSIZE)
    soft = 0 if is_full else hard
    resource.prlimit(machine.process.pid, resource.RLIMIT_FSIZE, (soft, hard))


def find_log_bytes(machine):
    """Return the size of the largest file of a replicated log, in bytes."""
    return max(
        f.stat().st_size for f in (machine.folder / "log").glob("log-*")
    )


def set_nearly_full(machine, *, free_bytes):
    """Let the disk take only a part of the next write to the log.

    :returns: the size at which the write stops
    """
    size = find_log_bytes(machine) + free_bytes
    _, hard = resource.prlimit(machine.process.pid, resource.RLIMIT_FSIZE)
    resource.prlimit(machine.process.pid, resource.RLIMIT_FSIZE, (size, hard))
    return size


class FullDiskTest(unittest.IsolatedAsyncioTestCase):
    """Three control VMs and an entry in each zone."""

    async def asyncSetUp(self):
        self.deployment = Deployment()
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()
        self.first, _, self.last = self.deployment.control
        await until(lambda: self.put_config(self.first, 1), 20)

    async def put_config(self, machine, version):
        body = json.dumps({**CONFIG, "version": version}).encode()
        status, _ = await call(
            machine.ip, CONTROL_PORT, "PUT", "/v1/config", body
        )
        return status == 200

    async def read_status(self, machine):
        status, _ = await call(machine.ip, CONTROL_PORT, "GET", "/v1/config")
        return status

    async def is_read(self, machine):
        return await self.read_status(machine) == 200

    async def check_in(self, machine):
        body = json.dumps(CHECK_IN).encode()
        path = "/v1/instances/i-1"
        status, _ = await call(machine.ip, CONTROL_PORT, "PUT", path, body)
        return status == 200

    async def resolve(self, machine):
        path = "/v1/resolve?name=h&region=a&zone=a"
        status, _ = await call(machine.ip, DIRECTORY_PORT, "GET", path)
        return status == 200

    async def read_metric(self, machine, name):
        _, text = await call(machine.ip, METRICS_PORT, "GET", "/metrics")
        for line in text.decode().splitlines():
            if line.startswith(f"{name} "):
                return float(line.split()[1])
        return None

    async def refuses(self, machine):
        name = "burdockdrum_log_disk_refuses"
        return await self.read_metric(machine, name) == 1

    async def has_logged(self, machine, event):
        return event in machine.events()

    async def test_control_vm_that_starts_on_a_full_disk_serves(self):
        # Guards against a process that ends at each start on a full disk,
        # or with a log that can't be written.
        for is_empty in (False, True):
            with self.subTest(is_empty=is_empty):
                await self._start_on_a_full_disk(is_empty)

    async def test_changes_go_on_while_disks_fill_in_turn(self):
        # Guards against a control VM that takes no part any more after its
        # disk took only a part of a write.
        version = 1
        for machine in self.deployment.control:
            with self.subTest(machine.name):
                size = set_nearly_full(machine, free_bytes=FREE_BYTES)
                version = await self.change_at_each(version)
                self.assertEqual(size, find_log_bytes(machine))
                set_full(machine, is_full=True)
                version = await self.change_at_each(version)
                set_full(machine, is_full=False)
                version = await self.change_at_each(version)
        for machine in self.deployment.control:
            await machine.stop()
        for machine in self.deployment.control:
            await machine.start()
        for machine in self.deployment.control:
            await until(functools.partial(self.reads, machine, version))

    async def change_at_each(self, version):
        """Change the configuration at each control VM.

        :returns: the version after the last change
        """
        for machine in self.deployment.control:
            version += 1
            put = functools.partial(self.put_config, machine, version)
            await until(put, ACK_SECONDS)
        return version

    async def reads(self, machine, version):
        """Return whether a control VM has a version."""
        status, body = await call(
            machine.ip, CONTROL_PORT, "GET", "/v1/config"
        )
        return status == 200 and json.loads(body)["version"] == version

    async def _start_on_a_full_disk(self, is_empty):
        machine = self.last
        await machine.stop()
        if is_empty:
            shutil.rmtree(machine.folder / "log", ignore_errors=True)
        await machine.start()
        set_full(machine, is_full=True)
        await until(lambda: self.check_in(machine))
        await until(lambda: self.resolve(machine))
        await until(lambda: self.refuses(machine))
        if not is_empty:
            # It has a log, and reads need no write.
            await until(lambda: self.is_read(machine))
        began = time.monotonic()
        status = 503 if is_empty else 200
        self.assertEqual(status, await self.read_status(machine))
        self.assertLess(time.monotonic() - began, 1.0)
        version = 3 if is_empty else 2
        self.assertTrue(await self.put_config(machine, version))
        self.assertIsNone(machine.process.returncode)
        set_full(machine, is_full=False)
        await until(lambda: self.is_read(machine))
        # What was logged while the disk was full is written later.
        event = "log.opened" if is_empty else "log.disk_accepts"
        await until(lambda: self.has_logged(machine, event))

"""A short run of the soak over real processes."""

import asyncio
import pathlib
import signal
import tempfile
import unittest

from scripts.local_deployment import call
from scripts.local_deployment import CALLERS_PORT
from scripts.soak.endpoint import Fault
from scripts.soak.scene import run_seed
from scripts.soak.scene import Scene

# It waits for its endpoint, and the entry waits for it.
HEADERS = ("Host: h", "X-Request-Id: under-way")


class SoakTest(unittest.TestCase):
    """Seeds that are run each time."""

    def test_promises_hold(self):
        # Kills, pauses, stops, emptied disks and spoilt connections come at
        # random and overlap, while callers and an operator go on.
        with tempfile.TemporaryDirectory() as folder:
            result = asyncio.run(
                run_seed(3, seconds=8.0, logs=pathlib.Path(folder))
            )
        self.assertEqual([], result.broken, result.show())
        self.assertGreater(result.counts_by_status.get(200, 0), 100)

    def test_an_entry_that_drains_as_the_faults_end_serves_again(self):
        # Callers see every entry serve once the faults are over. Seed 310
        # ended while an entry was draining: its restart was cut off, it
        # ended two seconds later, and nobody started it again.
        broken, is_new_process = asyncio.run(_cut_off_a_restart())
        self.assertEqual([], broken)
        self.assertTrue(is_new_process)


async def _cut_off_a_restart() -> tuple[list[str], bool]:
    scene = Scene(310)
    checking_in = asyncio.create_task(scene.check_in())
    try:
        await scene.open()
        entry = scene.deployment.entries[0]
        for proxy in scene.proxies:
            proxy.set_fault(Fault.SILENT)
        under_way = asyncio.create_task(
            call(entry.ip, CALLERS_PORT, "POST", "/once/x", b"", HEADERS)
        )
        await asyncio.sleep(0.2)
        draining = entry.process
        restart = asyncio.create_task(
            scene.restart(entry, signal.SIGTERM, "stopped")
        )
        await asyncio.sleep(0.2)
        restart.cancel()
        await asyncio.gather(restart, return_exceptions=True)
        await scene.recover()
        await under_way
        is_new_process = entry.process is not draining
    finally:
        checking_in.cancel()
        await scene.close()
    return scene.promises.broken, is_new_process

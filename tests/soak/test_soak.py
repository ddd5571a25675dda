"""Short runs of the soak test over real processes."""

import asyncio
import pathlib
import signal
import tempfile
import unittest

from scripts.local_deployment import call
from scripts.local_deployment import CALLERS_PORT
from scripts.soak.endpoint import Fault
from scripts.soak.run import run_seed
from scripts.soak.run import SoakRun

# The request keeps the entry draining, as its endpoint does not answer.
HEADERS = ("Host: h", "X-Request-Id: under-way")


class SoakTest(unittest.TestCase):
    """Fixed seeds of the soak test."""

    def test_invariants_hold_under_random_faults(self):
        # Process and connection faults overlap while callers and an operator
        # continue to send requests.
        with tempfile.TemporaryDirectory() as folder:
            result = asyncio.run(
                run_seed(3, seconds=8.0, logs=pathlib.Path(folder))
            )
        self.assertEqual([], result.violations, result.format_result())
        self.assertGreater(result.counts_by_status.get(200, 0), 100)

    def test_limits_of_endpoints_hold_under_random_faults(self):
        # Endpoints announce, change and withdraw limits while the entries
        # that share them are killed, paused and stopped.
        with tempfile.TemporaryDirectory() as folder:
            result = asyncio.run(
                run_seed(
                    1,
                    seconds=20.0,
                    logs=pathlib.Path(folder),
                    has_limits=True,
                )
            )
        self.assertEqual([], result.violations, result.format_result())
        self.assertGreater(result.counts_by_status.get(200, 0), 100)

    def test_entry_that_drains_when_the_faults_end_is_restarted(self):
        # Cancelling the restart of a draining entry must not leave the entry
        # stopped, as seed 310 once did.
        violations, is_new_process = asyncio.run(_cancel_restart())
        self.assertEqual([], violations)
        self.assertTrue(is_new_process)


async def _cancel_restart() -> tuple[list[str], bool]:
    soak_run = SoakRun(310)
    registering = asyncio.create_task(soak_run.register_endpoints())
    try:
        await soak_run.open()
        entry = soak_run.deployment.entries[0]
        for proxy in soak_run.proxies:
            proxy.set_fault(Fault.UNRESPONSIVE)
        under_way = asyncio.create_task(
            call(entry.ip, CALLERS_PORT, "POST", "/once/x", b"", HEADERS)
        )
        await asyncio.sleep(0.2)
        draining = entry.process
        restart = asyncio.create_task(
            soak_run.restart(entry, signal.SIGTERM, "stopped")
        )
        await asyncio.sleep(0.2)
        restart.cancel()
        await asyncio.gather(restart, return_exceptions=True)
        await soak_run.recover()
        await under_way
        is_new_process = entry.process is not draining
    finally:
        registering.cancel()
        await soak_run.close()
    return soak_run.invariants.violations, is_new_process

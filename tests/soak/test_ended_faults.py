"""Tests of faults of a soak whose time ends in the middle."""

import asyncio
import signal
import unittest

from scripts.soak.retries import RetrySoak
from scripts.soak.run import SoakRun


class Program:
    """A process that is there until it is killed."""

    def __init__(self):
        """Create one that runs."""
        self.returncode = None
        self.signals = []

    def send_signal(self, number):
        """Keep the signal."""
        self.signals.append(number)


class Computer:
    """A machine whose process takes a moment to exit."""

    is_stopping = False

    def __init__(self):
        """Create one that runs."""
        self.process = Program()

    def send_signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    async def stop(self, number):
        """Stop the process."""
        self.is_stopping = True
        await self.wait_until_exited()

    async def wait_until_exited(self):
        """Wait until a stopping process has exited."""
        if self.is_stopping:
            await asyncio.sleep(0.03)
            self.process, self.is_stopping = None, False

    async def start(self):
        """Start the process again."""
        self.process = Program()


class EndedFaultTest(unittest.IsolatedAsyncioTestCase):
    """Restarts and pauses that are cancelled at any moment."""

    def setUp(self):
        self.soak = RetrySoak(1)
        self.addAsyncCleanup(self.soak.close)

    async def end_after(self, seconds, fault):
        """Cancel a fault after some seconds."""
        task = asyncio.create_task(fault)
        await asyncio.sleep(seconds)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def test_machine_comes_back_though_its_fault_ends(self):
        # Guards against machines that are down, or stand still, from the end
        # of a time for faults until that of the soak.
        for seconds in (0.01, 0.06):
            machine = Computer()
            before = machine.process
            await self.end_after(seconds, self.soak._restart([machine]))
            self.assertIsNotNone(machine.process)
            self.assertIsNot(before, machine.process)
            machine = Computer()
            await self.end_after(seconds, self.soak._pause(machine))
            self.assertEqual(
                [signal.SIGSTOP, signal.SIGCONT], machine.process.signals
            )


class EndedDrainTest(unittest.IsolatedAsyncioTestCase):
    """A drain of an endpoint that is cancelled."""

    async def test_endpoint_that_announced_a_drain_gets_another_id(self):
        # Guards against an endpoint that goes on under the id that entries
        # must not use any more, so that nothing recovers.
        soak = SoakRun(1)
        self.addAsyncCleanup(soak.close)
        endpoint = soak.endpoints[0]
        draining = asyncio.create_task(soak.drain_at_times(endpoint))
        async with asyncio.timeout(30):
            while not endpoint.is_draining:
                await asyncio.sleep(0.01)
        draining.cancel()
        await asyncio.gather(draining, return_exceptions=True)
        self.assertFalse(endpoint.is_draining)
        self.assertEqual("e0-1", endpoint.endpoint_id)

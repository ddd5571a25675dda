"""Tests of the supervision of tasks."""

import asyncio
import json
import unittest

from loguru import logger

from burdockdrum.kernel import Kernel
from burdockdrum.kernel import Supervisor
from burdockdrum.metrics import Metrics
from burdockdrum.testing import run_virtual
from burdockdrum.testing import VirtualClock


class FailingService:
    """A service that fails some times, then runs on."""

    is_restartable = True

    def __init__(self, *, failures):
        """Create it for a number of failures."""
        self.failures = failures
        self.starts = 0

    async def run(self):
        """Fail, or wait until cancelled."""
        self.starts += 1
        await asyncio.sleep(0.001)
        if self.starts <= self.failures:
            raise AttributeError("a programming error")
        await asyncio.Event().wait()


class EndingService(FailingService):
    """A service whose failure ends the process."""

    is_restartable = False


class SupervisorTest(unittest.TestCase):
    """Services that fail, in a kernel."""

    def setUp(self):
        self.metrics = Metrics()
        self.lines = []
        handler = logger.add(self.lines.append, serialize=True)
        self.addCleanup(logger.remove, handler)

    def run_kernel(self, service, seconds):
        """Run a service in a kernel of its own."""

        async def main():
            kernel = Kernel()
            kernel.provide(
                "supervisor",
                Supervisor(clock=VirtualClock(), metrics=self.metrics),
            )
            kernel.provide("service", service)
            try:
                async with asyncio.timeout(seconds):
                    await kernel.run()
            except TimeoutError:
                pass

        run_virtual(main())

    def failures(self):
        """Return the lines of the log about failures, decoded."""
        records = [json.loads(line)["record"] for line in self.lines]
        return [r for r in records if r["message"] == "task.failed"]

    def test_error_of_a_restartable_service_ends_no_process(self):
        # An unexpected error in one task ended the process with all requests.
        service = FailingService(failures=3)
        self.run_kernel(service, 10.0)
        self.assertEqual(4, service.starts)

    def test_programming_error_is_counted_and_logged_with_its_place(self):
        # Guards against a supervisor that hides the next fault.
        self.run_kernel(FailingService(failures=3), 10.0)
        counter = self.metrics.counter("burdockdrum_task_failures_total", "")
        self.assertEqual(3, counter.value(task="service"))
        fields = self.failures()[0]["extra"]
        self.assertEqual("service", fields["task"])
        self.assertIn("a programming error", fields["reason"])
        self.assertIn("test_supervisor.py", fields["raised_in"])

    def test_task_that_always_fails_is_restarted_rarely(self):
        # Guards against a loop that uses up the processor or floods the log.
        service = FailingService(failures=1000)
        self.run_kernel(service, 60.0)
        self.assertGreater(service.starts, 10)
        self.assertLess(service.starts, 20)

    def test_error_of_any_other_service_ends_the_kernel(self):
        # A control VM without its storage must not go on.
        service = EndingService(failures=1)
        with self.assertRaises(ExceptionGroup):
            self.run_kernel(service, 10.0)
        self.assertEqual(1, service.starts)


if __name__ == "__main__":
    unittest.main()

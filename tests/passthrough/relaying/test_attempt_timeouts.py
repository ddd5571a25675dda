"""Tests of when an idle attempt has stalled."""

import asyncio
import unittest

from burdockdrum.passthrough.relaying.attempt_timeouts import AttemptWatchdog
from burdockdrum.testing import run_virtual


class Scenario:
    """A watchdog of an attempt, and when it reported that it stalled."""

    def __init__(self):
        """Start a watchdog without an alternative target."""
        self.has_alternative = False
        self.checks = 0
        self.stalled_at = None
        self.loop = asyncio.get_running_loop()
        self.began = self.loop.time()
        self.watchdog = AttemptWatchdog(
            first_chunk_timeout_seconds=0.4,
            idle_timeout_seconds=1.5,
            may_retry=self.may_retry,
            report_stall=self.report_stall,
        )

    def may_retry(self):
        """Return whether there is an alternative target."""
        self.checks += 1
        return self.has_alternative and self.stalled_at is None

    def report_stall(self):
        """Record the time."""
        self.stalled_at = self.loop.time() - self.began


def play(test):
    """Run a test under virtual time."""

    async def main():
        await test(Scenario())

    run_virtual(main())


class AttemptWatchdogTest(unittest.TestCase):
    """Idle attempts, with and without an alternative target."""

    def test_idle_attempt_stalls_if_there_is_an_alternative(self):
        async def check(scenario):
            scenario.has_alternative = True
            await asyncio.sleep(1)
            self.assertAlmostEqual(0.4, scenario.stalled_at)

        play(check)

    def test_idle_attempt_is_kept_until_there_is_an_alternative(self):
        # Guards against retrying an attempt while no other endpoint has free
        # capacity.
        async def check(scenario):
            await asyncio.sleep(1)
            self.assertIsNone(scenario.stalled_at)
            scenario.has_alternative = True
            await asyncio.sleep(0.3)
            self.assertLess(scenario.stalled_at, 1.3)
            self.assertGreater(scenario.checks, 2)

        play(check)

    def test_chunks_restart_the_idle_timeout(self):
        async def check(scenario):
            scenario.has_alternative = True
            for _ in range(10):
                await asyncio.sleep(0.3)
                scenario.watchdog.record_chunk()
            self.assertIsNone(scenario.stalled_at)
            await asyncio.sleep(2)
            self.assertAlmostEqual(4.5, scenario.stalled_at)

        play(check)

    def test_stopped_watchdog_reports_nothing(self):
        async def check(scenario):
            scenario.has_alternative = True
            scenario.watchdog.stop()
            await asyncio.sleep(2)
            self.assertIsNone(scenario.stalled_at)

        play(check)

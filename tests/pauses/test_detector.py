"""Tests of the time in which a process could have heard anything."""

import asyncio
import unittest

from loguru import logger

from burdockdrum.metrics import Metrics
from burdockdrum.pauses import PauseDetector
from burdockdrum.system_ports import SystemClock
from tests.passthrough.fakes import ManualClock
from tests.pauses.blocking import block_event_loop

PAUSE_SECONDS = 0.8


class PauseDetectorTest(unittest.IsolatedAsyncioTestCase):
    """A process whose event loop is blocked."""

    async def asyncSetUp(self):
        logger.disable("burdockdrum")
        self.addCleanup(logger.enable, "burdockdrum")
        self.metrics = Metrics()
        self.detector = PauseDetector(
            clock=SystemClock(), metrics=self.metrics
        )
        task = asyncio.create_task(self.detector.run())
        self.addCleanup(task.cancel)
        await asyncio.sleep(0.05)

    async def test_pause_does_not_count_before_and_after_it_is_detected(self):
        # Guards against timers that judge a silence before the tick that
        # follows a pause.
        began = self.detector.monotonic()
        block_event_loop(PAUSE_SECONDS)
        self.assertLess(self.detector.awake_seconds_since(began), 0.1)
        await asyncio.sleep(0.3)
        awake = self.detector.awake_seconds_since(began)
        self.assertLess(awake, PAUSE_SECONDS)
        self.assertGreater(awake, 0.2)
        self.assertIn("burdockdrum_paused_seconds_total", self.metrics.text())

    async def test_pauses_are_no_part_of_the_time_before(self):
        # Guards against what was read after a pause taken for new.
        await asyncio.sleep(0.3)
        began = self.detector.monotonic()
        block_event_loop(PAUSE_SECONDS)
        now = self.detector.monotonic()
        self.assertLess(self.detector.before(now, 0.05), began)
        await asyncio.sleep(0.3)
        self.assertLess(self.detector.before(now, 0.05), began)
        later = self.detector.monotonic()
        self.assertGreater(self.detector.before(later, 0.1), now)
        self.assertLess(self.detector.before(later, 0.6), began)

    async def test_pause_counts_only_as_far_as_it_was_after_a_time(self):
        block_event_loop(PAUSE_SECONDS)
        middle = self.detector.monotonic() - PAUSE_SECONDS / 2
        self.assertLess(self.detector.awake_seconds_since(middle), 0.01)


class StoppedDetectorTest(unittest.TestCase):
    """A detector that does not run."""

    def test_all_time_counts(self):
        # Guards against time that stands still at a detector without ticks.
        clock = ManualClock()
        detector = PauseDetector(clock=clock, metrics=Metrics())
        began = detector.monotonic()
        clock.now += 60
        self.assertEqual(60, detector.awake_seconds_since(began))

"""Tests of detecting that a VM was suspended."""

import unittest

from burdockdrum.timeline import SuspensionDetector
from tests.passthrough.fakes import ManualClock


class SuspensionTest(unittest.TestCase):
    """Jumps of the wall clock against the monotonic clock."""

    def setUp(self):
        self.clock = ManualClock()
        self.detector = SuspensionDetector(
            clock=self.clock, max_jump_seconds=0.3
        )

    def test_passing_time_is_no_suspension(self):
        self.clock.now += 1000.0
        self.assertFalse(self.detector.detect())

    def test_jump_is_detected_once(self):
        self.clock.wall_offset += 5.0
        self.assertTrue(self.detector.detect())
        self.assertFalse(self.detector.detect())

    def test_small_and_backward_jumps_are_ignored(self):
        for jump in (0.2, -5.0, 0.2):
            self.clock.wall_offset += jump
            self.assertFalse(self.detector.detect())

    def test_jump_after_one_back_is_detected(self):
        # Guards against a clock that was set back hiding a suspension of
        # the same length.
        self.clock.wall_offset -= 5.0
        self.assertFalse(self.detector.detect())
        self.clock.wall_offset += 5.0
        self.assertTrue(self.detector.detect())

    def test_reset_ignores_earlier_jumps(self):
        self.clock.wall_offset += 5.0
        self.detector.reset()
        self.assertFalse(self.detector.detect())

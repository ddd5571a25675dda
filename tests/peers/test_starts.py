"""Tests that a VM's starts are numbered in their order."""

import random
import unittest

from loguru import logger

from burdockdrum.peers import number_start
from burdockdrum.testing import FakeDisk
from burdockdrum.testing import run_virtual
from tests.passthrough.fakes import ManualClock


class StartNumberTest(unittest.TestCase):
    """A VM that starts again and again."""

    def setUp(self):
        logger.disable("burdockdrum")
        self.addCleanup(logger.enable, "burdockdrum")
        self.clock = ManualClock()
        self.disk = FakeDisk(rng=random.Random(1))

    def start(self, disk=None):
        """Return the number of a start."""
        return run_virtual(number_start(clock=self.clock, disk=disk))

    def test_number_grows_although_the_clock_was_set_back(self):
        # Guards against a restarted VM taken for its former start.
        self.clock.wall_offset = 2400.0
        first = self.start(self.disk)
        self.clock.wall_offset = -3690.0
        self.disk.lose_power()
        second = self.start(self.disk)
        self.assertGreater(second, first)
        self.assertGreater(self.start(self.disk), second)

    def test_number_is_the_time_of_day_where_that_is_greater(self):
        self.assertEqual(100_000, self.start())
        self.assertEqual(100_000, self.start(self.disk))
        self.clock.wall_offset = 60.0
        self.assertEqual(160_000, self.start(self.disk))

    def test_vm_starts_although_the_number_can_t_be_kept(self):
        self.start(self.disk)
        self.disk.corrupt("incarnation", 0)
        self.assertEqual(100_000, self.start(self.disk))
        self.disk.full = True
        self.assertEqual(100_001, self.start(self.disk))

"""Tests that a VM's starts are numbered in their order."""

import asyncio
import random
import unittest

from loguru import logger

from burdockdrum.peers import StartNumber
from burdockdrum.peers.starts import DRAW_SECONDS
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
        self.last_start = run_virtual(
            StartNumber.draw(clock=self.clock, disk=disk)
        )
        return self.last_start.number

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
        self.assertGreater(self.start(self.disk), 100_000)

    def test_starts_that_can_t_store_their_numbers_have_other_ones(self):
        # Guards against two starts with one number: what is remembered of
        # the former one is taken for the later one's, without an end.
        for fault in ("full", "fail_syncs", "fail_changes"):
            with self.subTest(fault=fault):
                self.clock = ManualClock()
                self.disk = FakeDisk(rng=random.Random(1))
                numbers = [self.start(self.disk)]
                self.clock.wall_offset = -90.0
                setattr(self.disk, fault, True)
                for _ in range(3):
                    self.clock.now += 0.1
                    numbers.append(self.start(self.disk))
                self.disk.mend()
                self.disk.lose_power()
                numbers.append(self.start(self.disk))
                self.assertEqual(numbers, sorted(set(numbers)))

    def test_number_is_stored_once_the_disk_accepts_it(self):
        # Guards against a start that is numbered by a clock that was set
        # back, after one whose number was never stored.
        self.clock.wall_offset = 3600.0
        for fault in ("full", "fail_reads"):
            with self.subTest(fault=fault):
                self.clock.wall_offset += 3600.0
                setattr(self.disk, fault, True)
                first = self.start(self.disk)
                self.disk.mend()
                run_virtual(self.last_start.run())
                self.disk.lose_power()
                self.clock.wall_offset -= 3600.0
                self.assertGreater(self.start(self.disk), first)

    def test_disk_that_stalls_does_not_hold_the_start(self):
        # Guards against a process that listens to nothing until its disk
        # replies.
        async def main():
            loop = asyncio.get_running_loop()
            began = loop.time()
            start = await StartNumber.draw(clock=self.clock, disk=self.disk)
            self.assertLessEqual(loop.time() - began, DRAW_SECONDS)
            await start.run()
            return start.number

        first = self.start(self.disk)
        self.clock.wall_offset = -90.0
        self.disk.sync_seconds = 60.0
        second = run_virtual(main())
        self.disk.lose_power()
        self.disk.sync_seconds = 0.0
        self.assertGreater(second, first)
        self.assertGreater(self.start(self.disk), second)

    def test_start_that_can_t_read_the_last_number_says_if_it_is_lower(self):
        # Guards against a VM that others take for a former start, and
        # nothing that says why.
        first = self.start(self.disk)
        self.clock.wall_offset = -90.0
        self.disk.fail_reads = True
        second = self.start(self.disk)
        self.assertLess(second, first)
        self.disk.mend()
        lines = []
        logger.enable("burdockdrum")
        handler = logger.add(lambda line: lines.append(line.record["message"]))
        self.addCleanup(logger.remove, handler)
        run_virtual(self.last_start.run())
        self.assertIn("incarnation.too_low", lines)
        self.assertGreater(self.start(self.disk), first)

"""Tests of the system clock under the daemon's event loop."""

import time
import unittest

import uvloop

from burdockdrum.system_ports import SystemClock


class SystemClockTest(unittest.TestCase):
    """The monotonic time while a task blocks the event loop."""

    def test_time_advances_within_one_iteration_of_the_loop(self):
        # The event loop's own time stands still within one iteration: a
        # blocked leader would take its expired lease for a valid one.
        async def main():
            clock = SystemClock()
            before = clock.monotonic()
            busy_until = time.perf_counter() + 0.02
            while time.perf_counter() < busy_until:
                pass
            self.assertGreater(clock.monotonic(), before)

        uvloop.run(main())

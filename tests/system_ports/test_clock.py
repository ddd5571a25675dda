"""The machine's clock under the daemon's event loop."""

import time
import unittest

import uvloop

from burdockdrum.system_ports import SystemClock


class SystemClockTest(unittest.TestCase):
    """Time goes on while a task keeps the event loop busy."""

    def test_time_moves_within_one_turn_of_the_loop(self):
        # A VM that leads is busy for longer than its lease, in one turn of
        # the loop. The loop's own time stands still meanwhile; a lease judged
        # by it would look valid while another VM may lead already.
        async def main():
            clock = SystemClock()
            before = clock.monotonic()
            until = time.perf_counter() + 0.02
            while time.perf_counter() < until:
                pass
            self.assertGreater(clock.monotonic(), before)

        uvloop.run(main())

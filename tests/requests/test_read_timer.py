"""Tests of the timer that reports silences of attempts."""

import asyncio
import math
import time
import unittest

from burdockdrum.requests.read_timer import MAX_LATENESS_SECONDS
from burdockdrum.requests.read_timer import ReadTimer
from burdockdrum.testing import run_virtual


class ReadTimerTest(unittest.TestCase):
    """Silences and deadlines of waits."""

    def test_silence_is_reported_until_the_wait_ends(self):
        async def main():
            reports = []
            loop = asyncio.get_running_loop()
            timer = ReadTimer(
                report_silence=lambda: reports.append(loop.time())
            )
            start = loop.time()
            timer.begin(math.inf, 2.0)
            await asyncio.sleep(4.5)
            timer.end()
            await asyncio.sleep(5)
            timer.stop()
            self.assertEqual([2.0, 3.0, 4.0], [at - start for at in reports])

        run_virtual(main())

    def test_pause_of_this_process_is_no_silence(self):
        # Guards against judging all endpoints when this process was frozen.
        async def main():
            reports = []
            timer = ReadTimer(report_silence=lambda: reports.append(1))
            timer.begin(math.inf, 0.01)
            pause = MAX_LATENESS_SECONDS + 0.05
            asyncio.get_running_loop().call_soon(time.sleep, pause)
            await asyncio.sleep(0.01)
            timer.stop()
            self.assertEqual([], reports)

        asyncio.run(main())


if __name__ == "__main__":
    unittest.main()

"""Tests of the lines about an operation that fails for a while."""

import unittest
from unittest import mock

from burdockdrum.logs import OutageLog


class OutageLogTest(unittest.TestCase):
    """An operation that is repeated until it succeeds."""

    def test_each_outage_has_two_lines(self):
        # Guards against a line at each attempt while a disk is full.
        now = 0.0
        outage = OutageLog(
            failed="x.failed",
            recovered="x.recovered",
            read_time=lambda: now,
        )
        path = "burdockdrum.logs.states"
        with (
            mock.patch(f"{path}.log_failure") as failed,
            mock.patch(f"{path}.log_decision") as recovered,
        ):
            outage.succeed()
            for began, ended in ((10.0, 12.5), (20.0, 21.0)):
                now = began
                for attempt in range(3):
                    self.assertEqual(attempt == 0, outage.fail("full"))
                self.assertEqual("full", outage.reason)
                now = ended
                outage.succeed()
                outage.succeed()
        self.assertEqual(
            [mock.call("x.failed", reason="full")] * 2, failed.mock_calls
        )
        self.assertEqual(
            [
                mock.call("x.recovered", seconds=seconds, attempts=3)
                for seconds in (2.5, 1.0)
            ],
            recovered.mock_calls,
        )

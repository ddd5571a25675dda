"""Tests of structured logs that never block."""

import json
import os
import sys
import time
import unittest
from unittest import mock

from loguru import logger

from burdockdrum.logs.decisions import _Allowance
from burdockdrum.logs.decisions import log_decision
from burdockdrum.logs.decisions import log_failure
from burdockdrum.logs.setup import set_up_structured_log
from burdockdrum.logs.writer import BoundedWriter
from burdockdrum.logs.writer import MAX_WAITING_BYTES
from burdockdrum.settings.model import LogSettings


class WriterTest(unittest.TestCase):
    """A pipe whose reader stops."""

    def setUp(self):
        self.reader, self.descriptor = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.descriptor)
        self.writer = BoundedWriter(descriptor=self.descriptor)

    def test_full_pipe_blocks_nothing_and_loses_the_newest(self):
        # Whoever collects the logs stops reading: the process goes on, its
        # memory stays bounded, and what was dropped is counted.
        line = b"x" * 999 + b"\n"
        began = time.monotonic()
        for _ in range(2000):
            self.writer.add(line)
            self.writer.flush()
        self.assertLess(time.monotonic() - began, 1.0)
        self.assertGreater(self.writer.dropped, 1000)
        read = b""
        os.set_blocking(self.reader, False)
        while True:
            self.writer.flush()
            try:
                read += os.read(self.reader, 65536)
            except BlockingIOError:
                break
        # What was kept is whole lines, in order, none torn.
        self.assertEqual(0, len(read) % 1000)
        kept = len(read) // 1000
        self.assertEqual(2000, kept + self.writer.dropped)
        self.assertGreaterEqual(len(read), MAX_WAITING_BYTES - 1000)

    def test_closed_reader_ends_nothing(self):
        reader, descriptor = os.pipe()
        os.close(reader)
        writer = BoundedWriter(descriptor=descriptor)
        writer.add(b"line\n")
        writer.flush()
        self.assertEqual(1, writer.dropped)
        os.close(descriptor)


class LinesTest(unittest.TestCase):
    """What a line holds."""

    def setUp(self):
        reader, descriptor = os.pipe()
        self.reader = os.fdopen(reader, "rb")
        self.addCleanup(self.reader.close)
        self.addCleanup(os.close, descriptor)
        stdout = mock.Mock(fileno=lambda: descriptor, flush=lambda: None)
        with mock.patch.object(sys, "stdout", stdout):
            self.log = set_up_structured_log(LogSettings(), "vm-1")
        self.addCleanup(logger.remove)

    def read(self):
        self.log.flush()
        os.set_blocking(self.reader.fileno(), False)
        return [json.loads(line) for line in self.reader.readlines()]

    def test_decision_is_one_short_line(self):
        log_decision("request.attempted", request_id="r1", generation=4)
        (line,) = self.read()
        self.assertEqual("request.attempted", line["event"])
        self.assertEqual(("r1", 4), (line["request_id"], line["generation"]))
        self.assertEqual("vm-1", line["vm"])
        self.assertLess(len(json.dumps(line)), 200)

    def test_error_has_its_reason(self):
        try:
            raise ValueError("why")
        except ValueError as error:
            logger.opt(exception=error).error("process.failed")
        (line,) = self.read()
        self.assertIn("why", line["error"])

    def test_flood_is_bounded_and_failures_come_through(self):
        # 500 successes and 20 failures in one second: the failures are all
        # there, and what was left out of the rest is counted.
        with mock.patch("time.monotonic", return_value=1e6):
            for _ in range(500):
                log_decision("flood.passed")
            for _ in range(20):
                log_failure("flood.failed")
        with mock.patch("time.monotonic", return_value=1e6 + 1):
            log_decision("flood.passed")
        lines = self.read()
        events = [line["event"] for line in lines]
        self.assertEqual(20, events.count("flood.failed"))
        self.assertLess(events.count("flood.passed"), 100)
        left_out = [x for x in lines if x["event"] == "log.left_out"]
        counted = {line["of"]: line["count"] for line in left_out}
        passed = events.count("flood.passed") - 1
        self.assertEqual(500, passed + counted["flood.passed"])


class AllowanceTest(unittest.TestCase):
    """The bound of each event."""

    def test_events_have_bounds_of_their_own(self):
        allowance = _Allowance(limit=2)
        self.assertEqual(
            [True, True, False, True],
            [allowance.take(name) for name in "aaab"],
        )

"""Tests of the non-blocking, rate-limited log."""

import json
import os
import sys
import time
import unittest
from unittest import mock

from loguru import logger

from burdockdrum.logs.decisions import _RateLimiter
from burdockdrum.logs.decisions import log_decision
from burdockdrum.logs.decisions import log_failure
from burdockdrum.logs.decisions import log_record
from burdockdrum.logs.setup import set_up_structured_log
from burdockdrum.logs.writer import BoundedWriter
from burdockdrum.logs.writer import MAX_BUFFERED_BYTES
from burdockdrum.settings.model import LogSettings


class WriterTest(unittest.TestCase):
    """A pipe whose reader is slow or gone."""

    def setUp(self):
        self.reader, self.descriptor = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.descriptor)
        self.writer = BoundedWriter(descriptor=self.descriptor)

    def test_full_pipe_does_not_block_and_drops_the_newest_lines(self):
        # A stalled log collector must neither block the process nor make it
        # use unbounded memory; dropped lines are counted.
        line = b"x" * 999 + b"\n"
        started_at = time.monotonic()
        for _ in range(2000):
            self.writer.add(line)
            self.writer.flush()
        self.assertLess(time.monotonic() - started_at, 1.0)
        self.assertGreater(self.writer.dropped, 1000)
        read = b""
        os.set_blocking(self.reader, False)
        while True:
            self.writer.flush()
            try:
                read += os.read(self.reader, 65536)
            except BlockingIOError:
                break
        # Only complete lines were written.
        self.assertEqual(0, len(read) % 1000)
        kept = len(read) // 1000
        self.assertEqual(2000, kept + self.writer.dropped)
        self.assertGreaterEqual(len(read), MAX_BUFFERED_BYTES - 1000)

    def test_closed_reader_is_no_error(self):
        reader, descriptor = os.pipe()
        os.close(reader)
        writer = BoundedWriter(descriptor=descriptor)
        writer.add(b"line\n")
        writer.flush()
        self.assertEqual(1, writer.dropped)
        os.close(descriptor)


class LinesTest(unittest.TestCase):
    """The content of log lines."""

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

    def test_decision_is_logged_as_one_short_line(self):
        log_decision("request.attempted", request_id="r1", generation=4)
        (line,) = self.read()
        self.assertEqual("request.attempted", line["event"])
        self.assertEqual(("r1", 4), (line["request_id"], line["generation"]))
        self.assertEqual("vm-1", line["vm"])
        self.assertLess(len(json.dumps(line)), 200)

    def test_exception_is_logged_with_its_message(self):
        try:
            raise ValueError("why")
        except ValueError as error:
            logger.opt(exception=error).error("process.failed")
        (line,) = self.read()
        self.assertIn("why", line["error"])

    def test_rate_limit_applies_to_decisions_and_failures_separately(self):
        # 500 decisions and 20 failures in one second: all failures are
        # logged, and the dropped decisions are counted.
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
        drop_reports = [x for x in lines if x["event"] == "log.left_out"]
        counted = {line["of"]: line["count"] for line in drop_reports}
        passed = events.count("flood.passed") - 1
        self.assertEqual(500, passed + counted["flood.passed"])

    def test_records_are_kept_where_decisions_are_sampled(self):
        with mock.patch("time.monotonic", return_value=1e6):
            for number in range(500):
                log_record("run.ended", is_failure=bool(number % 2))
        lines = self.read()
        levels = [line["level"] for line in lines]
        self.assertEqual(250, levels.count("INFO"))
        self.assertEqual(250, levels.count("WARNING"))


class AllowanceTest(unittest.TestCase):
    """The rate limit of each event."""

    def test_each_event_has_its_own_limit(self):
        limiter = _RateLimiter(limit=2)
        self.assertEqual(
            [True, True, False, True],
            [limiter.admit(name) for name in "aaab"],
        )

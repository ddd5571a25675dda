"""Tests of tracing one request through several logs."""

import json
import unittest

from burdockdrum.logs import explain
from burdockdrum.logs import read_lines


def make_line(vm, at, event, stamp, **fields):
    return json.dumps(
        {"at": at, "level": "INFO", "event": event, "vm": vm, "stamp": stamp}
        | fields
    )


class ExplainTest(unittest.TestCase):
    """A request that passed two entries whose clocks disagree."""

    def test_causes_precede_effects_despite_clock_skew(self):
        # Entry b's clock is 2 s slow: ordered by wall time, its attempt would
        # precede the arrival of the request at entry a.
        lines = read_lines(
            [
                make_line(
                    "b", 98.1, "request.attempted", [1_000, 2], request_id="r"
                ),
                make_line(
                    "a", 100.0, "request.attempted", [1_000, 5], request_id="r"
                ),
                make_line("b", 98.0, "endpoint.silent", [1_000, 1]),
                make_line(
                    "b", 98.0, "request.attempted", [1_000, 0], request_id="q"
                ),
                make_line("c", 100.0, "endpoint.silent", [1_000, 3]),
                make_line("b", 80.0, "endpoint.silent", [900, 1]),
            ]
        )
        trace = explain("r", lines)
        self.assertEqual(
            [
                ("b", "endpoint.silent"),
                ("b", "request.attempted"),
                ("a", "request.attempted"),
            ],
            [(found.vm, found.event) for found in trace],
        )

    def test_text_of_log_collectors_is_ignored(self):
        lines = read_lines(
            [
                "  12.3 entry-1 " + make_line("a", 1.0, "e", [1, 0]),
                "Traceback (most recent call last):",
                "{not json",
                "{}",
                "",
            ]
        )
        self.assertEqual(["e"], [found.event for found in lines])

    def test_unknown_request_has_no_lines(self):
        self.assertEqual([], explain("r", []))

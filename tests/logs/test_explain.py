"""Tests of the story of one request, from several logs."""

import json
import unittest

from burdockdrum.logs import explain
from burdockdrum.logs import read_lines


def line(vm, at, event, stamp, **fields):
    return json.dumps(
        {"at": at, "level": "INFO", "event": event, "vm": vm, "stamp": stamp}
        | fields
    )


class ExplainTest(unittest.TestCase):
    """A request that two entries saw, of which one's clock is wrong."""

    def test_causes_come_before_effects_though_clocks_disagree(self):
        # Entry b's clock is 2 s behind: by wall time its answer would come
        # before the request reached entry a.
        lines = read_lines(
            [
                line(
                    "b", 98.1, "request.attempted", [1_000, 2], request_id="r"
                ),
                line(
                    "a", 100.0, "request.attempted", [1_000, 5], request_id="r"
                ),
                line("b", 98.0, "endpoint.silent", [1_000, 1]),
                line(
                    "b", 98.0, "request.attempted", [1_000, 0], request_id="q"
                ),
                line("c", 100.0, "endpoint.silent", [1_000, 3]),
                line("b", 80.0, "endpoint.silent", [900, 1]),
            ]
        )
        story = explain("r", lines)
        self.assertEqual(
            [
                ("b", "endpoint.silent"),
                ("b", "request.attempted"),
                ("a", "request.attempted"),
            ],
            [(found.vm, found.event) for found in story],
        )

    def test_what_collectors_add_is_passed_over(self):
        lines = read_lines(
            [
                "  12.3 entry-1 " + line("a", 1.0, "e", [1, 0]),
                "Traceback (most recent call last):",
                "{not json",
                "{}",
                "",
            ]
        )
        self.assertEqual(["e"], [found.event for found in lines])

    def test_unknown_request_has_no_story(self):
        self.assertEqual([], explain("r", []))

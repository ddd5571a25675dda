"""Tests of processes whose standard output fails."""

import json
import os
import pathlib
import resource
import subprocess
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).parents[2]
LINES = 600
# Logs lines of about 1 kB for each line that it reads, and replies with the
# number of lost lines.
CHILD = """
import sys
from burdockdrum.logs import log_decision
from burdockdrum.logs import set_up_structured_log
from burdockdrum.settings.model import LogSettings

log = set_up_structured_log(LogSettings(), "vm")
for line in sys.stdin:
    for number in range(int(line)):
        log_decision(f"event.{number}", text="x" * 1000)
    log.flush()
    log.flush()
    print(log.dropped, file=sys.stderr, flush=True)
"""


class LostOutputTest(unittest.TestCase):
    """A child process that goes on logging."""

    def start(self, output):
        self.child = subprocess.Popen(
            [sys.executable, "-c", CHILD],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=output,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(self.child.wait)
        self.addCleanup(self.child.kill)
        self.addCleanup(self.child.stdin.close)
        self.addCleanup(self.child.stderr.close)

    def log(self, count):
        """Let the child log lines; return how many it has lost so far."""
        self.child.stdin.write(f"{count}\n")
        self.child.stdin.flush()
        return int(self.child.stderr.readline())

    def test_full_disk_loses_only_lines_for_which_there_is_no_memory(self):
        # Guards against a process that ends, lines that are torn or lost
        # without being counted, and a buffer that is emptied into nothing.
        with tempfile.NamedTemporaryFile() as output:
            self.start(output)
            self.assertEqual(0, self.log(1))
            pid, limit = self.child.pid, resource.RLIMIT_FSIZE
            _, hard = resource.prlimit(pid, limit)
            resource.prlimit(pid, limit, (10_500, hard))
            lost = self.log(LINES)
            self.assertTrue(0 < lost < LINES - 200, lost)
            self.assertEqual(lost, self.log(0))
            resource.prlimit(pid, limit, (hard, hard))
            self.assertEqual(lost, self.log(1))
            text = pathlib.Path(output.name).read_text()
        lines = [json.loads(line) for line in text.splitlines()]
        reports = [x for x in lines if x["event"] == "log.lines_dropped"]
        self.assertEqual([lost], [report["count"] for report in reports])
        self.assertEqual(LINES + 2, len(lines) - 1 + lost)

    def test_lines_without_a_reader_are_lost_and_counted(self):
        # Guards against a process that ends with its log collector.
        reader, writer = os.pipe()
        self.start(writer)
        os.close(writer)
        self.assertEqual(0, self.log(1))
        os.close(reader)
        self.assertEqual(LINES, self.log(LINES))
        self.assertEqual(LINES + 1, self.log(1))

"""Tests that the commands of the operations page find a cause by id."""

import pathlib
import re
import subprocess
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).parents[2]
PAGE = ROOT / "docs" / "OPERATIONS.md"
CAUSES = {
    "refused-under-load": ("overloaded", "not run", "queue of"),
    "lost-with-its-endpoint": ("Lost", "may have run", "status=502"),
    "route-gone-after-change": ("not_found", "configuration.in_force"),
}


class OperationsTest(unittest.TestCase):
    """Three kinds of failed requests on real processes."""

    def run_command(self, *words):
        done = subprocess.run(
            [sys.executable, *words],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=120,
        )
        self.assertEqual(0, done.returncode, done.stderr)
        return done.stdout

    def test_commands_of_the_page_show_the_causes(self):
        commands = re.findall(
            r"^burdockdrum explain (\S+) FOLDER/\*\.log$",
            PAGE.read_text(),
            re.MULTILINE,
        )
        self.assertEqual(sorted(CAUSES), sorted(commands))
        with tempfile.TemporaryDirectory() as folder:
            self.run_command("-m", "scripts.failed_requests", folder)
            logs = [str(path) for path in pathlib.Path(folder).glob("*.log")]
            for request_id in commands:
                explanation = self.run_command(
                    "-m", "burdockdrum.cli", "explain", request_id, *logs
                )
                for words in CAUSES[request_id]:
                    self.assertIn(words, explanation)

    def test_unknown_id_is_reported(self):
        done = subprocess.run(
            [
                sys.executable,
                "-m",
                "burdockdrum.cli",
                "explain",
                "x",
                "README.md",
            ],
            cwd=ROOT,
            capture_output=True,
            text=True,
        )
        self.assertEqual(4, done.returncode)
        self.assertIn("no line names", done.stderr)

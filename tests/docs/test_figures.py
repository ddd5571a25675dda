"""Tests that no page contains a placeholder for a figure."""

import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Placeholders for figures of a later run.
_PLACEHOLDER = re.compile(r"@@[A-Z0-9]*@@|\b(?:TBD|FIXME)\b")


class FiguresTest(unittest.TestCase):
    """README.md and all pages under docs/."""

    def test_pages_contain_no_placeholder(self):
        pages = [ROOT / "README.md", *(ROOT / "docs").rglob("*.md")]
        found = [
            f"{page.relative_to(ROOT)}: {mark}"
            for page in pages
            for mark in _PLACEHOLDER.findall(page.read_text())
        ]
        self.assertEqual([], found)

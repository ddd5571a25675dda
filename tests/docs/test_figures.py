"""No page is left with a figure that is still to come."""

import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
# What a writer leaves where a figure will stand after the next run.
_OPEN = re.compile(r"@@[A-Z0-9]*@@|\b(?:TBD|FIXME)\b")


class FiguresTest(unittest.TestCase):
    """README.md and all under docs/."""

    def test_no_figure_is_left_open(self):
        pages = [ROOT / "README.md", *(ROOT / "docs").rglob("*.md")]
        found = [
            f"{page.relative_to(ROOT)}: {mark}"
            for page in pages
            for mark in _OPEN.findall(page.read_text())
        ]
        self.assertEqual([], found)

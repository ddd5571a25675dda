"""Tests that the reference pages describe all events and metrics."""

import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).parents[2]
REFERENCE = ROOT / "docs" / "reference"
EVENT_NAME = re.compile(r'\.record\(\s*"([a-z_]+\.[a-z_]+)"')
METRIC_NAME = re.compile(r'"(burdockdrum_[a-z_]+)"')


def find_in_code(pattern: re.Pattern[str]) -> set[str]:
    """Return all matches of a pattern in the package."""
    found: set[str] = set()
    for path in (ROOT / "burdockdrum").rglob("*.py"):
        found.update(pattern.findall(path.read_text()))
    return found


class ReferenceTest(unittest.TestCase):
    """Every event and metric is described, and links are valid."""

    def test_every_event_is_described(self):
        page = (REFERENCE / "events.md").read_text()
        names = find_in_code(EVENT_NAME)
        self.assertGreater(len(names), 20)
        missing = [name for name in names if f"`{name}`" not in page]
        self.assertEqual([], missing)

    def test_every_metric_is_described(self):
        page = (REFERENCE / "metrics.md").read_text()
        names = find_in_code(METRIC_NAME)
        self.assertGreater(len(names), 3)
        missing = [name for name in names if f"`{name}`" not in page]
        self.assertEqual([], missing)

    def test_links_between_pages_are_valid(self):
        pages = [ROOT / "README.md", *(ROOT / "docs").rglob("*.md")]
        self.assertGreater(len(pages), 8)
        broken_links = []
        for page in pages:
            for target in re.findall(r"\]\(([^)#]+)", page.read_text()):
                if not (page.parent / target).exists():
                    broken_links.append(f"{page.relative_to(ROOT)}: {target}")
        self.assertEqual([], broken_links)

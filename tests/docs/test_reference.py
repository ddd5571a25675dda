"""The reference pages name what the code records and measures."""

import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).parents[2]
REFERENCE = ROOT / "docs" / "reference"
RECORDED = re.compile(r'\.record\(\s*"([a-z_]+\.[a-z_]+)"')
MEASURED = re.compile(r'"(burdockdrum_[a-z_]+)"')


def find_in_code(pattern: re.Pattern[str]) -> set[str]:
    """Return what a pattern finds in the package."""
    found: set[str] = set()
    for path in (ROOT / "burdockdrum").rglob("*.py"):
        found.update(pattern.findall(path.read_text()))
    return found


class ReferenceTest(unittest.TestCase):
    """What an operator may see is described."""

    def test_every_event_is_described(self):
        page = (REFERENCE / "events.md").read_text()
        names = find_in_code(RECORDED)
        self.assertGreater(len(names), 20)
        missing = [name for name in names if f"`{name}`" not in page]
        self.assertEqual([], missing)

    def test_every_metric_is_described(self):
        page = (REFERENCE / "metrics.md").read_text()
        names = find_in_code(MEASURED)
        self.assertGreater(len(names), 3)
        missing = [name for name in names if f"`{name}`" not in page]
        self.assertEqual([], missing)

    def test_links_between_pages_lead_somewhere(self):
        pages = [ROOT / "README.md", *(ROOT / "docs").rglob("*.md")]
        self.assertGreater(len(pages), 8)
        dead = []
        for page in pages:
            for target in re.findall(r"\]\(([^)#]+)", page.read_text()):
                if not (page.parent / target).exists():
                    dead.append(f"{page.relative_to(ROOT)}: {target}")
        self.assertEqual([], dead)

"""Tests that the capacity page matches the measured slopes."""

import tomllib
import unittest

from scripts.capacity import compute_costs
from scripts.capacity import PAGE
from scripts.capacity import render
from scripts.capacity import SLOPES


class CapacityTest(unittest.TestCase):
    """docs/CAPACITY.md and docs/capacity-slopes.toml."""

    def setUp(self):
        self.slopes = tomllib.loads(SLOPES.read_text())

    def test_page_is_rendered_from_the_slopes(self):
        page = PAGE.read_text()
        self.assertEqual(render(page, self.slopes), page)

    def test_changed_slope_changes_the_page(self):
        page = PAGE.read_text()
        self.slopes["data_centre"]["megabytes"] += 50
        self.assertNotEqual(render(page, self.slopes), page)

    def test_traffic_grows_with_endpoints(self):
        mean, busy = compute_costs(self.slopes)[:2]
        self.assertGreater(busy.bytes_per_second, mean.bytes_per_second)

    def test_each_slope_names_its_command(self):
        for name, section in self.slopes.items():
            if name not in ("size", "budget"):
                self.assertTrue(section["command"].startswith("python -m"))

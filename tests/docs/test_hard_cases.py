"""Tests that the page of hard cases names existing tests."""

import pathlib
import re
import unittest

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "topics" / "hard-cases.md"
CASE_COUNT = 23
TEST_NAME = re.compile(r"`([a-z_]+(?:\.\w+)+)`")


class HardCaseTest(unittest.TestCase):
    """Each hard case is covered by a test of the suite."""

    def test_every_case_names_tests_that_exist(self):
        rows = re.findall(r"^\| (\d+)\. (.*)$", PAGE.read_text(), re.M)
        self.assertEqual(
            list(range(1, CASE_COUNT + 1)), [int(n) for n, _ in rows]
        )
        for number, row in rows:
            names = TEST_NAME.findall(row)
            self.assertTrue(names, f"case {number} names no test")
            for name in names:
                suite = unittest.TestLoader().loadTestsFromName(
                    f"tests.{name}"
                )
                self.assertGreater(suite.countTestCases(), 0, name)
                self.assertNotIn("_FailedTest", str(suite), name)

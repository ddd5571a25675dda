"""Run the unit tests and judge them against KNOWN-RED.txt.

Usage: python -m scripts.run_tests [PATTERN ...]

Every test under tests/ runs. A failing test that KNOWN-RED.txt names is
printed and passed over; any other failure fails the run, and so does a
named test that passes, because then its line is out of date.
"""

import pathlib
import sys
import time
import unittest

from loguru import logger

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def read_known_red() -> dict[str, str]:
    """Read the tests that fail for a known fault.

    :returns: the whole line of each, by the test's dotted name
    """
    lines_by_test: dict[str, str] = {}
    for line in KNOWN_RED.read_text().splitlines():
        if line.strip() and not line.startswith("#"):
            lines_by_test[line.split("|")[0].strip()] = line
    return lines_by_test


def find_tests(patterns: list[str]) -> unittest.TestSuite:
    """Collect the tests whose dotted name has one of the patterns.

    :param patterns: parts of dotted names; none means every test
    """
    found = unittest.TestLoader().discover(
        str(ROOT / "tests"), top_level_dir=str(ROOT)
    )
    chosen = unittest.TestSuite()
    for test in flatten(found):
        if not patterns or any(part in test.id() for part in patterns):
            chosen.addTest(test)
    return chosen


def flatten(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    """List the test cases of a suite in order."""
    cases: list[unittest.TestCase] = []
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            cases.extend(flatten(item))
        else:
            cases.append(item)
    return cases


class TimedResult(unittest.TextTestResult):
    """A test result that remembers how long each test took."""

    def __init__(self, *arguments: object, **options: object) -> None:
        super().__init__(*arguments, **options)  # type: ignore[arg-type]
        self.seconds_by_test: dict[str, float] = {}
        self._started = 0.0

    def startTest(self, test: unittest.TestCase) -> None:
        """Note when a test starts."""
        self._started = time.perf_counter()
        super().startTest(test)

    def stopTest(self, test: unittest.TestCase) -> None:
        """Note how long a test took."""
        self.seconds_by_test[test.id()] = time.perf_counter() - self._started
        super().stopTest(test)


def main() -> int:
    """Run the chosen tests.

    :returns: 0 when every test not known to fail has passed
    """
    logger.remove()
    known_red = read_known_red()
    runner = unittest.TextTestRunner(
        resultclass=TimedResult, verbosity=1, stream=sys.stdout
    )
    result = runner.run(find_tests(sys.argv[1:]))
    assert isinstance(result, TimedResult)
    failed = {test.id().split(" ")[0] for test, _ in result.failures}
    failed |= {test.id().split(" ")[0] for test, _ in result.errors}
    for name in sorted(failed & set(known_red)):
        print(f"known red: {known_red[name]}")
    ran = set(result.seconds_by_test)
    stale = (ran & set(known_red)) - failed
    for name in sorted(stale):
        print(f"passes, but KNOWN-RED.txt names it: {name}")
    slowest = sorted(result.seconds_by_test.items(), key=lambda kv: -kv[1])
    for name, seconds in slowest[:5]:
        print(f"slow: {seconds:6.2f} s {name}")
    unexpected = failed - set(known_red)
    passed = result.testsRun - len(failed)
    print(f"{passed} passed, {len(unexpected)} failed")
    return 1 if unexpected or stale or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())

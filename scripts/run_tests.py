"""Run the unit tests and judge them against KNOWN-RED.txt.

Usage: python -m scripts.run_tests [PATTERN ...]

Every test under tests/ whose dotted name has one of the patterns runs, each
module in a process of its own, a few at a time; those that measure memory run
at the end, one at a time. A failing test that
KNOWN-RED.txt names is printed and passed over; any other failure fails the
run, and so does a named test that passes, because then its line is out of
date.
"""

import concurrent.futures
from dataclasses import dataclass
import io
import itertools
import multiprocessing
import os
import pathlib
import sys
import time
import unittest

from loguru import logger

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_FAILURES_FILE = ROOT / "KNOWN-RED.txt"
MAX_PROCESSES = 6
SLOWEST_COUNT = 5
# Modules under it run apart from all others.
ALONE_PREFIX = "tests.hostile."


@dataclass(frozen=True, kw_only=True)
class ModuleResult:
    """The results of the tests of one module."""

    output: str
    failed: frozenset[str]
    seconds_by_test: dict[str, float]


def read_known_failures() -> dict[str, str]:
    """Read the list of tests with known failures.

    :returns: the line of each test, by its dotted name
    """
    lines_by_test: dict[str, str] = {}
    for line in KNOWN_FAILURES_FILE.read_text().splitlines():
        if line.strip() and not line.startswith("#"):
            lines_by_test[line.split("|")[0].strip()] = line
    return lines_by_test


def find_tests(patterns: list[str]) -> dict[str, list[str]]:
    """Return the names of the tests that match a pattern, by module.

    :param patterns: substrings of dotted names; empty for all tests
    """
    loader = unittest.TestLoader()
    found = loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    for error in loader.errors:
        print(error)
    names_by_module: dict[str, list[str]] = {}
    for test in flatten(found):
        if not patterns or any(part in test.id() for part in patterns):
            # The loader represents an import error as a failing test.
            module = type(test).__module__
            names_by_module.setdefault(module, []).append(test.id())
    return names_by_module


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
    """A test result that records the duration of each test."""

    def __init__(self, *arguments: object, **options: object) -> None:
        super().__init__(*arguments, **options)  # type: ignore[arg-type]
        self.seconds_by_test: dict[str, float] = {}
        self._started = 0.0

    def startTest(self, test: unittest.TestCase) -> None:
        """Record the start time of a test."""
        self._started = time.perf_counter()
        super().startTest(test)

    def stopTest(self, test: unittest.TestCase) -> None:
        """Record the duration of a test."""
        self.seconds_by_test[test.id()] = time.perf_counter() - self._started
        super().stopTest(test)


def run_module(names: list[str]) -> ModuleResult:
    """Run the named tests of one module in this process."""
    logger.remove()
    suite = unittest.TestLoader().loadTestsFromNames(names)
    stream = io.StringIO()
    runner = unittest.TextTestRunner(
        resultclass=TimedResult, stream=stream, verbosity=0
    )
    result = runner.run(suite)
    assert isinstance(result, TimedResult)
    unsuccessful = [*result.failures, *result.errors]
    failed = {test.id().split(" ")[0] for test, _ in unsuccessful}
    failed |= {test.id() for test in result.unexpectedSuccesses}
    return ModuleResult(
        output=stream.getvalue() if failed else "",
        failed=frozenset(failed),
        seconds_by_test=result.seconds_by_test,
    )


def run_modules(names_by_module: dict[str, list[str]]) -> list[ModuleResult]:
    """Run the modules, in parallel where they may; return the results."""
    alone = [m for m in names_by_module if m.startswith(ALONE_PREFIX)]
    shared = [m for m in names_by_module if m not in alone]
    processes = min(MAX_PROCESSES, os.cpu_count() or 1)
    return [
        *_run_pool([names_by_module[m] for m in shared], processes),
        *_run_pool([names_by_module[m] for m in alone], 1),
    ]


def _run_pool(
    names_of_modules: list[list[str]], processes: int
) -> list[ModuleResult]:
    with concurrent.futures.ProcessPoolExecutor(
        processes,
        mp_context=multiprocessing.get_context("spawn"),
        max_tasks_per_child=1,
    ) as pool:
        return list(pool.map(run_module, names_of_modules))


def main() -> int:
    """Run the selected tests.

    :returns: 0 if all tests without a known failure passed
    """
    known_failures = read_known_failures()
    results = run_modules(find_tests(sys.argv[1:]))
    for result in results:
        print(result.output, end="")
    failed = set(itertools.chain(*(r.failed for r in results)))
    seconds_by_test: dict[str, float] = {}
    for result in results:
        seconds_by_test |= result.seconds_by_test
    for name in sorted(failed & set(known_failures)):
        print(f"known red: {known_failures[name]}")
    stale = (set(seconds_by_test) & set(known_failures)) - failed
    for name in sorted(stale):
        print(f"passes, but KNOWN-RED.txt names it: {name}")
    slowest = sorted(seconds_by_test.items(), key=lambda item: -item[1])
    for name, seconds in slowest[:SLOWEST_COUNT]:
        print(f"slow: {seconds:6.2f} s {name}")
    unexpected = failed - set(known_failures)
    passed = len(seconds_by_test) - len(failed)
    print(f"{passed} passed, {len(unexpected)} failed")
    return 1 if unexpected or stale or not seconds_by_test else 0


if __name__ == "__main__":
    sys.exit(main())

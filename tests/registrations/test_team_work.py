"""Tests of the work of teams that entries tell each other."""

import asyncio
import unittest

from hypothesis import given
from hypothesis import strategies
import msgspec

from burdockdrum.registrations.messages import LoadReport
from burdockdrum.registrations.team_work import decode_work
from burdockdrum.registrations.team_work import sum_work
from burdockdrum.registrations.team_work import TeamWork
from burdockdrum.registrations.team_work import TeamWorkSums
from burdockdrum.registrations.team_work import Work
from burdockdrum.registrations.team_work import WorkKey
from tests.drawing import draw as drawn
from tests.registrations.test_load_sharing import play

AMOUNTS = strategies.integers(-10, 10**7)
REPORTS = strategies.lists(
    strategies.builds(
        TeamWork,
        strategies.just("s"),
        strategies.integers(0, 1),
        strategies.sampled_from("ab"),
        AMOUNTS,
        AMOUNTS,
    ),
    max_size=4,
)
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from("xyz"), strategies.none() | REPORTS
    ),
    max_size=15,
)
KEY = WorkKey("s", 0, "a")


class TeamWorkSumsTest(unittest.TestCase):
    """Reports that are replaced and removed in any order."""

    @drawn(200)
    @given(STEPS)
    def test_sum_is_exactly_that_of_the_parts(self, steps):
        sums, parts = TeamWorkSums(), {}
        for source, report in steps:
            if report is None:
                sums.drop(source)
                parts.pop(source, None)
            else:
                sums.put(source, report, 0.0)
                parts[source] = decode_work(report)
            self.assertEqual(sum_work(*parts.values()), sums.sums)
            for work in sums.sums.values():
                self.assertGreaterEqual(min(work.requested, work.served), 0)


class SharingTest(unittest.TestCase):
    """Entries that each serve one team, with and without aggregators."""

    def check(self, sizes):
        async def check(world):
            for entry in world.entries:
                entry.sharing.read_team_work = lambda: {
                    KEY: Work(requested=20, served=10)
                }
            await asyncio.sleep(1.5)
            others = len(world.entries) - 1
            expected = {KEY: Work(requested=20 * others, served=10 * others)}
            for entry in world.entries:
                self.assertEqual(expected, entry.sharing.read_others_work())
            # A gone entry's work must not count forever.
            await world.entries[-1].stop()
            await asyncio.sleep(3)
            self.assertEqual(
                20 * (others - 1),
                world.entries[0].sharing.read_others_work()[KEY].requested,
            )

        play(sizes, check)

    def test_few_entries_know_the_work_of_all_others(self):
        self.check([3])

    def test_aggregators_tell_the_work_of_other_data_centres(self):
        self.check([5, 4])


class CompatibilityTest(unittest.TestCase):
    """Entries of two versions during a rollout."""

    def test_report_without_work_is_understood(self):
        report = msgspec.to_builtins(LoadReport(load_by_id={}))[:-1]
        decoded = msgspec.convert(report, LoadReport)
        self.assertEqual([], decoded.team_work)


if __name__ == "__main__":
    unittest.main()

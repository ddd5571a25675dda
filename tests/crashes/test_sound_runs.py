"""Tests of complete runs that outweigh crashes."""

import unittest

from burdockdrum.crashes import MAX_SOUND_RUNS
from burdockdrum.crashes import SoundRuns


class SoundRunsTest(unittest.TestCase):
    """Runs of requests, and crashes under them."""

    def setUp(self):
        self.runs = SoundRuns()

    def test_request_that_never_ran_is_a_suspect(self):
        self.assertFalse(self.runs.outweighs("f", 10.0))

    def test_run_outweighs_crashes_at_the_same_moment(self):
        # Guards against counting one event once for each endpoint.
        self.runs.record("f", 9.0)
        for crashed_at in (10.02, 10.0, 10.05, 9.9):
            self.assertTrue(self.runs.outweighs("f", crashed_at))

    def test_each_later_crash_needs_a_run_of_its_own(self):
        # Guards against a request that has become deadly and is served
        # nowhere any more.
        self.runs.record("f", 9.0)
        self.assertTrue(self.runs.outweighs("f", 10.0))
        self.assertFalse(self.runs.outweighs("f", 12.0))
        self.runs.record("f", 13.0)
        self.assertTrue(self.runs.outweighs("f", 14.0))

    def test_old_run_outweighs_nothing(self):
        self.runs.record("f", 9.0)
        self.assertFalse(self.runs.outweighs("f", 700.0))

    def test_least_recent_runs_make_room(self):
        for number in range(MAX_SOUND_RUNS + 1):
            self.runs.record(f"f{number}", 9.0)
        self.assertFalse(self.runs.outweighs("f0", 10.0))
        self.assertTrue(self.runs.outweighs("f1", 10.0))


if __name__ == "__main__":
    unittest.main()

"""Tests of endpoints that are reachable but do not serve requests well."""

import unittest

from scripts.experiment.driver import Ending
from scripts.experiment.policies import product
from scripts.experiment.scenarios import Event
from tests.routing.support import make_user
from tests.routing.support import Trial

FAULTY = "dunantul-planner-0"
HEALTHY = "dunantul-planner-1"


def run_with_fault(kind: str, back: str = "none") -> Trial:
    """Run with a fault in one of three engines from 40 s to 90 s."""
    return Trial(
        user=make_user(runners=3, rate=3.0, report_lag=1.0),
        policy=product(),
        seconds=150.0,
        events=(Event(at=40.0, kind=kind), Event(at=90.0, kind=back)),
    ).run()


class HalfDeadTest(unittest.TestCase):
    """A faulty endpoint gets few requests, and its share after recovery."""

    def check(self, trial: Trial, *, min_attempts: int, max_lost: int) -> None:
        faulty = trial.count_begun(FAULTY, 50, 90)
        healthy = trial.count_begun(HEALTHY, 50, 90)
        self.assertLess(faulty, healthy / 3, (faulty, healthy))
        self.assertGreaterEqual(faulty, min_attempts)
        after = trial.count_begun(FAULTY, 110, 150)
        self.assertGreater(after, trial.count_begun(HEALTHY, 110, 150) / 3)
        incomplete = [
            outcome
            for outcome in trial.outcomes
            if outcome.ending is not Ending.WHOLE
        ]
        self.assertLessEqual(len(incomplete), max_lost)

    def test_endpoint_that_fails_fast_does_not_look_idle(self):
        """An endpoint that fails at once has the least load.

        It would attract all requests if its failures were not counted.
        """
        self.check(run_with_fault("errors"), min_attempts=2, max_lost=0)

    def test_slow_endpoint_gets_few_requests(self):
        """A slow endpoint gets one trial request at a time.

        Each trial request may take up to its deadline.
        """
        self.check(run_with_fault("slow"), min_attempts=1, max_lost=2)

    def test_unresponsive_endpoint_that_reports_no_load_gets_no_requests(self):
        """The endpoint accepts requests, never answers and looks idle.

        Only requests sent before the first token was overdue may be lost.
        """
        self.check(run_with_fault("silent"), min_attempts=0, max_lost=8)

    def test_hanging_endpoint_gets_no_requests(self):
        self.check(run_with_fault("hang"), min_attempts=0, max_lost=8)

    def test_restarted_endpoint_with_an_empty_cache_gets_a_slow_start(self):
        """A new incarnation is idle, but its cache is empty.

        It must not get a burst of requests because of its low load.
        """
        trial = run_with_fault("lose", back="return")
        self.check(trial, min_attempts=0, max_lost=0)
        attempts = trial.count_begun(FAULTY, 90, 100)
        self.assertLess(attempts, trial.count_begun(HEALTHY, 90, 100) * 2 + 4)

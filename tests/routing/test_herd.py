"""Late reports that all entry VMs see alike."""

import statistics
import unittest

from scripts.experiment.policies import LeastLoadRouter
from scripts.experiment.policies import Policy
from scripts.experiment.policies import product
from tests.routing.support import make_user
from tests.routing.support import Trial


def measure_spread(policy: Policy) -> float:
    """Return the mean gap between the busiest and the idlest engine."""
    trial = Trial(
        user=make_user(runners=8, rate=16.0, report_lag=2.0),
        policy=policy,
        seconds=30.0,
        entries=6,
    ).run()
    settled = trial.loads[40:]
    return statistics.fmean(max(loads) - min(loads) for loads in settled)


class HerdTest(unittest.TestCase):
    """Six entry VMs, eight engines, reports two seconds late."""

    def test_entries_do_not_all_choose_the_engine_that_looks_idle(self):
        """A report shows one engine idle; it stays so for two seconds.

        Six VMs that trust it send all that comes meanwhile there: the
        engine is flooded while the others run empty, and then the next.
        """
        herd = measure_spread(Policy(name="", router=LeastLoadRouter))
        spread = measure_spread(product())
        self.assertGreater(herd, 10)
        self.assertLess(spread, herd / 2)
        self.assertLess(spread, 8)

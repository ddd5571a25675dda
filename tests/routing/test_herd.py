"""Tests of routing by delayed reports that all entry VMs share."""

import statistics
import unittest

from scripts.experiment.policies import LeastLoadRouter
from scripts.experiment.policies import Policy
from scripts.experiment.policies import product
from tests.routing.support import make_user
from tests.routing.support import Trial


def measure_spread(policy: Policy) -> float:
    """Return the mean difference between the highest and lowest load."""
    trial = Trial(
        user=make_user(runners=8, rate=16.0, report_lag=2.0),
        policy=policy,
        seconds=30.0,
        entries=6,
    ).run()
    settled = trial.loads[40:]
    return statistics.fmean(max(loads) - min(loads) for loads in settled)


class HerdTest(unittest.TestCase):
    """Six entry VMs, eight engines, and a report delay of two seconds."""

    def test_entry_vms_do_not_all_select_the_same_engine(self):
        """An outdated report must not send all requests to one engine.

        This is the herd effect of selecting the least reported load.
        """
        herd = measure_spread(Policy(name="", router=LeastLoadRouter))
        spread = measure_spread(product())
        self.assertGreater(herd, 10)
        self.assertLess(spread, herd / 2)
        self.assertLess(spread, 8)

"""Tests of the policy under loads that exceed a region's engines.

Each is deterministic for its seed; the bounds are what callers need.
"""

from dataclasses import replace
import unittest

from burdockdrum.settings import MechanismSettings
from scripts.experiment.passed.loads import DAYS
from scripts.experiment.passed.shapes import MIXES
from scripts.experiment.passed.shapes import SHAPES
from scripts.experiment.passed.simulation import simulate_day
from scripts.experiment.passed.variants import PolicyVariant


def late_fraction(outcomes, kind):
    """Return the fraction of a kind whose first event came too late."""
    chosen = [o for o in outcomes if o.arrival.kind.name == kind]
    late = [
        o
        for o in chosen
        if o.first_at is not None
        and o.first_at > o.arrival.kind.objective_seconds
    ]
    return len(late) / len(chosen)


class FullMemoryTest(unittest.TestCase):
    """Urgent long prompts whose peaks fill the memory of a small region.

    The engines have free slots, but no memory for further prompts.
    """

    def outcomes(self, mechanisms, level):
        _, outcomes = simulate_day(
            day=replace(DAYS["steep peaks"], level=level, seconds=22.0),
            mix=MIXES["short and urgent"],
            shape=SHAPES["fast"],
            variant=PolicyVariant(name="test", mechanisms=mechanisms),
            seed=0,
        )
        return outcomes

    def test_urgent_prompts_start_in_time(self):
        # Guards against queues for memory that the estimated wait leaves out.
        outcomes = self.outcomes(MechanismSettings(), 2.2)
        self.assertLessEqual(late_fraction(outcomes, "review"), 0.05)

    def test_urgent_prompts_are_late_if_memory_is_not_considered(self):
        # Without the pace of outputs, which spreads such prompts as well.
        mechanisms = MechanismSettings(memory_room=False, output_pace=False)
        outcomes = self.outcomes(mechanisms, 3.0)
        self.assertGreater(late_fraction(outcomes, "review"), 0.05)
        mechanisms = MechanismSettings(output_pace=False)
        outcomes = self.outcomes(mechanisms, 3.0)
        self.assertLessEqual(late_fraction(outcomes, "review"), 0.05)

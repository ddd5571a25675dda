"""Tests of the fraction of a limit reserved for unreachable sources."""

import unittest

from burdockdrum.quotas.reservations import EXPIRY_SECONDS
from burdockdrum.quotas.reservations import NEVER_HEARD_EXPIRY_SECONDS
from burdockdrum.quotas.reservations import ReservedFractions
from burdockdrum.quotas.reservations import STARTUP_GRACE_SECONDS
from burdockdrum.quotas.reservations import UNREACHABLE_TIMEOUT_SECONDS

EPSILON_SECONDS = 0.01


class SilenceTest(unittest.TestCase):
    """Sources that become unreachable."""

    def test_fractions_of_all_sides_add_up_to_the_limit(self):
        """The sides of a partition together admit more than the limit."""
        fractions = {"a": 0.7, "b": 0.2, "c": 0.1}
        available_by_side = {}
        for own in fractions:
            reservations = ReservedFractions(names=[], now=0.0)
            for name in fractions.keys() - {own}:
                reservations.record(
                    name, {"t": fractions[name]}, 0.0, equal_fraction=1 / 3
                )
            unreachable_at = UNREACHABLE_TIMEOUT_SECONDS + EPSILON_SECONDS
            available_by_side[own] = 1 - reservations.fraction(
                "t", unreachable_at
            )
        self.assertAlmostEqual(1.0, sum(available_by_side.values()))
        # Demand may have moved to a side that used little.
        self.assertGreater(available_by_side["c"], 0.2)

    def test_nothing_is_reserved_for_reachable_sources(self):
        reservations = ReservedFractions(names=["a"], now=0.0)
        reservations.record("a", {"t": 1.0}, 1.0, equal_fraction=0.5)
        self.assertEqual(
            0.0, reservations.fraction("t", 1.0 + UNREACHABLE_TIMEOUT_SECONDS)
        )
        self.assertEqual(
            0.75, reservations.fraction("t", 1.1 + UNREACHABLE_TIMEOUT_SECONDS)
        )
        expired = 1.0 + EXPIRY_SECONDS
        self.assertEqual(0.0, reservations.fraction("t", expired))

    def test_nothing_is_reserved_right_after_a_start(self):
        """After a restart of all VMs, demand within the limit is refused."""
        reservations = ReservedFractions(names=["a", "b"], now=0.0)
        self.assertEqual(
            0.0, reservations.fraction("t", STARTUP_GRACE_SECONDS)
        )
        self.assertAlmostEqual(
            2 / 3,
            reservations.fraction(
                "t", STARTUP_GRACE_SECONDS + EPSILON_SECONDS
            ),
        )
        self.assertEqual(
            0.0, reservations.fraction("t", NEVER_HEARD_EXPIRY_SECONDS)
        )

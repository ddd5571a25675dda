"""Tests of the memory budget over all connections."""

import unittest

from burdockdrum.overload import MemoryBudget
from burdockdrum.overload import Reservation

KIB = 1024


class MemoryBudgetTest(unittest.TestCase):
    """A budget of 1 MiB, of which large requests may use three quarters."""

    def setUp(self):
        self.budget = MemoryBudget(limit=1024 * KIB)
        self.shed = []

    def reserve(self, size, *, incomplete=0):
        """Return a reservation, which releases all when it is shed."""
        reservation = Reservation(
            budget=self.budget, shed=lambda: self.give_up(reservation)
        )
        is_admitted = reservation.resize(size, incomplete=incomplete)
        return reservation if is_admitted else None

    def give_up(self, reservation):
        self.shed.append(reservation)
        reservation.release()

    def test_sum_is_bounded(self):
        self.assertIsNotNone(self.reserve(512 * KIB))
        self.assertIsNone(self.reserve(512 * KIB))
        self.assertEqual(512 * KIB, self.budget.used)

    def test_large_requests_leave_room_for_small_ones(self):
        self.assertIsNotNone(self.reserve(700 * KIB))
        self.assertIsNone(self.reserve(100 * KIB))
        self.assertIsNotNone(self.reserve(60 * KIB))

    def test_single_large_request_is_admitted(self):
        self.reserve(60 * KIB)
        self.assertIsNotNone(self.reserve(4096 * KIB))

    def test_largest_incomplete_request_gives_way(self):
        small = self.reserve(100 * KIB, incomplete=100 * KIB)
        large = self.reserve(500 * KIB, incomplete=500 * KIB)
        self.assertIsNotNone(self.reserve(300 * KIB, incomplete=300 * KIB))
        self.assertEqual([large], self.shed)
        self.assertEqual(100 * KIB, small.size)

    def test_smaller_and_complete_requests_are_kept(self):
        self.reserve(300 * KIB)
        self.reserve(300 * KIB, incomplete=300 * KIB)
        self.assertIsNone(self.reserve(400 * KIB, incomplete=400 * KIB))
        self.assertEqual([], self.shed)

    def test_refused_growth_changes_nothing(self):
        first = self.reserve(300 * KIB)
        self.reserve(400 * KIB)
        self.assertFalse(first.resize(500 * KIB))
        self.assertEqual(300 * KIB, first.size)
        first.release()
        self.assertEqual(400 * KIB, self.budget.used)

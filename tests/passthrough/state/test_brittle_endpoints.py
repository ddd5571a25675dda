"""Tests of endpoints that crash if they must reject too many requests."""

import unittest

from burdockdrum.metrics import Metrics
from burdockdrum.passthrough.state import BrittleEndpoints
from tests.passthrough.fakes import make_endpoint
from tests.passthrough.fakes import ManualClock

ENDPOINT = make_endpoint("e", slots=6)


class BrittleTest(unittest.TestCase):
    """An endpoint with six slots and what it announces."""

    def setUp(self):
        self.clock = ManualClock()
        self.brittle = BrittleEndpoints(clock=self.clock, metrics=Metrics())

    def may_send(self, *, own=0, others=0.0, entries=2):
        return self.brittle.may_send(
            ENDPOINT, own=own, others=others, entries=entries
        )

    def test_endpoint_that_announced_nothing_is_not_bound(self):
        self.brittle.observe("e", [])
        self.brittle.record_rejection("e")
        self.assertTrue(self.may_send(own=50))

    def test_nothing_waits_at_a_brittle_endpoint(self):
        # Guards against requests that it has no room for.
        self.brittle.observe("e", [b" 5"])
        self.assertTrue(self.may_send(own=2, others=9))
        self.assertFalse(self.may_send(own=3, others=3))
        self.assertTrue(self.may_send(own=4, others=1))
        self.assertFalse(self.may_send(own=6))

    def test_more_entries_than_slots_rely_on_reports(self):
        self.brittle.observe("e", [b"5"])
        self.assertFalse(self.may_send(others=6, entries=30))
        self.assertTrue(self.may_send(others=5, entries=30))

    def test_entry_pauses_after_its_part_of_the_rejections(self):
        self.brittle.observe("e", [b"8"])
        self.brittle.record_rejection("e")
        self.assertTrue(self.may_send())
        self.brittle.record_rejection("e")
        self.assertFalse(self.may_send())
        self.clock.now += 1.1
        self.assertTrue(self.may_send())

    def test_value_of_zero_allows_one_rejection_at_a_time(self):
        # Guards against never using an endpoint that tolerates nothing.
        self.brittle.observe("e", [b"0"])
        self.assertTrue(self.may_send())
        self.brittle.record_rejection("e")
        self.assertFalse(self.may_send())

    def test_response_without_a_value_ends_it(self):
        self.brittle.observe("e", [b"5"])
        self.brittle.observe("e", [])
        self.assertTrue(self.may_send(own=50))

    def test_unreadable_value_changes_nothing(self):
        for values in ([b"-1"], [b"x"], [b""], [b"5", b"6"], [b"9" * 5000]):
            with self.subTest(values=values):
                self.brittle.observe("e", values)
                self.assertTrue(self.may_send(own=50))
        self.brittle.observe("e", [b"5"])
        self.brittle.observe("e", [b"x"])
        self.assertFalse(self.may_send(own=6))

    def test_huge_value_is_valid(self):
        self.brittle.observe("e", [b"999999"])
        for _ in range(20):
            self.brittle.record_rejection("e")
        self.assertTrue(self.may_send())

    def test_ended_endpoint_is_forgotten(self):
        self.brittle.observe("e", [b"5"])
        self.brittle.remove_ended({})
        self.assertTrue(self.may_send(own=50))

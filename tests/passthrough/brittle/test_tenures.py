"""Tests of which entry grants the places of an endpoint."""

import unittest

from burdockdrum.passthrough.brittle.messages import Tenure
from burdockdrum.passthrough.brittle.tenures import Tenures
from burdockdrum.registrations import LikelyEntries
from tests.passthrough.fakes import ManualClock


class TenuresTest(unittest.TestCase):
    """The tenures that an entry knows."""

    def setUp(self):
        self.entries = LikelyEntries(
            clock=ManualClock(), read_entry_count=lambda: 2
        )
        self.tenures = Tenures(
            own_id="own", own_address="own:1", entries=self.entries
        )

    def test_entry_that_is_not_listed_yet_tells_its_address(self):
        # Guards against a holder that nobody can ask for a place.
        self.entries.record("control", {"other": "other:1"})
        self.assertEqual("own:1", self.tenures.begin("p", after=0).address)

    def test_later_term_counts(self):
        # Guards against notices that arrive late and out of order.
        first, second = Tenure(1, "z", "z:1"), Tenure(2, "a", "a:1")
        self.assertTrue(self.tenures.observe("p", second))
        self.assertFalse(self.tenures.observe("p", first))
        self.assertFalse(self.tenures.observe("p", second))
        self.assertTrue(self.tenures.observe("p", Tenure(2, "b", "b:1")))
        self.assertEqual(3, self.tenures.begin("p", after=1).term)

    def test_holder_is_asked_unless_it_is_not_reached(self):
        self.entries.record("control", {"other": "other:1"})
        self.assertEqual(
            ("other", "other:1"), self.tenures.choose_holder("p", [])
        )
        self.tenures.observe("p", Tenure(1, "holder", "holder:1"))
        self.assertEqual(
            ("holder", "holder:1"), self.tenures.choose_holder("p", [])
        )
        self.assertEqual(
            ("other", "other:1"), self.tenures.choose_holder("p", ["holder"])
        )
        self.assertIsNone(self.tenures.choose_holder("p", ["holder", "other"]))

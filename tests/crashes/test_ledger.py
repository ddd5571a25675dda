"""Tests of which requests are quarantined."""

import unittest

from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st

from burdockdrum.crashes import CrashLedger
from burdockdrum.crashes import CrashRecord
from burdockdrum.crashes import ledger as ledger_module
from burdockdrum.crashes import PART_PREFIX
from burdockdrum.crashes import Standing
from tests.passthrough.fakes import ManualClock

RECORDS = st.lists(
    st.builds(
        CrashRecord,
        fingerprint=st.sampled_from(["a", "b", "c", "part-a", "part-b"]),
        endpoint_id=st.sampled_from(["e1", "e2", "e3", "e4"]),
        age=st.just(1.0),
        observer=st.just("vm"),
        is_cleared=st.booleans(),
    ),
    max_size=20,
)


class LedgerCase(unittest.TestCase):
    """Base class of tests with an empty ledger."""

    def setUp(self):
        self.clock = ManualClock()
        self.ledger = CrashLedger(clock=self.clock)

    def crash(self, fingerprints, *endpoint_ids):
        """Record endpoints that crashed while running some requests."""
        for endpoint_id in endpoint_ids:
            for fingerprint in fingerprints:
                self.ledger.add(fingerprint, endpoint_id, "vm")

    def assert_standing(self, expected, *fingerprints):
        for fingerprint in fingerprints:
            standing = self.ledger.assess(fingerprint).standing
            self.assertIs(expected, standing, fingerprint)


class StandingTest(LedgerCase):
    """What follows from crashes and completed runs."""

    def test_third_crash_quarantines(self):
        self.crash("a", "e1", "e2")
        self.assert_standing(Standing.SUSPECT, "a")
        self.crash("a", "e3")
        self.assert_standing(Standing.QUARANTINED, "a")
        self.assertIn("e2 (seen by vm)", self.ledger.assess("a").describe())

    def test_same_crash_seen_by_several_vms_counts_once(self):
        for observer in ("x", "y", "z"):
            self.ledger.add("a", "e1", observer)
        self.assert_standing(Standing.SUSPECT, "a")
        self.assertEqual(1, len(self.ledger.assess("a").crashes))

    def test_requests_beside_a_crashing_one_are_not_quarantined(self):
        # Guards against rejecting what only ran on the same endpoints.
        beside = [f"b{n}" for n in range(20)]
        self.crash([*beside, "a"], "e1", "e2")
        self.crash("a", "e3")
        self.assert_standing(Standing.QUARANTINED, "a")
        self.assert_standing(Standing.CLEAR, *beside)

    def test_requests_that_always_ran_together_are_contested(self):
        # Guards against rejecting an innocent request that can't be told
        # from the crashing one.
        self.crash("ab", "e1", "e2", "e3")
        self.assert_standing(Standing.CONTESTED, "a", "b")
        self.assertTrue(self.ledger.clear("b"))
        self.assert_standing(Standing.CLEAR, "b")
        self.assert_standing(Standing.QUARANTINED, "a")

    def test_contested_request_that_crashes_alone_is_quarantined(self):
        self.crash("ab", "e1", "e2", "e3")
        self.crash("a", "e4")
        self.assert_standing(Standing.QUARANTINED, "a")
        self.assert_standing(Standing.CLEAR, "b")

    def test_contested_requests_cost_a_bounded_number_of_endpoints(self):
        self.crash("ab", "e1", "e2", "e3", "e4", "e5")
        self.assertEqual(1, len(self.ledger.quarantined))

    def test_two_crashing_requests_are_both_quarantined(self):
        self.crash("ab", "e1")
        self.crash("a", "e2", "e3")
        self.crash("b", "e4", "e5", "e6")
        self.assert_standing(Standing.QUARANTINED, "a", "b")

    def test_request_beside_several_crashing_ones_is_not_quarantined(self):
        # Guards against rejecting a request whose crashes are explained by
        # several others, none of which ran beside it each time.
        self.crash("ab", "e1", "e2")
        self.crash("ac", "e3")
        self.crash("c", "e4")
        self.assert_standing(Standing.CONTESTED, "a")
        self.crash("b", "e5")
        self.assert_standing(Standing.QUARANTINED, "b")
        self.assert_standing(Standing.SUSPECT, "a")

    def test_request_that_others_ran_beside_once_is_quarantined(self):
        # Guards against a crashing request that costs more endpoints as
        # each crash makes suspects of what else ran there.
        self.crash("ab", "e1")
        self.crash("ac", "e2")
        self.crash("ad", "e3")
        self.assert_standing(Standing.QUARANTINED, "a")

    def test_completed_run_clears(self):
        self.crash("a", "e1", "e2")
        self.ledger.clear("a")
        self.crash("a", "e3")
        self.assertEqual(1, len(self.ledger.assess("a").crashes))

    def test_endpoint_that_is_alive_counts_for_nobody(self):
        self.crash("ab", "e1", "e2", "e3")
        self.ledger.clear_endpoint("e3")
        self.assert_standing(Standing.SUSPECT, "a", "b")

    def test_quarantine_expires(self):
        self.crash("a", "e1", "e2", "e3")
        left = self.ledger.assess("a").seconds_left
        self.clock.now += left - 1
        self.ledger.prune()
        self.assert_standing(Standing.QUARANTINED, "a")
        self.clock.now += 2
        self.ledger.prune()
        self.assert_standing(Standing.CLEAR, "a")
        self.assertTrue(self.ledger.is_empty)

    def test_oldest_suspects_make_room(self):
        # Guards against unbounded memory, and against suspects that displace
        # quarantined requests.
        self.crash("a", "e1", "e2", "e3")
        for number in range(ledger_module.MAX_RECORDS):
            self.clock.now += 0.001
            self.ledger.add(f"b{number}", "e9", "vm")
        self.assertLessEqual(
            len(list(self.ledger.keys())), ledger_module.MAX_RECORDS
        )
        self.assert_standing(Standing.QUARANTINED, "a")
        self.assert_standing(Standing.CLEAR, "b0")
        newest = f"b{ledger_module.MAX_RECORDS - 1}"
        self.assert_standing(Standing.SUSPECT, newest)


class MergeTest(LedgerCase):
    """Records that arrive from several VMs."""

    @settings(deadline=None, suppress_health_check=[HealthCheck.too_slow])
    @given(records=RECORDS, order=st.randoms(use_true_random=False))
    def test_order_and_repetition_do_not_matter(self, records, order):
        # Guards against VMs that disagree after a partition.
        shuffled = [*records, *records]
        order.shuffle(shuffled)
        verdicts = []
        for sequence in (records, shuffled):
            ledger = CrashLedger(clock=ManualClock())
            for record in sequence:
                ledger.merge(record)
            verdicts.append([ledger.assess(name).standing for name in "abc"])
        self.assertEqual(*verdicts)

    @settings(deadline=None, suppress_health_check=[HealthCheck.too_slow])
    @given(records=RECORDS, limit=st.integers(1, 5))
    def test_parts_after_serials_are_all_records(self, records, limit):
        first = CrashLedger(clock=ManualClock())
        for record in records:
            first.merge(record)
        second, serial = CrashLedger(clock=ManualClock()), 0
        while serial < first.serial:
            part, serial = first.records_after(serial, limit)
            for record in part:
                second.merge(record)
        self.assertEqual(set(first.keys()), set(second.keys()))
        self.assertEqual(first.quarantined, second.quarantined)


class PartTest(LedgerCase):
    """Parts of prompts among the suspects."""

    def crash_parts(self, endpoint_id, *names, after=1.0):
        """Let an endpoint crash some time later while it ran parts."""
        self.clock.now += after
        for name in names:
            self.ledger.add(PART_PREFIX + name, endpoint_id, "vm")

    def assess(self, *names):
        """Return how a request with some parts is treated."""
        parts = [PART_PREFIX + name for name in names]
        return self.ledger.assess_all(["request", *parts]).standing

    def test_part_of_three_crashes_is_quarantined(self):
        for endpoint_id in "abc":
            self.crash_parts(endpoint_id, "bad")
        self.assertEqual(Standing.QUARANTINED, self.assess("bad"))
        self.assertEqual(Standing.CLEAR, self.assess("sound"))

    def test_crashes_at_the_same_time_count_once(self):
        # Guards against blaming a shared part when a data centre is lost.
        for endpoint_id in "abcdefgh":
            self.crash_parts(endpoint_id, "shared", after=0.01)
        self.assertEqual(Standing.SUSPECT, self.assess("shared"))

    def test_parts_that_always_ran_together_are_rejected_together(self):
        # Guards against blaming the first part of a route for a rarer one.
        for endpoint_id in "abc":
            self.crash_parts(endpoint_id, "first", "bad")
        self.assertEqual(Standing.QUARANTINED, self.assess("first", "bad"))
        for names in (["first"], ["first", "sound"], ["bad"]):
            self.assertNotEqual(Standing.QUARANTINED, self.assess(*names))
        self.ledger.clear(PART_PREFIX + "first")
        self.assertEqual(Standing.QUARANTINED, self.assess("bad"))
        self.assertEqual(Standing.CLEAR, self.assess("first"))

    def test_part_that_crashes_without_its_rival_is_quarantined(self):
        for endpoint_id in "abc":
            self.crash_parts(endpoint_id, "first", "bad")
        self.crash_parts("d", "bad")
        self.assertEqual(Standing.QUARANTINED, self.assess("bad"))
        self.assertEqual(Standing.CLEAR, self.assess("first"))

    def test_request_that_ran_beside_a_part_is_cleared_by_it(self):
        # Guards against a request that was retried beside crashing ones.
        for endpoint_id in "abc":
            self.ledger.add("request", endpoint_id, "vm")
            self.crash_parts(endpoint_id, "bad")
        self.crash_parts("d", "bad")
        self.assertEqual(
            frozenset({PART_PREFIX + "bad"}), self.ledger.quarantined
        )

    def test_run_that_wrote_before_a_crash_clears_nothing(self):
        # Guards against an old run that clears what crashes from now on.
        began = self.clock.now
        for endpoint_id in "abc":
            self.crash_parts(endpoint_id, "bad")
        self.assertFalse(self.ledger.clear(PART_PREFIX + "bad", began))
        self.assertEqual(Standing.QUARANTINED, self.assess("bad"))
        self.assertTrue(
            self.ledger.clear(PART_PREFIX + "bad", self.clock.now + 1)
        )
        self.assertEqual(Standing.CLEAR, self.assess("bad"))

"""Tests of the registrations that a control VM keeps."""

import unittest

from burdockdrum.registrations.messages import Registration
from burdockdrum.registrations.messages import RegistrationState
from burdockdrum.registrations.table import CHECK_IN_TIMEOUT_SECONDS
from burdockdrum.registrations.table import EXPIRY_SECONDS
from burdockdrum.registrations.table import RegistrationTable

HERE = frozenset({"dc"})


class SteppedClock:
    """A clock that only moves when a test sets it."""

    def __init__(self):
        """Start at 100 s."""
        self.now = 100.0

    def monotonic(self):
        """Return the time."""
        return self.now


def make(endpoint_id="e1", *, sequence=1, state="ready", **fields):
    fields = {"service": "s", "address": "10.0.0.1:80", **fields}
    return Registration(
        endpoint_id=endpoint_id,
        data_centre="dc",
        slots=4,
        sequence=sequence,
        state=RegistrationState(state),
        **fields,
    )


class RegistrationTableTest(unittest.TestCase):
    """Check-ins that arrive in and out of order."""

    def setUp(self):
        self.clock = SteppedClock()
        self.table = RegistrationTable(clock=self.clock)

    def states(self, serial=0):
        changes = self.table.changes_after(serial, HERE)
        return {r.endpoint_id: r.state.value for r in changes}

    def test_check_in_without_news_is_no_change(self):
        self.table.apply(make(sequence=1, slow_start_seconds=2.0))
        serial = self.table.serial
        self.table.apply(make(sequence=2, slow_start_seconds=1.0))
        self.assertEqual(serial, self.table.serial)

    def test_new_slow_start_is_a_change(self):
        self.table.apply(make(sequence=1))
        serial = self.table.serial
        self.table.apply(make(sequence=2, slow_start_seconds=3.0))
        self.assertEqual({"e1": "ready"}, self.states(serial))

    def test_late_check_in_does_not_undo_a_drain_notice(self):
        # An earlier check-in arrives after the notice; entries must not send
        # requests to the draining endpoint again.
        self.table.apply(make(sequence=5, state="leaving"))
        self.assertFalse(self.table.apply(make(sequence=4)))
        self.assertEqual({"e1": "leaving"}, self.states())

    def test_check_in_of_another_writer_is_ignored(self):
        # Guards against one check-in under an endpoint's id that takes it out
        # of its service for good.
        self.table.apply(make(sequence=5))
        for change in (
            {"service": "other"},
            {"address": "10.0.0.9:80"},
            {"state": "leaving", "service": "other"},
        ):
            with self.subTest(change=change):
                other = make(sequence=5_000_000, **change)
                self.assertFalse(self.table.apply(other))
        self.assertTrue(self.table.apply(make(sequence=6)))
        self.assertEqual({"e1": "ready"}, self.states())

    def test_other_place_is_taken_up_once_the_endpoint_is_silent(self):
        self.table.apply(make(sequence=5))
        self.clock.now += CHECK_IN_TIMEOUT_SECONDS + 0.1
        self.table.prune()
        self.assertTrue(self.table.apply(make(address="10.0.0.9:80")))
        self.assertEqual({"e1": "ready"}, self.states())

    def test_drain_notice_is_undone_from_no_other_place(self):
        self.table.apply(make(sequence=5, state="leaving"))
        self.clock.now += CHECK_IN_TIMEOUT_SECONDS + 0.1
        self.table.prune()
        self.assertFalse(self.table.apply(make(address="10.0.0.9:80")))
        self.assertEqual({"e1": "leaving"}, self.states())

    def check_in_for(self, seconds, first):
        """Check in every 1.2 s; return whether the last one was accepted."""
        is_accepted = False
        for number in range(int(seconds / 1.2)):
            self.clock.now += 1.2
            is_accepted = self.table.apply(make(sequence=first + number))
            self.table.prune()
        return is_accepted

    def test_lower_sequences_that_go_on_are_the_endpoints_own(self):
        # Guards against a check-in of another writer with a high sequence,
        # after which all of the endpoint's own are ignored.
        self.table.apply(make(sequence=5))
        for state in ("ready", "leaving"):
            with self.subTest(state=state):
                self.table.apply(make(sequence=5_000_000, state=state))
                self.assertTrue(self.check_in_for(8.0, 6))
                self.assertEqual({"e1": "ready"}, self.states())

    def test_endpoint_with_lower_sequences_is_never_unreachable(self):
        self.table.apply(make(sequence=5_000_000))
        serial = self.table.serial
        self.check_in_for(12.0, 6)
        self.assertEqual({}, self.states(serial))

    def test_late_check_ins_undo_no_drain_notice_though_it_is_silent(self):
        # A partition held them up, and they arrive together.
        self.table.apply(make(sequence=9, state="leaving"))
        self.clock.now += CHECK_IN_TIMEOUT_SECONDS + 0.1
        for sequence in (6, 7, 8):
            self.clock.now += 0.01
            self.assertFalse(self.table.apply(make(sequence=sequence)))
        self.assertEqual({"e1": "leaving"}, self.states())

    def test_end_is_final(self):
        self.table.apply(make(sequence=1))
        self.table.end("e1")
        self.assertFalse(self.table.apply(make(sequence=9)))
        self.assertEqual({"e1": "gone"}, self.states())

    def test_late_check_in_of_a_former_endpoint_is_ignored(self):
        # The endpoint crashed during a partition, and a new one has its
        # address. A check-in delayed by the partition must not replace it.
        self.table.apply(make("new", sequence=2))
        self.assertFalse(self.table.apply(make("old", sequence=40)))
        self.assertEqual({"new": "ready"}, self.states())

    def test_check_in_timeout_and_recovery_are_published(self):
        self.table.apply(make(sequence=1))
        self.clock.now += CHECK_IN_TIMEOUT_SECONDS + 0.1
        self.table.prune()
        self.assertEqual({"e1": "silent"}, self.states())
        self.table.apply(make(sequence=2))
        self.assertEqual({"e1": "ready"}, self.states())
        self.clock.now += EXPIRY_SECONDS + 0.1
        self.table.prune()
        self.table.prune()
        self.assertEqual({"e1": "forgotten"}, self.states())

    def test_check_in_timeout_does_not_undo_a_drain_notice(self):
        self.table.apply(make(sequence=1, state="leaving"))
        self.clock.now += CHECK_IN_TIMEOUT_SECONDS + 0.1
        self.table.prune()
        self.assertEqual({"e1": "leaving"}, self.states())

    def test_remaining_times_are_counted_down(self):
        self.table.apply(make(slow_start_seconds=3.0, seconds_left=2.0))
        self.clock.now += 1.0
        (changed,) = self.table.changes_after(0, HERE)
        self.assertAlmostEqual(2.0, changed.slow_start_seconds)
        self.assertAlmostEqual(1.0, changed.seconds_left)

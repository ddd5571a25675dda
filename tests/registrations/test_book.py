"""Tests of what a control VM makes of check-ins."""

import unittest

from burdockdrum.registrations.book import FORGET_SECONDS
from burdockdrum.registrations.book import RegistrationBook
from burdockdrum.registrations.book import SILENT_SECONDS
from burdockdrum.registrations.messages import Registration
from burdockdrum.registrations.messages import RegistrationState

HERE = frozenset({"dc"})


class SteppedClock:
    """A clock that a test moves."""

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


class BookTest(unittest.TestCase):
    """Check-ins in and out of order."""

    def setUp(self):
        self.clock = SteppedClock()
        self.book = RegistrationBook(clock=self.clock)

    def states(self, serial=0):
        changes = self.book.changes_after(serial, HERE)
        return {r.endpoint_id: r.state.value for r in changes}

    def test_check_in_that_says_the_same_is_no_change(self):
        self.book.take(make(sequence=1, cold_seconds=2.0))
        serial = self.book.serial
        self.book.take(make(sequence=2, cold_seconds=1.0))
        self.assertEqual(serial, self.book.serial)

    def test_becoming_cold_again_is_a_change(self):
        self.book.take(make(sequence=1))
        serial = self.book.serial
        self.book.take(make(sequence=2, cold_seconds=3.0))
        self.assertEqual({"e1": "ready"}, self.states(serial))

    def test_late_check_in_does_not_undo_a_notice(self):
        # The endpoint says that it leaves; an earlier check-in, delayed on
        # its way, arrives after that. Nobody may send it work again.
        self.book.take(make(sequence=5, state="leaving"))
        self.assertFalse(self.book.take(make(sequence=4)))
        self.assertEqual({"e1": "leaving"}, self.states())

    def test_end_is_final(self):
        self.book.take(make(sequence=1))
        self.book.end("e1")
        self.assertFalse(self.book.take(make(sequence=9)))
        self.assertEqual({"e1": "gone"}, self.states())

    def test_late_check_in_of_a_start_before_is_dropped(self):
        # The endpoint crashed behind a cut and another start has its
        # address. A check-in of the first, held back by the cut, arrives.
        self.book.take(make("new", sequence=2))
        self.assertFalse(self.book.take(make("old", sequence=40)))
        self.assertEqual({"new": "ready"}, self.states())

    def test_silence_is_told_and_a_check_in_ends_it(self):
        self.book.take(make(sequence=1))
        self.clock.now += SILENT_SECONDS + 0.1
        self.book.prune()
        self.assertEqual({"e1": "silent"}, self.states())
        self.book.take(make(sequence=2))
        self.assertEqual({"e1": "ready"}, self.states())
        self.clock.now += FORGET_SECONDS + 0.1
        self.book.prune()
        self.book.prune()
        self.assertEqual({"e1": "forgotten"}, self.states())

    def test_silence_does_not_undo_a_notice(self):
        self.book.take(make(sequence=1, state="leaving"))
        self.clock.now += SILENT_SECONDS + 0.1
        self.book.prune()
        self.assertEqual({"e1": "leaving"}, self.states())

    def test_time_until_warm_is_counted_down(self):
        self.book.take(make(cold_seconds=3.0, seconds_left=2.0))
        self.clock.now += 1.0
        (told,) = self.book.changes_after(0, HERE)
        self.assertAlmostEqual(2.0, told.cold_seconds)
        self.assertAlmostEqual(1.0, told.seconds_left)

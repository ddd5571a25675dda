"""Tests of what entries are told of the slow starts of endpoints."""

import unittest

from hypothesis import given
from hypothesis import strategies

from burdockdrum.registrations.control_source import make_endpoint
from burdockdrum.registrations.table import RegistrationTable
from burdockdrum.registrations.table import TIME_TOLERANCE_SECONDS
from tests.drawing import draw
from tests.registrations.test_book import HERE
from tests.registrations.test_book import make
from tests.registrations.test_book import SteppedClock

# Of an entry that is told whatever changes; one more learns all at a time.
TOLERANCE = TIME_TOLERANCE_SECONDS + 1e-6


class Follower:
    """An entry that keeps what a table publishes."""

    def __init__(self, clock, table):
        """Know nothing."""
        self.clock = clock
        self.table = table
        self.serial = 0
        self.slow_start_until = 0.0

    def read(self):
        """Take over the changes since the last call."""
        for registration in self.table.changes_after(self.serial, HERE):
            endpoint = make_endpoint(registration, self.clock.now)
            self.slow_start_until = endpoint.slow_start_until
        self.serial = self.table.serial

    def seconds_left(self):
        """Return for how long it believes in a slow start."""
        return max(0.0, self.slow_start_until - self.clock.now)


class SlowStartTest(unittest.TestCase):
    """Slow starts that begin, end and begin anew."""

    def setUp(self):
        self.clock = SteppedClock()
        self.table = RegistrationTable(clock=self.clock)
        self.entry = Follower(self.clock, self.table)
        self.sequence = 0

    def check_in(self, after, slow_start_seconds):
        """Check in some seconds after the last time."""
        self.clock.now += after
        self.sequence += 1
        self.table.prune()
        self.table.apply(
            make(sequence=self.sequence, slow_start_seconds=slow_start_seconds)
        )
        self.entry.read()

    def test_slow_start_that_began_anew_is_told_after_lost_check_ins(self):
        # Guards against a flood at an endpoint that is cold again, with less
        # time left than it had when it last checked in here.
        for name, check_ins, expected in (
            ("after two lost", [(0, 3.0), (1.2, 1.8), (3.2, 1.6)], 1.6),
            ("after the first", [(0, 3.0), (3.6, 2.8)], 2.8),
            ("while still cold", [(0, 3.0), (2.4, 2.9)], 2.9),
            ("late, then cold", [(0, 3.0), (1.2, 0.2), (0.6, 2.4)], 2.4),
        ):
            with self.subTest(name):
                self.setUp()
                for after, seconds in check_ins:
                    self.check_in(after, seconds)
                self.assertAlmostEqual(
                    expected, self.entry.seconds_left(), delta=TOLERANCE
                )

    def test_slow_start_is_told_where_another_control_vm_told_less(self):
        # Guards against a flood at an endpoint that checked in elsewhere in
        # between: entries keep to the later check-in, which was warm.
        self.table.restore([make(sequence=1, slow_start_seconds=2.1)])
        serial = self.table.serial
        self.clock.now += 0.4
        self.table.apply(make(sequence=8, slow_start_seconds=1.7))
        (registration,) = self.table.changes_after(serial, HERE)
        self.assertEqual(8, registration.sequence)
        self.assertAlmostEqual(1.7, registration.slow_start_seconds)

    def test_slow_start_that_counts_down_is_told_once(self):
        # Guards against a message to every entry with each check-in.
        self.check_in(0, 3.0)
        serial = self.table.serial
        for seconds in (1.81, 0.6, 0.0, 0.0):
            self.check_in(1.2, seconds)
        self.assertEqual(serial, self.table.serial)

    @draw(200)
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0.01, 3.0),
                strategies.sampled_from(
                    ["check in", "lose", "cold again", "entry starts"]
                ),
            ),
            min_size=10,
            max_size=30,
        )
    )
    def test_no_entry_believes_in_less_than_was_last_said(self, steps):
        # Guards against a slow start that some entries know and others don't,
        # whatever check-ins are lost and whenever entries start.
        self.setUp()
        entries = [self.entry]
        cold_until = self.clock.now
        said_until = 0.0
        for after, step in steps:
            self.clock.now += after
            left = max(0.0, cold_until - self.clock.now)
            match step:
                case "check in":
                    self.sequence += 1
                    self.table.prune()
                    self.table.apply(
                        make(sequence=self.sequence, slow_start_seconds=left)
                    )
                    said_until = cold_until
                case "cold again":
                    cold_until = self.clock.now + 3.0
                case "entry starts":
                    entries.append(Follower(self.clock, self.table))
            for entry in entries:
                entry.read()
                believed = entry.seconds_left()
                said = max(0.0, said_until - self.clock.now)
                self.assertGreaterEqual(believed, said - TOLERANCE)


class RemovalTest(unittest.TestCase):
    """The time until an endpoint is removed, as entries are told."""

    def setUp(self):
        self.clock = SteppedClock()
        self.table = RegistrationTable(clock=self.clock)

    def check_in(self, sequence, **fields):
        self.table.apply(make(sequence=sequence, **fields))

    def told(self):
        (registration,) = self.table.changes_after(0, HERE)
        return registration

    def test_time_left_is_not_counted_twice_when_the_state_changes(self):
        # Guards against an endpoint that counts as removed, or as warm, long
        # before it is, after it announced to drain or fell silent.
        for name, seconds, change in (
            ("drains", 1.0, lambda: self.table.record_drain("e1")),
            ("silent", 5.0, lambda: self.table.prune()),
        ):
            with self.subTest(name):
                self.setUp()
                self.check_in(1, seconds_left=20.0, slow_start_seconds=8.0)
                self.clock.now += seconds
                change()
                told = self.told()
                self.assertEqual(20.0 - seconds, told.seconds_left)
                self.assertEqual(8.0 - seconds, told.slow_start_seconds)

    def test_removal_that_was_moved_is_told(self):
        # Guards against requests that outlive their endpoint, as entries
        # still count down to the time that was announced first.
        for moved_to in (2.0, 30.0):
            with self.subTest(moved_to):
                self.setUp()
                self.check_in(1, seconds_left=20.0)
                self.clock.now += 1.2
                serial = self.table.serial
                self.check_in(2, seconds_left=18.8)
                self.assertEqual(serial, self.table.serial)
                self.check_in(3, seconds_left=moved_to)
                self.assertGreater(self.table.serial, serial)
                self.assertEqual(moved_to, self.told().seconds_left)

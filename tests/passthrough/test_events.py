"""Tests of streams that are cut into whole events."""

import unittest

from hypothesis import given
from hypothesis import strategies

from burdockdrum.passthrough.events import BrokenEvents
from burdockdrum.passthrough.events import EventCutter


def event(number):
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def stream(first, last):
    return b"".join(event(n) for n in range(first, last + 1))


class EventsTest(unittest.TestCase):
    """Events of one run, and of a run that goes on after it."""

    @given(
        strategies.integers(1, 8),
        strategies.lists(strategies.integers(0, 200), max_size=6),
    )
    def test_cuts_of_the_network_change_nothing(self, count, places):
        data = stream(1, count)
        cutter = EventCutter(last_number=None)
        out = b""
        begin = 0
        for end in [*sorted(min(p, len(data)) for p in places), len(data)]:
            out += cutter.feed(data[begin:end])
            begin = end
        self.assertEqual(data, out)
        self.assertFalse(cutter.has_rest)

    def test_run_that_goes_on_joins_without_a_seam(self):
        # The first endpoint stops in the middle of event 3; another goes on
        # after event 2. The caller gets each event once and whole.
        cutter = EventCutter(last_number=None)
        out = cutter.feed(stream(1, 2) + event(3)[:9])
        self.assertEqual(2, cutter.last_number)
        cutter.begin_run()
        out += cutter.feed(stream(3, 5))
        self.assertEqual(stream(1, 5), out)

    def test_run_from_the_start_repeats_nothing(self):
        cutter = EventCutter(last_number=None)
        out = cutter.feed(stream(1, 3))
        cutter.begin_run()
        out += cutter.feed(stream(1, 4))
        self.assertEqual(stream(1, 4), out)

    def test_missing_event_is_no_answer(self):
        cutter = EventCutter(last_number=4)
        with self.assertRaises(BrokenEvents):
            cutter.feed(event(6))

    def test_event_without_an_end_does_not_fill_the_memory(self):
        cutter = EventCutter(last_number=None)
        with self.assertRaises(BrokenEvents):
            for _ in range(100):
                cutter.feed(b"data: " + b"x" * 10_000)

    def test_line_ends_with_carriage_returns(self):
        cutter = EventCutter(last_number=None)
        data = b"id: 1\r\ndata: a\r\n\r\n"
        self.assertEqual(data, cutter.feed(data))
        self.assertEqual(1, cutter.last_number)

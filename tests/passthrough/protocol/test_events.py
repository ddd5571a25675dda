"""Tests of splitting streams into complete events."""

import unittest

from hypothesis import given
from hypothesis import strategies

from burdockdrum.passthrough.protocol.events import InvalidEventStream
from burdockdrum.passthrough.protocol.events import ResumableEventSplitter


def event(number):
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def stream(first, last):
    return b"".join(event(n) for n in range(first, last + 1))


class EventsTest(unittest.TestCase):
    """Events of one attempt, and of one that resumes its stream."""

    @given(
        strategies.integers(1, 8),
        strategies.lists(strategies.integers(0, 200), max_size=6),
    )
    def test_chunk_boundaries_do_not_change_events(self, count, positions):
        data = stream(1, count)
        splitter = ResumableEventSplitter(last_number=None)
        out = b""
        begin = 0
        for end in [*sorted(min(p, len(data)) for p in positions), len(data)]:
            out += splitter.feed(data[begin:end])
            begin = end
        self.assertEqual(data, out)
        self.assertFalse(splitter.has_partial_event)

    def test_resumed_stream_continues_without_gap_or_duplicate(self):
        # The first endpoint fails in the middle of event 3 and another one
        # resumes after event 2. Guards against partial or duplicate events.
        splitter = ResumableEventSplitter(last_number=None)
        out = splitter.feed(stream(1, 2) + event(3)[:9])
        self.assertEqual(2, splitter.last_number)
        splitter.start_attempt()
        out += splitter.feed(stream(3, 5))
        self.assertEqual(stream(1, 5), out)

    def test_restarted_stream_does_not_repeat_events(self):
        splitter = ResumableEventSplitter(last_number=None)
        out = splitter.feed(stream(1, 3))
        splitter.start_attempt()
        out += splitter.feed(stream(1, 4))
        self.assertEqual(stream(1, 4), out)

    def test_missing_event_is_an_error(self):
        splitter = ResumableEventSplitter(last_number=4)
        with self.assertRaises(InvalidEventStream):
            splitter.feed(event(6))

    def test_endless_event_is_an_error(self):
        splitter = ResumableEventSplitter(last_number=None)
        with self.assertRaises(InvalidEventStream):
            for _ in range(100):
                splitter.feed(b"data: " + b"x" * 10_000)

    def test_event_number_of_any_length_is_handled(self):
        # int() raises ValueError on thousands of digits.
        splitter = ResumableEventSplitter(last_number=3)
        with self.assertRaises(InvalidEventStream):
            splitter.feed(b"id: " + b"9" * 5000 + b"\n\n")

    def test_carriage_returns_are_accepted(self):
        splitter = ResumableEventSplitter(last_number=None)
        data = b"id: 1\r\ndata: a\r\n\r\n"
        self.assertEqual(data, splitter.feed(data))
        self.assertEqual(1, splitter.last_number)

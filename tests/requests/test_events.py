"""Tests of reading the events of a streamed answer."""

import unittest

from burdockdrum.requests.events import read_offset


class OffsetTest(unittest.TestCase):
    """The token offset in an event's id."""

    def test_id_that_is_no_number_has_no_offset(self):
        # Guards against an engine's event that ends a stream with an error.
        for value, wanted in (
            (b"7", 7),
            (b"", None),
            (b"x", None),
            (b"-1", None),
            (b"9" * 5000, None),
        ):
            event = b"id: " + value + b"\ndata: {}\n\n"
            self.assertEqual(wanted, read_offset(event))
        self.assertIsNone(read_offset(b"data: {}\n\n"))

"""Tests of numbers that anybody may have written into a header."""

import unittest

from hypothesis import given
from hypothesis import strategies

from burdockdrum.http1 import parse_count
from burdockdrum.http1 import parse_seconds


class NumbersTest(unittest.TestCase):
    """What is no number counts as absent, and nothing raises."""

    def test_counts(self):
        for value, wanted in (
            (b"0", 0),
            (b" 12 ", 12),
            (None, None),
            (b"", None),
            (b"-1", None),
            (b"1.5", None),
            (b"1_0", None),
            (b"9" * 5000, None),
        ):
            self.assertEqual(wanted, parse_count(value))

    def test_seconds(self):
        # "inf" and "nan" are numbers to Python. Passed on to a caller as
        # the time to come back, they would keep it away for good.
        for value, wanted in (
            (b"2", 2.0),
            (b"0.25", 0.25),
            (b"inf", None),
            (b"nan", None),
            (b"1e9", None),
            (b"-1", None),
            (b"1.", None),
            (b"9" * 400, None),
            (b"0." + b"3" * 5000, 0.333333333333333),
        ):
            self.assertEqual(wanted, parse_seconds(value))

    @given(strategies.binary(max_size=40))
    def test_no_bytes_raise(self, value):
        parse_count(value)
        parse_seconds(value)

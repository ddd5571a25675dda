"""Tests of parsing numbers in untrusted headers."""

import math
import unittest

from hypothesis import given
from hypothesis import strategies

from burdockdrum.http1 import parse_count
from burdockdrum.http1 import parse_decimal
from burdockdrum.http1 import parse_seconds


class NumbersTest(unittest.TestCase):
    """Invalid numbers give None and raise nothing."""

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
        # float() accepts "inf" and "nan"; forwarded as Retry-After they
        # would stop a caller from ever retrying.
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
    def test_arbitrary_bytes_do_not_raise(self, value):
        parse_count(value)
        parse_seconds(value)

    @given(strategies.binary(max_size=40) | strategies.from_regex(rb"[0-9.]+"))
    def test_decimals_are_finite_and_not_negative(self, value):
        number = parse_decimal(value)
        if number is not None:
            self.assertTrue(math.isfinite(number))
            self.assertGreaterEqual(number, 0.0)

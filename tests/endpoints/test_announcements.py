"""Tests of the messages from endpoints."""

import unittest

from burdockdrum.decoding import decode_json
from burdockdrum.decoding import InvalidData
from burdockdrum.endpoints import Report


class ReportTest(unittest.TestCase):
    """Decoding of reports."""

    def test_numbers_that_can_not_be_sent_on_are_invalid(self):
        # OverflowError in the message to other VMs ended the process.
        for fields in (
            b'"sequence": %d' % 10**25,
            b'"sequence": 1, "running": %d' % 10**25,
            b'"sequence": 1, "cache_events": [{"prefix": %d, "stored": true}]'
            % 2**64,
        ):
            with self.assertRaises(InvalidData):
                decode_json(b'{"incarnation": 1, %s}' % fields, Report)

    def test_largest_prefix_is_valid(self):
        body = b'{"prefix": %d, "stored": true}' % (2**64 - 1)
        report = decode_json(
            b'{"incarnation": 1, "sequence": 1, "cache_events": [%s]}' % body,
            Report,
        )
        self.assertEqual(2**64 - 1, report.cache_events[0].prefix)


if __name__ == "__main__":
    unittest.main()

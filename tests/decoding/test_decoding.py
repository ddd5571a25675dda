"""Tests of decoding what other processes sent."""

import unittest

import msgspec

from burdockdrum.decoding import decode
from burdockdrum.decoding import decode_json
from burdockdrum.decoding import decode_msgpack
from burdockdrum.decoding import InvalidData

NESTED_JSON = b'{"count": 1, "unknown": ' + b"[" * 5000
NESTED_MSGPACK = b"\x82\xa5count\x01\xa7unknown" + b"\x91" * 5000


class Counted(msgspec.Struct):
    """A message with one field."""

    count: int


class DecodeTest(unittest.TestCase):
    """Valid data, and all that can be wrong with it."""

    def test_valid_data_is_decoded(self):
        decoder = msgspec.json.Decoder(Counted)
        self.assertEqual(1, decode(decoder, b'{"count": 1}').count)
        self.assertEqual(1, decode_json(b'{"count": 1}', Counted).count)
        self.assertEqual(
            1, decode_msgpack(b"\x81\xa5count\x01", Counted).count
        )

    def test_deeply_nested_data_is_invalid(self):
        # RecursionError ended the task that read the data.
        decoder = msgspec.json.Decoder(Counted)
        with self.assertRaises(InvalidData):
            decode(decoder, NESTED_JSON)
        with self.assertRaises(InvalidData):
            decode_json(NESTED_JSON, Counted)
        with self.assertRaises(InvalidData):
            decode_msgpack(NESTED_MSGPACK, Counted)

    def test_other_invalid_data_is_invalid(self):
        for data in (b"", b'{"count": "1"}', b'{"count": 1', b"\xff"):
            with self.assertRaises(InvalidData):
                decode_json(data, Counted)
        for data in (b"", b"\x81\xa5count\xa1\xff", b"\x81\xa5count"):
            with self.assertRaises(InvalidData):
                decode_msgpack(data, Counted)


if __name__ == "__main__":
    unittest.main()

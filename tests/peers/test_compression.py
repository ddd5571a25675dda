"""Tests of the compression of frames."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies
import msgspec

from burdockdrum.peers.compression import MAX_UNPACKED_BYTES
from burdockdrum.peers.compression import MIN_COMPRESSED_FRAME_BYTES
from burdockdrum.peers.compression import pack
from burdockdrum.peers.compression import unpack
from burdockdrum.peers.compression import UnpackError
from burdockdrum.peers.messages import Envelope
from burdockdrum.peers.messages import Frame
from burdockdrum.timeline import Stamp


class CompressionTest(unittest.TestCase):
    """Frames survive a round trip, and invalid payloads are rejected."""

    def test_small_frame_is_not_compressed(self):
        body = msgspec.Raw(msgspec.msgpack.encode({"a": 1}))
        frame = Frame(
            "vm", "tcp://a:1", 1, Stamp(1, 1), [Envelope("k", 0, False, body)]
        )
        payload = msgspec.msgpack.encode(frame)
        self.assertEqual(payload, pack(payload))
        self.assertEqual(payload, unpack(payload))

    def test_route_table_shrinks_to_a_fifth(self):
        rng = random.Random(1)
        routes = [
            {
                "name": f"r-{rng.getrandbits(40):x}",
                "host": f"{rng.getrandbits(20):x}.example",
                "prefix": f"/{rng.getrandbits(30):x}/",
                "idempotent": True,
                "streams": True,
                "timeout_seconds": 10.0,
                "objective_seconds": 1.0,
                "homes": ["sask-south", "alberta-central"],
                "services": [["drafter", 90], ["writer", 10]],
            }
            for _ in range(350)
        ]
        frame = msgspec.msgpack.encode([routes])
        self.assertLess(len(pack(frame)), len(frame) / 5)
        self.assertEqual(frame, unpack(pack(frame)))

    @given(strategies.binary(max_size=3 * MIN_COMPRESSED_FRAME_BYTES))
    def test_large_frames_survive_a_round_trip(self, rest):
        frame = b"\x96" + rest * 3
        self.assertEqual(frame, unpack(pack(frame)))

    @given(strategies.binary(max_size=100))
    def test_invalid_stream_is_rejected(self, rest):
        with self.assertRaises(UnpackError):
            unpack(b"\x78" + rest)

    def test_truncated_stream_is_rejected(self):
        whole = pack(b"\x96" + bytes(range(256)) * 100)
        with self.assertRaises(UnpackError):
            unpack(whole[:-5])

    def test_stream_over_the_size_limit_is_rejected(self):
        with self.assertRaises(UnpackError):
            unpack(pack(b"\x96" + bytes(MAX_UNPACKED_BYTES + 1)))

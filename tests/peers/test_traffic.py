"""Tests of the metrics of traffic to peers."""

import unittest

import msgspec

from burdockdrum.metrics import Metrics
from burdockdrum.peers.messages import Envelope
from burdockdrum.peers.traffic import Distance
from burdockdrum.peers.traffic import Traffic


def make_envelope(kind, size):
    """Return an envelope with a body of a size in bytes."""
    return Envelope(kind, 0, False, msgspec.Raw(b"x" * size))


class TrafficTest(unittest.TestCase):
    """Messages by kind and distance."""

    def setUp(self):
        self.metrics = Metrics()
        self.traffic = Traffic(metrics=self.metrics)

    def test_messages_are_counted_by_kind_and_distance(self):
        # The same kind of message is sent within the data centre and to
        # another region.
        distances = {
            "tcp://near:1": Distance.DATA_CENTRE,
            "tcp://far:1": Distance.OTHER_REGION,
        }
        self.traffic.read_distance = distances.get
        load = make_envelope("loads", 100)
        other = make_envelope("vms", 30)
        self.traffic.record_frame("tcp://near:1", [load, other], 150)
        self.traffic.record_frame("tcp://far:1", [load], 120)
        page = self.metrics.text()
        for line in (
            'message_bytes_total{distance="data_centre",kind="loads"} 100',
            'message_bytes_total{distance="elsewhere",kind="loads"} 100',
            'message_bytes_total{distance="data_centre",kind="vms"} 30',
            'messages_total{distance="data_centre",kind="vms"} 1',
            'frame_bytes_total{distance="elsewhere"} 120',
        ):
            self.assertIn(f"burdockdrum_peer_{line}", page)

    def test_unknown_distance_is_not_cached(self):
        # At the start a VM sends before it knows where the peer is.
        answers = [Distance.UNKNOWN, Distance.REGION]
        queried = []

        def read_distance(address):
            queried.append(address)
            return answers[len(queried) - 1]

        self.traffic.read_distance = read_distance
        for _ in range(4):
            self.traffic.record_frame("tcp://x:1", [], 10)
        self.assertEqual(2, len(queried))
        page = self.metrics.text()
        self.assertIn('frame_bytes_total{distance="unknown"} 10', page)
        self.assertIn('frame_bytes_total{distance="region"} 30', page)

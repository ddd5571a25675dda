"""Metrics of the traffic to peers, by kind of message and distance.

They show an operator which traffic grows with the number of VMs and which
crosses between data centres and regions, without a packet capture.
"""

from collections.abc import Callable
import enum

from burdockdrum.metrics import BoundCounter
from burdockdrum.metrics import Metrics
from burdockdrum.peers.messages import Envelope


class Distance(enum.Enum):
    """The distance to a peer: the smallest area that contains both."""

    DATA_CENTRE = "data_centre"
    REGION = "region"
    OTHER_REGION = "elsewhere"
    UNKNOWN = "unknown"


class Traffic:
    """Counts the messages and frames sent to peers."""

    def __init__(self, *, metrics: Metrics) -> None:
        """Create the counters."""
        # Set by the VM directory, which is created later.
        self.read_distance: Callable[[str], Distance] = _unknown_distance
        self._known_by_address: dict[str, Distance] = {}
        # The counters of messages and of bytes, by kind and distance.
        self._counters_by_key: dict[
            tuple[str, Distance], tuple[BoundCounter, BoundCounter]
        ] = {}
        self._messages = metrics.counter(
            "burdockdrum_peer_messages_total",
            "Messages sent to peers, by kind and distance.",
        )
        self._message_bytes = metrics.counter(
            "burdockdrum_peer_message_bytes_total",
            "Bytes of messages sent to peers, before frames are compressed, "
            "by kind and distance.",
        )
        self._frame_bytes = metrics.counter(
            "burdockdrum_peer_frame_bytes_total",
            "Bytes of frames sent to peers, by distance.",
        )
        self._frame_bytes_by_distance = {
            distance: self._frame_bytes.bind(distance=distance.value)
            for distance in Distance
        }

    def record_frame(
        self, address: str, envelopes: list[Envelope], frame_bytes: int
    ) -> None:
        """Count a frame and the messages in it."""
        distance = self._find_distance(address)
        self._frame_bytes_by_distance[distance].increment(frame_bytes)
        for envelope in envelopes:
            messages, message_bytes = self._counters(envelope.kind, distance)
            messages.increment()
            message_bytes.increment(len(envelope.body))

    def remove(self, address: str) -> None:
        """Remove the cached distance of a peer that is no longer sent to."""
        self._known_by_address.pop(address, None)

    def _counters(
        self, kind: str, distance: Distance
    ) -> tuple[BoundCounter, BoundCounter]:
        key = (kind, distance)
        known = self._counters_by_key.get(key)
        if known is None:
            labels = {"kind": kind, "distance": distance.value}
            known = (
                self._messages.bind(**labels),
                self._message_bytes.bind(**labels),
            )
            self._counters_by_key[key] = known
        return known

    def _find_distance(self, address: str) -> Distance:
        known = self._known_by_address.get(address)
        if known is not None:
            return known
        distance = self.read_distance(address)
        if distance is not Distance.UNKNOWN:
            self._known_by_address[address] = distance
        return distance


def _unknown_distance(address: str) -> Distance:
    return Distance.UNKNOWN

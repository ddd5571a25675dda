"""Metrics of the traffic to peers, by kind of message and distance.

They show an operator which traffic grows with the number of VMs and which
crosses between data centres and regions, without a packet capture.
"""

from collections.abc import Callable
import enum

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

    def record_frame(
        self, address: str, envelopes: list[Envelope], frame_bytes: int
    ) -> None:
        """Count a frame and the messages in it."""
        distance = self._find_distance(address).value
        self._frame_bytes.increment(frame_bytes, distance=distance)
        for envelope in envelopes:
            self._messages.increment(kind=envelope.kind, distance=distance)
            self._message_bytes.increment(
                len(envelope.body), kind=envelope.kind, distance=distance
            )

    def remove(self, address: str) -> None:
        """Remove the cached distance of a peer that is no longer sent to."""
        self._known_by_address.pop(address, None)

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

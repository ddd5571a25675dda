"""What a VM sends to its peers, by kind of message and by distance.

What grows with the number of VMs, and what crosses between data centres and
regions, an operator reads on the metrics page without a capture of packets.
"""

from collections.abc import Callable
import enum

from burdockdrum.metrics import Metrics
from burdockdrum.peers.messages import Envelope


class Distance(enum.Enum):
    """How far a peer is away, as far as that is known."""

    DATA_CENTRE = "data_centre"
    REGION = "region"
    ELSEWHERE = "elsewhere"
    UNKNOWN = "unknown"


class Traffic:
    """Count what is sent."""

    def __init__(self, *, metrics: Metrics) -> None:
        """Have counted nothing yet."""
        # Set once there is a directory to ask.
        self.read_distance: Callable[[str], Distance] = _know_none
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

    def note_frame(
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

    def forget(self, address: str) -> None:
        """Forget how far a peer is that nothing is sent to any more."""
        self._known_by_address.pop(address, None)

    def _find_distance(self, address: str) -> Distance:
        known = self._known_by_address.get(address)
        if known is not None:
            return known
        distance = self.read_distance(address)
        if distance is not Distance.UNKNOWN:
            self._known_by_address[address] = distance
        return distance


def _know_none(address: str) -> Distance:
    return Distance.UNKNOWN

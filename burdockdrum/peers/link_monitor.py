"""Detect connections that accept frames but deliver none.

A path may drop packets without a reset, and the sender's kernel then buffers
frames for minutes. Each frame carries the age of the last frame that its
sender received from the other side, so a VM sees that its own frames do not
arrive and reconnects.

A connection attempt made before a peer listens hangs until the kernel retries
after a second. So a VM reconnects as soon as it receives a frame of a new
incarnation, and uses a shorter timeout for a peer it never received from.
"""

from dataclasses import dataclass

# Two heartbeats and a round trip between regions; well below the 5 s within
# which others expect this VM to notice a failed link.
CONFIRM_TIMEOUT_SECONDS = 1.5
# The same before the first frame of a peer: connecting between regions takes
# three one-way delays, and the reply a fourth.
INITIAL_TIMEOUT_SECONDS = 0.45
# A connection opened this long before a peer's first frame was opened before
# the peer listened; a younger one may still be established.
EARLY_DIAL_AGE_SECONDS = 0.25
# The limit of the backoff towards a peer that is gone for good.
MAX_TIMEOUT_SECONDS = 12.0
BACKOFF_FACTOR = 1.5


@dataclass(kw_only=True)
class _Link:
    """The state of one connection.

    ``unconfirmed_since`` is when the oldest unconfirmed frame was sent,
    ``incarnation`` the peer's when it last sent a frame. ``dialled_early``
    marks a connection that was opened before the peer listened.
    """

    received_at: float | None = None
    incarnation: int | None = None
    unconfirmed_since: float | None = None
    timeout: float = INITIAL_TIMEOUT_SECONDS
    dialled_early: bool = False


class LinkMonitor:
    """Tracks the connections to peers by address, on the monotonic clock."""

    def __init__(self) -> None:
        """Create a monitor without connections."""
        self._links_by_address: dict[str, _Link] = {}

    def received_age(self, address: str, now: float) -> float | None:
        """Return the age of a peer's last frame in seconds, None if none."""
        link = self._links_by_address.get(address)
        if link is None or link.received_at is None:
            return None
        return round(now - link.received_at, 2)

    def record_received(
        self,
        address: str,
        now: float,
        peer_received_age: float | None,
        incarnation: int = 0,
    ) -> None:
        """Record a frame from a peer.

        :param peer_received_age: age in seconds of the last frame that the
            peer received from this VM, None if it received none
        :param incarnation: the peer's incarnation
        """
        link = self._find_or_add(address)
        if link.received_at is None:
            link.timeout = CONFIRM_TIMEOUT_SECONDS
        link.received_at = now
        if link.incarnation != incarnation:
            link.incarnation = incarnation
            link.dialled_early = _was_dialled_early(
                link, now, peer_received_age
            )
        if peer_received_age is None or link.unconfirmed_since is None:
            return
        if now - peer_received_age >= link.unconfirmed_since:
            link.unconfirmed_since = None
            link.timeout = CONFIRM_TIMEOUT_SECONDS

    def record_sent(self, address: str, now: float) -> None:
        """Record a frame that is sent to a peer."""
        link = self._find_or_add(address)
        if link.unconfirmed_since is None:
            link.unconfirmed_since = now

    def must_reconnect(self, address: str, now: float) -> bool:
        """Return whether to reconnect before the next frame."""
        link = self._links_by_address.get(address)
        if link is None or link.unconfirmed_since is None:
            return False
        if link.dialled_early:
            link.dialled_early = False
            link.unconfirmed_since = now
            return True
        if now - link.unconfirmed_since < link.timeout:
            return False
        link.unconfirmed_since = now
        link.timeout = min(MAX_TIMEOUT_SECONDS, link.timeout * BACKOFF_FACTOR)
        return True

    def _find_or_add(self, address: str) -> _Link:
        link = self._links_by_address.get(address)
        if link is None:
            link = self._links_by_address[address] = _Link()
        return link

    def remove(self, address: str) -> None:
        """Remove the state of a peer that is no longer sent to."""
        self._links_by_address.pop(address, None)


def _was_dialled_early(
    link: _Link, now: float, peer_received_age: float | None
) -> bool:
    """Return whether a connection was opened before its peer listened."""
    if peer_received_age is not None or link.unconfirmed_since is None:
        return False
    return now - link.unconfirmed_since >= EARLY_DIAL_AGE_SECONDS

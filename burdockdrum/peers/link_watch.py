"""Notice a link that takes frames and delivers none.

A path may go silent without a reset, and the kernel of a sender takes frames
for minutes. Each frame says how long ago its sender last heard from the
receiver, so either side sees what did not arrive, and a new connection is
opened.

The same after a loss of power: what was dialled before the peer was up hangs
for the second until the kernel tries again, whatever the peer says since. A
peer that starts is dialled anew once it is heard, and one that was never
heard is tried sooner.
"""

from dataclasses import dataclass

# Two heartbeats and a way there and back between regions. Far below the
# 5 s after which others count on this VM to have noticed.
SILENT_SECONDS = 1.5
# As long, while a peer was never heard: a connection between regions takes
# three ways, and the answer one more.
FIRST_SILENT_SECONDS = 0.45
# What was dialled so long before a peer's first word was dialled before the
# peer was up; what is younger may be coming about.
DIALLED_EARLY_SECONDS = 0.25
# A peer that is gone for good is dialled anew less and less often.
MAX_PAUSE_SECONDS = 12.0
# So each pause is longer than the one before, and the seventh is the longest.
PAUSE_GROWTH = 1.5


@dataclass(kw_only=True)
class _Link:
    """``pending_since`` is when the first unconfirmed frame was sent.

    ``incarnation`` is the start of the peer that was heard last. What was
    ``dialled_early`` hangs.
    """

    heard_at: float | None = None
    incarnation: int | None = None
    pending_since: float | None = None
    pause: float = FIRST_SILENT_SECONDS
    dialled_early: bool = False


class LinkWatch:
    """The links to peers by address, on the monotonic clock."""

    def __init__(self) -> None:
        """Watch no link yet."""
        self._links_by_address: dict[str, _Link] = {}

    def heard_age(self, address: str, now: float) -> float | None:
        """Return how many seconds ago a peer was heard, None if never."""
        link = self._links_by_address.get(address)
        if link is None or link.heard_at is None:
            return None
        return round(now - link.heard_at, 2)

    def note_heard(
        self,
        address: str,
        now: float,
        its_age: float | None,
        incarnation: int = 0,
    ) -> None:
        """Take note of a frame.

        :param its_age: how many seconds before it the peer heard this VM
        :param incarnation: the start of the peer
        """
        link = self._links_by_address.setdefault(address, _Link())
        if link.heard_at is None:
            link.pause = SILENT_SECONDS
        link.heard_at = now
        if link.incarnation != incarnation:
            link.incarnation = incarnation
            link.dialled_early = _is_early(link, now, its_age)
        if its_age is None or link.pending_since is None:
            return
        if now - its_age >= link.pending_since:
            link.pending_since = None
            link.pause = SILENT_SECONDS

    def note_sent(self, address: str, now: float) -> None:
        """Take note of a frame that is sent."""
        link = self._links_by_address.setdefault(address, _Link())
        if link.pending_since is None:
            link.pending_since = now

    def must_renew(self, address: str, now: float) -> bool:
        """Say whether to open a new connection before the next frame."""
        link = self._links_by_address.get(address)
        if link is None or link.pending_since is None:
            return False
        if link.dialled_early:
            link.dialled_early = False
            link.pending_since = now
            return True
        if now - link.pending_since < link.pause:
            return False
        link.pending_since = now
        link.pause = min(MAX_PAUSE_SECONDS, link.pause * PAUSE_GROWTH)
        return True

    def forget(self, address: str) -> None:
        """Forget a peer that nothing is sent to any more."""
        self._links_by_address.pop(address, None)


def _is_early(link: _Link, now: float, its_age: float | None) -> bool:
    """Say whether a peer that starts was dialled before it was up."""
    if its_age is not None or link.pending_since is None:
        return False
    return now - link.pending_since >= DIALLED_EARLY_SECONDS

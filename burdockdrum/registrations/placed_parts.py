"""Notices of what was sent where, until everyone has been told."""

import collections
from collections.abc import Iterable

from burdockdrum.registrations.messages import PlacedParts

# A data centre of 20 entries makes a few hundred in the second and a half
# after which one that was not heard has to be told everything anew anyway.
MAX_KEPT = 512


class PlacedNotices:
    """The latest notices, each with who it came from."""

    def __init__(self) -> None:
        """Keep nothing yet."""
        self._serial = 0
        self._kept: collections.deque[tuple[int, str, PlacedParts]] = (
            collections.deque(maxlen=MAX_KEPT)
        )
        self._told_by_receiver: dict[str, int] = {}

    def add(self, source: str, notices: Iterable[PlacedParts]) -> None:
        """Keep what a source has told."""
        for notice in notices:
            self._serial += 1
            self._kept.append((self._serial, source, notice))

    def take_for(
        self, receiver: str, *, without: frozenset[str] = frozenset()
    ) -> list[PlacedParts]:
        """Return what a receiver has not been told yet.

        What it told itself is left out, and what came from the sources in
        ``without``.
        """
        told = self._told_by_receiver.get(receiver, self._serial)
        self._told_by_receiver[receiver] = self._serial
        left_out = {receiver, *without}
        return [
            notice
            for serial, source, notice in self._kept
            if serial > told and source not in left_out
        ]

"""A bounded log of the prompt prefixes sent to endpoints.

The aggregator forwards each record once to every other receiver.
"""

import collections
from collections.abc import Iterable

from burdockdrum.registrations.messages import PlacedPrefix

# More than a data centre adds before loads expire: one of 20 entries adds a
# few hundred in that time. A receiver that is further behind misses the
# oldest.
MAX_PLACEMENTS = 512


class PlacementLog:
    """The latest placements with their sources, and what was sent to whom."""

    def __init__(self) -> None:
        """Create an empty log."""
        self._serial = 0
        self._placements: collections.deque[tuple[int, str, PlacedPrefix]] = (
            collections.deque(maxlen=MAX_PLACEMENTS)
        )
        self._sent_serial_by_receiver: dict[str, int] = {}

    def add(self, source: str, placements: Iterable[PlacedPrefix]) -> None:
        """Append the placements that a source reported."""
        for placement in placements:
            self._serial += 1
            self._placements.append((self._serial, source, placement))

    def read_unsent(
        self, receiver: str, *, excluded_sources: frozenset[str] = frozenset()
    ) -> list[PlacedPrefix]:
        """Return the placements not yet sent to a receiver; mark them sent.

        Those reported by the receiver itself or by ``excluded_sources`` are
        left out.
        """
        last_sent = self._sent_serial_by_receiver.get(receiver, self._serial)
        self._sent_serial_by_receiver[receiver] = self._serial
        excluded = {receiver, *excluded_sources}
        return [
            placement
            for serial, source, placement in self._placements
            if serial > last_sent and source not in excluded
        ]

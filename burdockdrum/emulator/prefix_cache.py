"""The prompt prefixes that an engine holds in limited memory."""

import collections
from collections.abc import Sequence
import random

from burdockdrum.endpoints.announcements import CacheEvent
from burdockdrum.ports import Clock


class PrefixCache:
    """Blocks of prompt prefixes, the least recently used dropped first.

    What is stored and dropped is published late and with gaps, as real
    engines do: ``event_lag`` is in seconds, ``event_loss`` a probability.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        capacity: int,
        event_lag: float = 0.0,
        event_loss: float = 0.0,
    ) -> None:
        """Create an empty cache for so many blocks."""
        self._clock = clock
        self._rng = rng
        self._capacity = capacity
        self._event_lag = event_lag
        self._event_loss = event_loss
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[tuple[float, CacheEvent]] = (
            collections.deque()
        )
        self.sequence = 0

    def match(self, hashes: Sequence[int]) -> int:
        """Return how many leading blocks of a prompt are held."""
        for index, block in enumerate(hashes):
            if block not in self._blocks:
                return index
        return len(hashes)

    def store(self, hashes: Sequence[int]) -> None:
        """Hold the blocks of a prompt, as many as fit."""
        for block in reversed(hashes[: self._capacity]):
            if block not in self._blocks:
                self._note(block, stored=True)
            self._blocks[block] = None
            # Leading blocks are shared by more prompts: they end up as the
            # most recently used, so that tails are dropped before them.
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity:
            dropped, _ = self._blocks.popitem(last=False)
            self._note(dropped, stored=False)

    def clear(self) -> None:
        """Forget everything, as at a restart; nothing is published."""
        self._blocks.clear()
        self._events.clear()

    def contents(self) -> list[CacheEvent]:
        """Return every block held, as a resync asks for."""
        return [CacheEvent(prefix=b, stored=True) for b in self._blocks]

    def take_events(self) -> list[CacheEvent]:
        """Return the events that are due, but for those that got lost.

        ``sequence`` counts the lost ones too, so that a gap shows.
        """
        due = []
        limit = self._clock.monotonic() - self._event_lag
        while self._events and self._events[0][0] <= limit:
            _, event = self._events.popleft()
            self.sequence += 1
            if self._rng.random() >= self._event_loss:
                due.append(event)
        return due

    def _note(self, block: int, *, stored: bool) -> None:
        event = CacheEvent(prefix=block, stored=stored)
        self._events.append((self._clock.monotonic(), event))

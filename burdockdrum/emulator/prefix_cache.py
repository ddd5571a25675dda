"""The prefix cache of an emulated engine."""

import collections
from collections.abc import Sequence
import random

from burdockdrum.endpoints.announcements import CacheEvent
from burdockdrum.ports import Clock


class PrefixCache:
    """Blocks of prompt prefixes with least-recently-used eviction.

    Cache events are delayed and lost as with real engines: ``event_lag`` is
    in seconds, ``event_loss`` a probability.
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
        """Create an empty cache for ``capacity`` blocks."""
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
        """Return how many leading blocks of a prompt are cached."""
        for index, block in enumerate(hashes):
            if block not in self._blocks:
                return index
        return len(hashes)

    def store(self, hashes: Sequence[int]) -> None:
        """Cache the blocks of a prompt, as many as fit."""
        for block in reversed(hashes[: self._capacity]):
            if block not in self._blocks:
                self._record_event(block, stored=True)
            self._blocks[block] = None
            # Leading blocks are shared by more prompts: going backwards makes
            # them the most recently used, so that tails are evicted first.
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity:
            dropped, _ = self._blocks.popitem(last=False)
            self._record_event(dropped, stored=False)

    def clear(self) -> None:
        """Remove all blocks without events, as at a restart."""
        self._blocks.clear()
        self._events.clear()

    def contents(self) -> list[CacheEvent]:
        """Return an event for every cached block, for a resync."""
        return [CacheEvent(prefix=b, stored=True) for b in self._blocks]

    def take_events(self) -> list[CacheEvent]:
        """Remove and return the due events, except for lost ones.

        ``sequence`` counts lost events too, so that receivers detect gaps.
        """
        due = []
        limit = self._clock.monotonic() - self._event_lag
        while self._events and self._events[0][0] <= limit:
            _, event = self._events.popleft()
            self.sequence += 1
            if self._rng.random() >= self._event_loss:
                due.append(event)
        return due

    def _record_event(self, block: int, *, stored: bool) -> None:
        event = CacheEvent(prefix=block, stored=stored)
        self._events.append((self._clock.monotonic(), event))

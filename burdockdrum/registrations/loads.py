"""The load at endpoints, by priority rank.

Engines admit more urgent requests first, so the wait of a request depends on
its rank. Prompts count by their unprocessed tokens rather than by time, as
each VM estimates the time itself.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

import msgspec


class RankLoad(msgspec.Struct, frozen=True, array_like=True):
    """The load of one rank in messages; rank 0 is the most urgent.

    ``uncached_tokens`` are the prompt tokens not yet processed;
    ``recent_tokens`` those sent in the last seconds, processed or not.
    ``waiting`` requests have not returned a first byte yet. ``held_tokens``
    is the memory of all requests, for prompts and expected outputs. Responses
    that are ``behind`` are written too slowly for their deadline.
    """

    rank: int
    requests: int
    uncached_tokens: int
    recent_tokens: int = 0
    waiting: int = 0
    held_tokens: int = 0
    behind: int = 0


@dataclass(kw_only=True, slots=True)
class RankSum:
    """The summed load of one rank; the fields are those of ``RankLoad``."""

    requests: float = 0
    waiting: float = 0
    uncached_tokens: float = 0.0
    recent_tokens: float = 0.0
    held_tokens: float = 0.0
    behind: float = 0

    def add(self, other: "RankSum", factor: float = 1) -> None:
        """Add another sum times a factor; no field drops below zero."""
        if factor >= 0:
            self.requests += other.requests * factor
            self.waiting += other.waiting * factor
            self.uncached_tokens += other.uncached_tokens * factor
            self.recent_tokens += other.recent_tokens * factor
            self.held_tokens += other.held_tokens * factor
            self.behind += other.behind * factor
            return
        self.requests = max(0, self.requests + other.requests * factor)
        self.waiting = max(0, self.waiting + other.waiting * factor)
        uncached = self.uncached_tokens + other.uncached_tokens * factor
        self.uncached_tokens = max(0.0, uncached)
        recent = self.recent_tokens + other.recent_tokens * factor
        self.recent_tokens = max(0.0, recent)
        held = self.held_tokens + other.held_tokens * factor
        self.held_tokens = max(0.0, held)
        self.behind = max(0, self.behind + other.behind * factor)


@dataclass(kw_only=True)
class Load:
    """The load of one endpoint, or of several together."""

    sums_by_rank: dict[int, RankSum] = field(default_factory=dict)

    @classmethod
    def from_ranks(cls, ranks: Iterable[RankLoad]) -> "Load":
        """Return the load of several ranks."""
        load = cls()
        load.add_ranks(ranks)
        return load

    @property
    def requests(self) -> float:
        """Return the number of requests of all ranks."""
        total = 0.0
        for part in self.sums_by_rank.values():
            total += part.requests
        return total

    @property
    def uncached_tokens(self) -> float:
        """Return the unprocessed prompt tokens of all ranks."""
        total = 0.0
        for part in self.sums_by_rank.values():
            total += part.uncached_tokens
        return total

    @property
    def recent_tokens(self) -> float:
        """Return the recently sent prompt tokens of all ranks."""
        total = 0.0
        for part in self.sums_by_rank.values():
            total += part.recent_tokens
        return total

    def add(self, rank: int, part: RankSum, factor: float = 1) -> None:
        """Add a sum times a factor to a rank."""
        self.of_rank(rank).add(part, factor)

    def of_rank(self, rank: int) -> RankSum:
        """Return the mutable sum of a rank."""
        known = self.sums_by_rank.get(rank)
        if known is None:
            known = self.sums_by_rank[rank] = RankSum()
        return known

    def merge(self, other: "Load") -> None:
        """Add another load to this one."""
        for rank, part in other.sums_by_rank.items():
            self._add_copy(rank, part)

    def add_ranks(self, ranks: Iterable[RankLoad]) -> None:
        """Add the load in a message."""
        for rank in ranks:
            self._add_copy(rank.rank, rank)

    def subtract(self, other: "Load") -> None:
        """Subtract a load that was merged into this one."""
        for rank, part in other.sums_by_rank.items():
            self.add(rank, part, -1)

    def _add_copy(self, rank: int, part: RankSum | RankLoad) -> None:
        """Add a sum that stays as it is; it may be that of another load."""
        known = self.sums_by_rank.get(rank)
        if known is None:
            self.sums_by_rank[rank] = RankSum(
                requests=part.requests,
                waiting=part.waiting,
                uncached_tokens=part.uncached_tokens,
                recent_tokens=part.recent_tokens,
                held_tokens=part.held_tokens,
                behind=part.behind,
            )
            return
        known.requests += part.requests
        known.waiting += part.waiting
        known.uncached_tokens += part.uncached_tokens
        known.recent_tokens += part.recent_tokens
        known.held_tokens += part.held_tokens
        known.behind += part.behind

    def scaled(self, number: float) -> "Load":
        """Return this load times a number."""
        load = Load()
        for rank, part in self.sums_by_rank.items():
            load.add(rank, part, number)
        return load

    def up_to(self, rank: int) -> RankSum:
        """Return the sum of the ranks at least as urgent as a rank."""
        return _add_up(
            part for r, part in self.sums_by_rank.items() if r <= rank
        )

    def above(self, rank: int) -> RankSum:
        """Return the sum of the ranks less urgent than a rank."""
        return _add_up(
            part for r, part in self.sums_by_rank.items() if r > rank
        )

    def ranks(self) -> list[RankLoad]:
        """Return the ranks that are not empty, for messages."""
        ranks = [
            RankLoad(
                rank,
                round(part.requests),
                round(part.uncached_tokens),
                round(part.recent_tokens),
                round(part.waiting),
                round(part.held_tokens),
                round(part.behind),
            )
            for rank, part in self.sums_by_rank.items()
        ]
        return [rank for rank in ranks if rank.requests or rank.recent_tokens]


def _add_up(parts: Iterable[RankSum]) -> RankSum:
    total = RankSum()
    for part in parts:
        total.add(part)
    return total

"""What is under way at endpoints, by how urgent it is.

An engine admits what is more urgent first, so what a request waits for
depends on its own rank. Prompts count by the tokens that are still to be
read: how long that takes, each VM has seen for itself.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

import msgspec


class RankLoad(msgspec.Struct, frozen=True, array_like=True):
    """The requests of one rank, for the wire; 0 is the most urgent.

    ``unread_tokens`` are those of their prompts that have not been read;
    ``recent_tokens`` those that were sent in the last seconds, whether they
    have been read or not. Of ``waiting`` requests nothing has come yet.
    """

    rank: int
    requests: int
    unread_tokens: int
    recent_tokens: int = 0
    waiting: int = 0


@dataclass(kw_only=True, slots=True)
class RankSum:
    """What is counted of one rank; the fields are those of ``RankLoad``."""

    requests: float = 0
    waiting: float = 0
    unread_tokens: float = 0.0
    recent_tokens: float = 0.0

    def add(self, other: "RankSum", times: float = 1) -> None:
        """Add another one so many times; nothing goes below zero."""
        if times >= 0:
            self.requests += other.requests * times
            self.waiting += other.waiting * times
            self.unread_tokens += other.unread_tokens * times
            self.recent_tokens += other.recent_tokens * times
            return
        self.requests = max(0, self.requests + other.requests * times)
        self.waiting = max(0, self.waiting + other.waiting * times)
        unread = self.unread_tokens + other.unread_tokens * times
        self.unread_tokens = max(0.0, unread)
        recent = self.recent_tokens + other.recent_tokens * times
        self.recent_tokens = max(0.0, recent)


@dataclass(kw_only=True)
class Load:
    """What is under way at one endpoint, or at several together."""

    sums_by_rank: dict[int, RankSum] = field(default_factory=dict)

    @classmethod
    def of(cls, ranks: Iterable[RankLoad]) -> "Load":
        """Return what the ranks say together."""
        load = cls()
        for rank in ranks:
            load.add(
                rank.rank,
                RankSum(
                    requests=rank.requests,
                    waiting=rank.waiting,
                    unread_tokens=rank.unread_tokens,
                    recent_tokens=rank.recent_tokens,
                ),
            )
        return load

    @property
    def requests(self) -> float:
        """Return the requests of all ranks."""
        return sum(part.requests for part in self.sums_by_rank.values())

    @property
    def unread_tokens(self) -> float:
        """Return what is to be read, of all ranks."""
        return sum(part.unread_tokens for part in self.sums_by_rank.values())

    @property
    def recent_tokens(self) -> float:
        """Return what was sent lately to be read, of all ranks."""
        return sum(part.recent_tokens for part in self.sums_by_rank.values())

    def add(self, rank: int, part: RankSum, times: float = 1) -> None:
        """Count what is of a rank so many times."""
        self.of_rank(rank).add(part, times)

    def of_rank(self, rank: int) -> RankSum:
        """Return what is counted of a rank, to be added to."""
        known = self.sums_by_rank.get(rank)
        if known is None:
            known = self.sums_by_rank[rank] = RankSum()
        return known

    def merge(self, other: "Load") -> None:
        """Add what another load holds."""
        for rank, part in other.sums_by_rank.items():
            self.add(rank, part)

    def take_away(self, other: "Load") -> None:
        """Undo ``merge`` with a load that is part of this one."""
        for rank, part in other.sums_by_rank.items():
            self.add(rank, part, -1)

    def times(self, number: float) -> "Load":
        """Return what so many VMs have under way, if each has this much."""
        load = Load()
        for rank, part in self.sums_by_rank.items():
            load.add(rank, part, number)
        return load

    def up_to(self, rank: int) -> RankSum:
        """Return what is as urgent as a rank, or more."""
        return _add_up(
            part for r, part in self.sums_by_rank.items() if r <= rank
        )

    def above(self, rank: int) -> RankSum:
        """Return what is less urgent than a rank."""
        return _add_up(
            part for r, part in self.sums_by_rank.items() if r > rank
        )

    def ranks(self) -> list[RankLoad]:
        """Return the ranks that have something, for the wire."""
        ranks = [
            RankLoad(
                rank,
                round(part.requests),
                round(part.unread_tokens),
                round(part.recent_tokens),
                round(part.waiting),
            )
            for rank, part in self.sums_by_rank.items()
        ]
        return [rank for rank in ranks if rank.requests or rank.recent_tokens]


def _add_up(parts: Iterable[RankSum]) -> RankSum:
    total = RankSum()
    for part in parts:
        total.add(part)
    return total

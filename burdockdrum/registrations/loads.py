"""What is under way at endpoints, by how urgent it is.

An engine admits what is more urgent first, so what a request waits for
depends on its own rank. Prompts count by the time that reading them takes.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

import msgspec


class RankLoad(msgspec.Struct, frozen=True, array_like=True):
    """The requests of one rank; 0 is the most urgent.

    ``reading_ms`` is how many milliseconds it takes to read what has not
    been read of their prompts; ``recent_ms`` what was sent in the last
    seconds, whether it has been read or not.
    """

    rank: int
    requests: int
    reading_ms: int
    recent_ms: int = 0


@dataclass(kw_only=True)
class Load:
    """What is under way at one endpoint, or at several together.

    ``recent_seconds`` of reading were sent to it lately.
    """

    requests_by_rank: dict[int, int] = field(default_factory=dict)
    reading_by_rank: dict[int, float] = field(default_factory=dict)
    recent_seconds: float = 0.0

    @classmethod
    def of(cls, ranks: Iterable[RankLoad]) -> "Load":
        """Return what the ranks say together."""
        load = cls()
        for rank in ranks:
            load.add(rank.rank, rank.requests, rank.reading_ms / 1000)
            load.recent_seconds += rank.recent_ms / 1000
        return load

    @property
    def requests(self) -> int:
        """Return the requests of all ranks."""
        return sum(self.requests_by_rank.values())

    def add(self, rank: int, requests: int, reading_seconds: float) -> None:
        """Count requests; a negative number takes them back."""
        count = self.requests_by_rank.get(rank, 0) + requests
        reading = self.reading_by_rank.get(rank, 0.0) + reading_seconds
        self.requests_by_rank[rank] = max(0, count)
        self.reading_by_rank[rank] = max(0.0, reading)

    def merge(self, other: "Load") -> None:
        """Add what another load holds."""
        for rank, requests in other.requests_by_rank.items():
            self.add(rank, requests, other.reading_by_rank[rank])
        self.recent_seconds += other.recent_seconds

    def take_away(self, other: "Load") -> None:
        """Undo ``merge`` with a load that is part of this one."""
        for rank, requests in other.requests_by_rank.items():
            self.add(rank, -requests, -other.reading_by_rank[rank])
        rest = self.recent_seconds - other.recent_seconds
        self.recent_seconds = max(0.0, rest)

    def times(self, number: int) -> "Load":
        """Return what so many VMs have under way, if each has this much."""
        return Load(
            requests_by_rank={
                rank: count * number
                for rank, count in self.requests_by_rank.items()
            },
            reading_by_rank={
                rank: seconds * number
                for rank, seconds in self.reading_by_rank.items()
            },
            recent_seconds=self.recent_seconds * number,
        )

    def average(self, endpoints: int) -> "Load":
        """Return what each of several endpoints has, on average."""
        return Load(
            requests_by_rank={
                rank: round(count / endpoints)
                for rank, count in self.requests_by_rank.items()
            },
            reading_by_rank={
                rank: seconds / endpoints
                for rank, seconds in self.reading_by_rank.items()
            },
            recent_seconds=self.recent_seconds / endpoints,
        )

    def up_to(self, rank: int) -> tuple[int, float]:
        """Return the requests as urgent or more, and their reading time."""
        ranks = [r for r in self.requests_by_rank if r <= rank]
        return (
            sum(self.requests_by_rank[r] for r in ranks),
            sum(self.reading_by_rank[r] for r in ranks),
        )

    def above(self, rank: int) -> tuple[int, float]:
        """Return the less urgent requests, and their reading time."""
        ranks = [r for r in self.requests_by_rank if r > rank]
        return (
            sum(self.requests_by_rank[r] for r in ranks),
            sum(self.reading_by_rank[r] for r in ranks),
        )

    def ranks(self) -> list[RankLoad]:
        """Return the ranks that have requests, for the wire."""
        ranks = [
            RankLoad(rank, count, round(self.reading_by_rank[rank] * 1000))
            for rank, count in self.requests_by_rank.items()
            if count
        ]
        recent_ms = round(self.recent_seconds * 1000)
        if recent_ms:
            ranks.append(RankLoad(0, 0, 0, recent_ms))
        return ranks

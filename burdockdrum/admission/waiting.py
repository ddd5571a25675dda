"""The requests of one service that wait for their turn."""

import asyncio
import bisect
from collections.abc import Iterator

from burdockdrum.routing import Demand
from burdockdrum.verdicts import Refusal


class Waiter:
    """A request that waits; ``slot_seconds`` is how long it will run."""

    def __init__(
        self,
        *,
        demand: Demand,
        key: tuple[float, ...],
        turn_tag: float,
        slot_seconds: float,
        since: float,
    ) -> None:
        """Create a waiter; lower keys go first."""
        self.demand = demand
        self.turn_tag = turn_tag
        self.key = key
        self.slot_seconds = slot_seconds
        self.since = since
        self.turn: asyncio.Future[None] = asyncio.Future()

    def admit(self) -> None:
        """Let the request start."""
        if not self.turn.done():
            self.turn.set_result(None)

    def refuse(self, refusal: Refusal) -> None:
        """End the wait with a refusal, now and not at the deadline."""
        if not self.turn.done():
            self.turn.set_exception(refusal)


class WaitingLine:
    """Waiters in the order in which they will start.

    Within a rank, teams take turns by start-time fair queueing (Goyal, Vin
    and Cheng, 1996): the flood of one team waits behind its own requests
    and not before those of others.
    """

    def __init__(self) -> None:
        """Create an empty line."""
        self._waiters: list[Waiter] = []
        self._turn_by_rank: dict[int, float] = {}
        self._next_by_team: dict[tuple[int, str], float] = {}

    def take_turn(self, team: str, rank: int, slot_seconds: float) -> float:
        """Return a team's next turn and count its cost."""
        if not self._waiters:
            # Nobody waits: what teams have had before no longer counts.
            self._next_by_team.clear()
        now = self._turn_by_rank.get(rank, 0.0)
        turn = max(now, self._next_by_team.get((rank, team), now))
        self._next_by_team[(rank, team)] = turn + slot_seconds
        return turn

    def note_started(self, waiter: Waiter) -> None:
        """Move its rank's time on to the turn of one that starts."""
        rank = waiter.demand.rank
        now = self._turn_by_rank.get(rank, 0.0)
        self._turn_by_rank[rank] = max(now, waiter.turn_tag)

    def __len__(self) -> int:
        return len(self._waiters)

    def __iter__(self) -> Iterator[Waiter]:
        return iter(list(self._waiters))

    def add(self, waiter: Waiter) -> None:
        """Put a waiter in its place."""
        bisect.insort(self._waiters, waiter, key=lambda item: item.key)

    def remove(self, waiter: Waiter) -> None:
        """Take a waiter out if it is there."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def seconds_ahead(self, key: tuple[float, ...]) -> float:
        """Return the slot seconds of those that go before a key."""
        total = 0.0
        for waiter in self._waiters:
            if waiter.key > key:
                break
            total += waiter.slot_seconds
        return total

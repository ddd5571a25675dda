"""The queue of requests that wait for capacity of one service.

Orders requests by priority and, within a priority, fairly among teams, so
that no team can starve the others.
"""

import asyncio
import bisect
from collections.abc import Iterator

from burdockdrum.routing import RoutingRequest
from burdockdrum.verdicts import Refusal


class Waiter:
    """A queued request; ``slot_seconds`` is its estimated run time."""

    def __init__(
        self,
        *,
        request: RoutingRequest,
        key: tuple[float, ...],
        start_tag: float,
        slot_seconds: float,
        since: float,
    ) -> None:
        """Create a waiter; lower keys start first."""
        self.request = request
        self.start_tag = start_tag
        self.key = key
        self.slot_seconds = slot_seconds
        self.since = since
        self.started: asyncio.Future[None] = asyncio.Future()

    def admit(self) -> None:
        """Let the request start."""
        if not self.started.done():
            self.started.set_result(None)

    def refuse(self, refusal: Refusal) -> None:
        """End the wait with a refusal."""
        if not self.started.done():
            self.started.set_exception(refusal)


class WaitQueue:
    """The waiters of one service in the order in which they will start.

    Within a rank, teams share the capacity by start-time fair queueing
    (Goyal, Vin and Cheng, 1996): excess requests of one team delay only
    that team's own requests.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self._waiters: list[Waiter] = []
        self._virtual_time_by_rank: dict[int, float] = {}
        self._finish_tag_by_team: dict[tuple[int, str], float] = {}

    def assign_start_tag(
        self, team: str, rank: int, slot_seconds: float
    ) -> float:
        """Return the start tag of a team's next request.

        The team's finish tag advances by the request's slot seconds.
        """
        if not self._waiters:
            # Service before an idle period doesn't count.
            self._finish_tag_by_team.clear()
        virtual_time = self._virtual_time_by_rank.get(rank, 0.0)
        start_tag = max(
            virtual_time,
            self._finish_tag_by_team.get((rank, team), virtual_time),
        )
        self._finish_tag_by_team[(rank, team)] = start_tag + slot_seconds
        return start_tag

    def advance_virtual_time(self, waiter: Waiter) -> None:
        """Advance the rank's virtual time to a started waiter's start tag."""
        rank = waiter.request.rank
        virtual_time = self._virtual_time_by_rank.get(rank, 0.0)
        self._virtual_time_by_rank[rank] = max(virtual_time, waiter.start_tag)

    def __len__(self) -> int:
        return len(self._waiters)

    def __iter__(self) -> Iterator[Waiter]:
        return iter(list(self._waiters))

    def add(self, waiter: Waiter) -> None:
        """Insert a waiter by its key."""
        bisect.insort(self._waiters, waiter, key=lambda item: item.key)

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter if it is queued."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def seconds_ahead(self, key: tuple[float, ...]) -> float:
        """Return the total slot seconds of the waiters before a key."""
        total = 0.0
        for waiter in self._waiters:
            if waiter.key > key:
                break
            total += waiter.slot_seconds
        return total

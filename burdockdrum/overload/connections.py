"""A limit on the open connections of all listeners of a process."""

from collections.abc import Hashable
import enum
import time
from typing import Protocol

from burdockdrum.logs import log_failure

# Of the limit; a group with fewer connections always gets one more, so that
# callers can't keep operators, probes and other VMs out.
GUARANTEED_FRACTION = 1 / 32
# Closed at once, as finding them looks at all connections.
EVICTION_BATCH = 16
# A connection that is accepted is opened in the next iteration of the loop.
UNOPENED_SECONDS = 10.0

Group = Hashable


class EvictionRank(enum.IntEnum):
    """Which connections are closed first when there are too many."""

    UNUSED = 0
    IDLE = 1
    INCOMPLETE = 2


class LimitedConnection(Protocol):
    """The interface of a connection that a limit counts."""

    @property
    def eviction_rank(self) -> tuple[EvictionRank, float] | None:
        """The rank and since when it applies; None to keep it open."""
        ...

    def evict(self) -> None:
        """Close the connection without a response."""
        ...


class ConnectionLimit:
    """Counts connections by group, and closes idle ones for new ones."""

    def __init__(self, *, limit: int) -> None:
        """Create a limit on the sum of all groups."""
        self.limit = limit
        self.evicted_count = 0
        self.refused_count = 0
        self._guaranteed = max(1, int(limit * GUARANTEED_FRACTION))
        self._by_group: dict[Group, dict[LimitedConnection, float]] = {}
        self._unopened: dict[LimitedConnection, tuple[Group, float]] = {}

    @property
    def count(self) -> int:
        """The connections that are open or being opened."""
        return sum(map(len, self._by_group.values())) + len(self._unopened)

    def accept(self, connection: LimitedConnection, group: Group) -> bool:
        """Count an accepted connection; return False if it has to close.

        :param group: those that share a listener
        """
        if self.count >= self.limit:
            self._make_room()
        if self.count >= self.limit and not self._is_guaranteed(group):
            self.refused_count += 1
            log_failure(
                "connection.refused", open=self.count, limit=self.limit
            )
            return False
        self._unopened[connection] = (group, time.monotonic())
        return True

    def open(self, connection: LimitedConnection) -> None:
        """Record that an accepted connection is open."""
        group, at = self._unopened.pop(connection, (None, time.monotonic()))
        self._by_group.setdefault(group, {})[connection] = at

    def close(self, connection: LimitedConnection) -> None:
        """Remove a connection that has closed; it may be unknown."""
        self._unopened.pop(connection, None)
        for connections in self._by_group.values():
            connections.pop(connection, None)

    def _is_guaranteed(self, group: Group) -> bool:
        unopened = sum(g == group for g, _ in self._unopened.values())
        opened = len(self._by_group.get(group, ()))
        return opened + unopened < self._guaranteed

    def _make_room(self) -> None:
        """Close connections of the group that has most."""
        now = time.monotonic()
        for connection, (_, at) in list(self._unopened.items()):
            if now - at > UNOPENED_SECONDS:
                del self._unopened[connection]
        largest = max(self._by_group.values(), key=len, default={})
        ranked = sorted(
            (rank, number, connection)
            for number, connection in enumerate(largest)
            if (rank := connection.eviction_rank) is not None
        )
        for rank, _, connection in ranked[:EVICTION_BATCH]:
            log_failure(
                "connection.evicted",
                rank=rank[0].name.lower(),
                seconds=round(now - rank[1], 3),
                open=self.count,
                limit=self.limit,
            )
            self.evicted_count += 1
            del largest[connection]
            connection.evict()

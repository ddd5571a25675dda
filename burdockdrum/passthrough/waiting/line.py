"""A bounded line of requests that wait at this entry for capacity.

It has no clock and no sockets: the caller gives the time and asks the policy
about each request.
"""

import bisect
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
import itertools

# Requests whose capacity is asked for in one check. A request behind the first
# may be accepted by an endpoint or a region that the first may not use.
MAX_ASKED = 4
# Memory of a waiting request beside its body.
REQUEST_OVERHEAD_BYTES = 8_000
DEFAULT_MAX_BYTES = 8_000_000


@dataclass(kw_only=True, eq=False)
class WaitingRequest:
    """A request in the line.

    ``order`` of its team comes after the rank; lower is sent first. ``until``
    is the monotonic time after which it is useless to wait longer, ``work``
    what it takes of an engine, in seconds.
    """

    service: str
    rank: int
    arrived_at: float
    until: float
    work: float
    order: float = 0.0
    body_bytes: int = 0
    number: int = field(default=0)

    @property
    def key(self) -> tuple[int, float, float, int]:
        """Return what the line is ordered by."""
        return (
            self.rank,
            self.order,
            self.until,
            self.number,
        )

    @property
    def held_bytes(self) -> int:
        """Return the memory that it takes while it waits."""
        return self.body_bytes + REQUEST_OVERHEAD_BYTES


class WaitingLine:
    """The requests that wait at this entry, by service, in order.

    The order is by rank, then by the order of the team, then by the time left.
    """

    def __init__(self, *, max_bytes: int = DEFAULT_MAX_BYTES) -> None:
        """Create an empty line.

        :param max_bytes: limit of the memory of all waiting requests
        """
        self._max_bytes = max_bytes
        self._numbers = itertools.count()
        self._lines_by_service: dict[str, list[WaitingRequest]] = {}
        self.held_bytes = 0

    def __len__(self) -> int:
        """Return how many requests wait."""
        return sum(map(len, self._lines_by_service.values()))

    def has(self, service: str) -> bool:
        """Return whether a request of a service waits."""
        return bool(self._lines_by_service.get(service))

    def services(self) -> list[str]:
        """Return the services that requests wait for."""
        return list(self._lines_by_service)

    def in_order(self, service: str) -> Iterator[WaitingRequest]:
        """Return the waiting requests of a service, the first one first."""
        return iter(tuple(self._lines_by_service.get(service, ())))

    def work_ahead(self, request: WaitingRequest) -> float:
        """Return the seconds of work of those that are sent before it."""
        ahead = 0.0
        for other in self._lines_by_service.get(request.service, ()):
            if other.key >= request.key:
                break
            ahead += other.work
        return ahead

    def add(self, request: WaitingRequest) -> list[WaitingRequest] | None:
        """Add a request; if the line is full, displace less urgent ones.

        :returns: those displaced, which are to be refused, or None if the
            request itself finds no room
        """
        request.number = next(self._numbers)
        room = self._max_bytes - self.held_bytes - request.held_bytes
        displaced: list[WaitingRequest] = []
        for last in self._from_last():
            if room >= 0:
                break
            if last.rank <= request.rank:
                return None
            displaced.append(last)
            room += last.held_bytes
        if room < 0:
            return None
        for last in displaced:
            self.remove(last)
        line = self._lines_by_service.setdefault(request.service, [])
        bisect.insort(line, request, key=lambda waiting: waiting.key)
        self.held_bytes += request.held_bytes
        return displaced

    def remove(self, request: WaitingRequest) -> None:
        """Remove a request; without effect if it no longer waits."""
        line = self._lines_by_service.get(request.service, [])
        index = bisect.bisect_left(
            line, request.key, key=lambda waiting: waiting.key
        )
        if index < len(line) and line[index] is request:
            del line[index]
            self.held_bytes -= request.held_bytes
        if not line:
            self._lines_by_service.pop(request.service, None)

    def take_ready(
        self, service: str, is_accepted: Callable[[WaitingRequest], bool]
    ) -> WaitingRequest | None:
        """Remove and return the first request that is accepted now.

        A few are asked for in order: capacity is not left idle because the
        first may not use it.
        """
        for request in itertools.islice(self.in_order(service), MAX_ASKED):
            if is_accepted(request):
                self.remove(request)
                return request
        return None

    def take_overdue(self, service: str, now: float) -> list[WaitingRequest]:
        """Remove and return the requests that should not wait any longer."""
        overdue = [
            request
            for request in self._lines_by_service.get(service, ())
            if request.until <= now
        ]
        for request in overdue:
            self.remove(request)
        return overdue

    def take_all(self) -> list[WaitingRequest]:
        """Remove and return all requests."""
        waiting = self._from_last()
        self._lines_by_service.clear()
        self.held_bytes = 0
        return waiting

    def _from_last(self) -> list[WaitingRequest]:
        """Return all requests, the least urgent and last first."""
        waiting = itertools.chain.from_iterable(
            self._lines_by_service.values()
        )
        return sorted(waiting, key=lambda request: request.key, reverse=True)

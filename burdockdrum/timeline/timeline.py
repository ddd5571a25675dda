"""The most recent events of one process, in a bounded buffer."""

import collections
from collections.abc import Callable
from collections.abc import Iterable

import msgspec

from burdockdrum.timeline.hybrid_clock import HybridClock
from burdockdrum.timeline.hybrid_clock import Stamp

DEFAULT_CAPACITY = 10_000


class Event(msgspec.Struct, frozen=True, kw_only=True):
    """An event in one process."""

    stamp: Stamp
    process: str
    incarnation: int
    name: str
    request_id: str | None = None
    revision: int | None = None
    details: dict[str, str | int | float | bool | None] = {}


class Timeline:
    """A bounded record of events in order."""

    def __init__(
        self,
        *,
        process: str,
        incarnation: int,
        clock: HybridClock,
        capacity: int = DEFAULT_CAPACITY,
        sink: Callable[[Event], None] | None = None,
    ) -> None:
        """Create an empty timeline.

        :param process: the VM's id
        :param incarnation: identifies one start of the VM's process
        :param capacity: number of events to keep; the oldest are dropped
        :param sink: called with each event, for example to log it
        """
        self._sink = sink
        self.clock = clock
        self._process = process
        self._incarnation = incarnation
        self._events = collections.deque[Event](maxlen=capacity)

    def record(
        self,
        name: str,
        *,
        request_id: str | None = None,
        revision: int | None = None,
        **details: str | int | float | bool | None,
    ) -> Event:
        """Record an event with the current timestamp.

        :param name: a noun and a past participle, such as
            ``endpoint.announced``
        """
        event = Event(
            stamp=self.clock.tick(),
            process=self._process,
            incarnation=self._incarnation,
            name=name,
            request_id=request_id,
            revision=revision,
            details=details,
        )
        self._events.append(event)
        if self._sink is not None:
            self._sink(event)
        return event

    def events(
        self,
        *,
        prefix: str = "",
        request_id: str | None = None,
        revision: int | None = None,
    ) -> list[Event]:
        """Return the kept events that match all filters, oldest first."""
        return [
            event
            for event in self._events
            if event.name.startswith(prefix)
            and request_id in (None, event.request_id)
            and revision in (None, event.revision)
        ]


def merge(events: Iterable[Event]) -> list[Event]:
    """Merge the events of several processes in timestamp order."""
    return sorted(events, key=lambda event: (event.stamp, event.process))

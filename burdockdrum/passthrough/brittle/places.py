"""A place at a brittle endpoint, as the entry that uses it has it."""

from collections.abc import Callable
from dataclasses import dataclass

from burdockdrum.passthrough.brittle.messages import PlaceEvent

FINAL_EVENTS = frozenset(PlaceEvent) - {PlaceEvent.ACCEPTED}


class Place:
    """The right to send one request to an endpoint."""

    def __init__(self, *, report: Callable[[PlaceEvent], None]) -> None:
        """Create a place that is in use.

        :param report: called with what becomes of it, once each
        """
        self._report = report
        self._is_accepted = False
        self._is_ended = False

    def record(self, event: PlaceEvent) -> None:
        """Report what became of it, unless it has ended already."""
        if self._is_ended:
            return
        if event in FINAL_EVENTS:
            self._is_ended = True
        elif self._is_accepted:
            return
        else:
            self._is_accepted = True
        self._report(event)


@dataclass(frozen=True, kw_only=True)
class PlaceDenied:
    """No place is free; one is expected in ``retry_after`` seconds."""

    retry_after: float

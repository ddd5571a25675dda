"""Split a stream of server-sent events into complete events.

Follows the section on server-sent events of the HTML standard: an empty line
ends an event, and an ``id:`` line holds its number.
"""

import re

from burdockdrum.http1 import parse_count

_EVENT_ID = re.compile(rb"^id:[ ]?(\d+)\r?$", re.MULTILINE)
_EVENT_END = re.compile(rb"\r?\n\r?\n")
# Bounds the memory for a stream whose events never end; an event normally
# holds a few tokens.
MAX_EVENT_BYTES = 256 * 1024


class InvalidEventStream(Exception):
    """The data is not an event stream, or an event is missing."""


class ResumableEventSplitter:
    """Passes on complete events, each number once and in order.

    An incomplete event is buffered and not passed on, so that after a failure
    another endpoint can resume the stream with that event.
    """

    def __init__(self, *, last_number: int | None) -> None:
        """Create a splitter for the events after ``last_number``.

        :param last_number: the last event the caller has, None if unknown
        """
        self.last_number = last_number
        self._partial_event = b""

    @property
    def has_partial_event(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return bool(self._partial_event.strip())

    def start_attempt(self) -> None:
        """Discard the incomplete event of the previous attempt."""
        self._partial_event = b""

    def feed(self, chunk: bytes) -> bytes:
        """Add data and return the events that it completes.

        :raises InvalidEventStream: if an event is missing or too large
        """
        data = self._partial_event + chunk
        out = []
        begin = 0
        for match in _EVENT_END.finditer(data):
            event = data[begin : match.end()]
            begin = match.end()
            if self._is_new(event):
                out.append(event)
        self._partial_event = data[begin:]
        if len(self._partial_event) > MAX_EVENT_BYTES:
            raise InvalidEventStream(f"event exceeds {MAX_EVENT_BYTES} bytes")
        return b"".join(out)

    def _is_new(self, event: bytes) -> bool:
        found = _EVENT_ID.search(event)
        if found is None:
            return True
        number = parse_count(found.group(1))
        if number is None:
            raise InvalidEventStream("an event has an invalid number")
        last = self.last_number
        if last is not None and number <= last:
            return False
        if last is not None and number > last + 1:
            raise InvalidEventStream(f"event {last + 1} is missing")
        self.last_number = number
        return True

"""Cut a stream of server-sent events into whole events.

After the HTML standard's section on server-sent events: an event ends with
an empty line, its number stands in a line ``id:``.
"""

import re

_ID = re.compile(rb"^id:[ ]?(\d+)\r?$", re.MULTILINE)
_END = re.compile(rb"\r?\n\r?\n")
# An event holds a few tokens; a stream without an end to its events is not
# one, and must not fill the memory.
MAX_EVENT_BYTES = 256 * 1024


class BrokenEvents(Exception):
    """What came is no stream of events, or misses one."""


class EventCutter:
    """Whole events in, whole events out, each number once and in order.

    What is not a whole event is held back: where an endpoint stops in the
    middle of one, another can go on before it.
    """

    def __init__(self, *, last_number: int | None) -> None:
        """Start after an event, None where the numbers are not known."""
        self.last_number = last_number
        self._rest = b""

    @property
    def has_rest(self) -> bool:
        """Say whether an event has begun and not ended."""
        return bool(self._rest.strip())

    def begin_run(self) -> None:
        """Forget the part of an event that the run before left."""
        self._rest = b""

    def feed(self, part: bytes) -> bytes:
        """Take bytes and return the events that they complete.

        :raises BrokenEvents: if an event is missing or has no end
        """
        data = self._rest + part
        out = []
        begin = 0
        for match in _END.finditer(data):
            event = data[begin : match.end()]
            begin = match.end()
            if self._is_new(event):
                out.append(event)
        self._rest = data[begin:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise BrokenEvents("an event is too large")
        return b"".join(out)

    def _is_new(self, event: bytes) -> bool:
        found = _ID.search(event)
        if found is None:
            return True
        number = int(found.group(1))
        last = self.last_number
        if last is not None and number <= last:
            return False
        if last is not None and number > last + 1:
            raise BrokenEvents(f"event {last + 1} is missing")
        self.last_number = number
        return True

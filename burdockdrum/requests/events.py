"""Parsing of server-sent events for relaying a streamed completion.

After the HTML Living Standard, "Server-sent events". An event's ``id`` is the
offset in tokens after it, from which a broken stream is resumed;
``data: [DONE]`` is the terminal marker.
"""

import msgspec

from burdockdrum.http1 import parse_count
from burdockdrum.verdicts import Refusal

MAX_EVENT_BYTES = 1024 * 1024
_DONE = b"data: [DONE]"
_UNFINISHED = b'"finish_reason":null'
_ID_FIELD = b'"id":"'
_REQUEST_ID_PREFIX = b"req-"


class EventTooLarge(Exception):
    """An event exceeds ``MAX_EVENT_BYTES``."""


class EventSplitter:
    """Splits a byte stream into events."""

    def __init__(self) -> None:
        """Create a splitter with an empty buffer."""
        self._buffer = b""

    def feed(self, chunk: bytes) -> list[bytes]:
        """Return the events that a chunk completes, each with its blank line.

        :raises EventTooLarge: if an event exceeds the limit
        """
        if b"\r" in chunk:
            chunk = chunk.replace(b"\r\n", b"\n")
        if self._buffer:
            chunk = self._buffer + chunk
        parts = chunk.split(b"\n\n")
        self._buffer = parts.pop()
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLarge(f"over {MAX_EVENT_BYTES} bytes")
        return [part + b"\n\n" for part in parts if part]


def is_done(event: bytes) -> bool:
    """Return whether an event is the terminal marker."""
    # JSON text contains no literal line break, so the marker within the text
    # of an answer is not matched.
    return event.startswith(_DONE) or b"\n" + _DONE in event


def is_error(event: bytes) -> bool:
    """Return whether an event reports that the stream failed."""
    return event.startswith(b"event: error")


def is_unfinished(event: bytes) -> bool:
    """Return whether an event has no finish reason yet."""
    return _UNFINISHED in event


def read_offset(event: bytes) -> int | None:
    """Return the token offset of an event, or None if it has no valid id."""
    if not event.startswith(b"id:"):
        return None
    return parse_count(event[3 : event.index(b"\n")])


def has_other_request_id(content: bytes, request_id: bytes) -> bool:
    """Return whether an answer has the id of another gateway request.

    This guards against engines that mix up two streams, which would expose
    one caller's answer to another. Ids of other formats are ignored.
    """
    start = content.find(_ID_FIELD)
    if start < 0:
        return False
    start += len(_ID_FIELD)
    if not content.startswith(_REQUEST_ID_PREFIX, start):
        return False
    return not content.startswith(request_id + b'"', start)


class _ErrorBody(msgspec.Struct, frozen=True, kw_only=True):
    code: str
    message: str
    request_id: str
    verdict: str


class _ErrorData(msgspec.Struct, frozen=True):
    error: _ErrorBody


def make_error_event(refusal: Refusal, request_id: str) -> bytes:
    """Return the error event that ends an incomplete stream."""
    body = _ErrorBody(
        code=refusal.code.value,
        message=refusal.message,
        request_id=request_id,
        verdict=refusal.verdict.value,
    )
    data = msgspec.json.encode(_ErrorData(body))
    return b"event: error\ndata: " + data + b"\n\n"

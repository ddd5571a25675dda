"""Server-sent events of a streamed completion, as far as relaying needs.

After the HTML Living Standard, "Server-sent events". An event's ``id`` is
the number of tokens sent with it, from which a broken stream is resumed;
``data: [DONE]`` is the terminal marker.
"""

import msgspec

from burdockdrum.verdicts import Refusal

MAX_EVENT_BYTES = 1024 * 1024
_DONE = b"data: [DONE]"
_UNFINISHED = b'"finish_reason":null'
_ID_FIELD = b'"id":"'
_OWN_IDS = b"req-"


class EventTooLarge(Exception):
    """An event did not end within the bound."""


class EventSplitter:
    """Cut a byte stream into events."""

    def __init__(self) -> None:
        """Start before the first event."""
        self._rest = b""

    def feed(self, chunk: bytes) -> list[bytes]:
        """Return the events that a chunk completes, each with its end.

        :raises EventTooLarge: if one is over the bound
        """
        if b"\r" in chunk:
            chunk = chunk.replace(b"\r\n", b"\n")
        if self._rest:
            chunk = self._rest + chunk
        parts = chunk.split(b"\n\n")
        self._rest = parts.pop()
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EventTooLarge(f"over {MAX_EVENT_BYTES} bytes")
        return [part + b"\n\n" for part in parts if part]


def is_done(event: bytes) -> bool:
    """Say whether an event is the terminal marker."""
    # A line break can't stand in JSON text, so an answer that speaks of the
    # marker is not taken for it.
    return event.startswith(_DONE) or b"\n" + _DONE in event


def is_error(event: bytes) -> bool:
    """Say whether an event tells that the stream failed."""
    return event.startswith(b"event: error")


def is_unfinished(event: bytes) -> bool:
    """Say whether an event carries tokens and not the reason of the end."""
    return _UNFINISHED in event


def read_offset(event: bytes) -> int | None:
    """Return how many tokens were sent with an event, if it says so."""
    if not event.startswith(b"id:"):
        return None
    digits = event[3 : event.index(b"\n")].strip()
    return int(digits) if digits.isdigit() else None


def is_of_other(content: bytes, request_id: bytes) -> bool:
    """Say whether an answer bears the id of another request of ours.

    An engine that mixes up two streams must not show one caller another's
    answer. Ids that the gateway did not make say nothing.
    """
    start = content.find(_ID_FIELD)
    if start < 0:
        return False
    start += len(_ID_FIELD)
    if not content.startswith(_OWN_IDS, start):
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
    """Return the event that ends a stream which can't be completed."""
    body = _ErrorBody(
        code=refusal.code.value,
        message=refusal.message,
        request_id=request_id,
        verdict=refusal.verdict.value,
    )
    data = msgspec.json.encode(_ErrorData(body))
    return b"event: error\ndata: " + data + b"\n\n"

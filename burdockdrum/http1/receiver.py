"""Parse the requests of one connection, within its limits.

Everything that a request holds is counted as it is allocated: a header costs
more than its bytes, and a body is one buffer whatever its chunks are.
"""

from collections.abc import Callable
import io
import time
from typing import Protocol

import httptools

from burdockdrum.http1.heads import find_header
from burdockdrum.http1.heads import Headers
from burdockdrum.http1.numbers import parse_count
from burdockdrum.http1.overhead import FRAMING_BYTES_PER_BODY_BYTE
from burdockdrum.http1.requests import RequestHead
from burdockdrum.overload import HEADER_OVERHEAD_BYTES

# The parser does not stop inside what it is given, so it gets small slices;
# a part of a body whose length is known holds nothing else.
SLICE_BYTES = 1024
# One read. Chunks may be small, and each costs a call.
HEAD_READ_BYTES = 16 * 1024
CHUNKED_READ_BYTES = 4 * 1024
MAX_READ_BYTES = 64 * 1024
# A request, its task's frames and its exchange.
REQUEST_OVERHEAD_BYTES = 1024
# A growing buffer allocates an eighth more than it needs.
_SPARE_SHIFT = 3
# ": " and a line end.
_HEADER_LINE_BYTES = 4


class ReceiverLimits(Protocol):
    """The limits that a receiver reads before it applies them."""

    @property
    def header_bytes(self) -> int:
        """The maximum size of a request's head."""
        ...

    @property
    def body_bytes(self) -> int:
        """The maximum size of a request's body."""
        ...


class RequestReceiver:
    """Parses bytes to requests, one slice at a time."""

    def __init__(
        self,
        *,
        limits: ReceiverLimits,
        connected_at: float,
        deliver: Callable[[RequestHead, int], None],
        reject: Callable[[int, str], None],
        send_continue: Callable[[], None],
    ) -> None:
        """Create a receiver for a new connection.

        :param deliver: called with each request and the bytes that it holds
        :param reject: called once with the status and the reason
        """
        self._limits = limits
        self._connected_at = connected_at
        # Set once the connection is open.
        self.peer_host = ""
        self._deliver = deliver
        self._reject_request = reject
        self._send_continue = send_continue
        self._parser = httptools.HttpRequestParser(self)
        self.is_rejected = False
        self._body_left: int | None = 0
        self.received_at = 0.0
        self._reset()

    @property
    def size(self) -> int:
        """The bytes that the incomplete request holds."""
        return self._head_size + self._headers_size + self._body_capacity

    @property
    def headers(self) -> Headers:
        """The headers of the incomplete request, if all have arrived."""
        return self._headers if self._head_complete else []

    @property
    def is_chunked(self) -> bool:
        """Whether a body in chunks is being received."""
        return self._head_complete and self._body_left is None

    @property
    def read_size(self) -> int:
        """How many bytes to read at once."""
        if not self._head_complete or self.is_rejected:
            return HEAD_READ_BYTES
        return CHUNKED_READ_BYTES if self.is_chunked else MAX_READ_BYTES

    def next_slice(self) -> int:
        """Return how many bytes to feed next."""
        return max(SLICE_BYTES, self._body_left or 0)

    def feed(self, data: memoryview, arrived_at: float) -> None:
        """Parse a slice.

        :param arrived_at: when it was read, by the monotonic clock
        """
        self._arrived_at = arrived_at
        if not self.received_at:
            self.received_at = arrived_at
        is_in_body = self._head_complete
        request, body_size = self._body, self._body_size
        if not is_in_body:
            self._head_size += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.reject(400, "an upgrade is not supported")
        except httptools.HttpParserError as error:
            self.reject(400, f"not HTTP/1.1: {error}")
        too_large = self._head_size > 2 * self._limits.header_bytes
        if not self._head_complete and too_large:
            self.reject(431, "the head is too large")
        if is_in_body and self._body is request:
            self._count_framing(len(data), self._body_size - body_size)

    def reject(self, status: int, reason: str) -> None:
        """Give up the incomplete request, and all that follows it."""
        if self.is_rejected:
            return
        self.is_rejected = True
        self._reset()
        self._reject_request(status, reason)

    def on_message_begin(self) -> None:
        """Record the arrival of a request that follows another one."""
        if not self.received_at:
            self.received_at = self._arrived_at

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        if not self.is_rejected:
            self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header of the request; trailers are dropped."""
        if self._head_complete or self.is_rejected:
            return
        self._headers.append((name, value))
        self._headers_size += HEADER_OVERHEAD_BYTES
        self._parsed_size += len(name) + len(value) + _HEADER_LINE_BYTES
        if self._parsed_size > self._limits.header_bytes:
            self.reject(431, "the head is too large")

    def on_headers_complete(self) -> None:
        """Check the limits before the body is read."""
        if self.is_rejected:
            return
        self._head_complete = True
        if self._parsed_size + len(self._target) > self._limits.header_bytes:
            self.reject(431, "the head is too large")
            return
        # The parser rejects a length that is not a number; parse_count
        # returns None for one with too many digits.
        length = find_header(self._headers, b"content-length")
        is_chunked = find_header(self._headers, b"transfer-encoding")
        size = parse_count(length or b"0")
        if size is None or size > self._limits.body_bytes:
            self.reject(413, "the body is too large")
            return
        self._body_left = size if is_chunked is None else None
        expect = find_header(self._headers, b"expect")
        if expect is not None and expect.lower() == b"100-continue":
            self._send_continue()

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        if self.is_rejected:
            return
        self._body_size += len(body)
        if self._body_size > self._limits.body_bytes:
            self.reject(413, "the body is too large")
            return
        if self._body_left is not None:
            self._body_left -= len(body)
        self._body.write(body)

    def on_message_complete(self) -> None:
        """Deliver the complete request."""
        if self.is_rejected:
            return
        request = RequestHead(
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
            # Not a copy.
            body=self._body.getvalue(),
            keep_alive=self._parser.should_keep_alive(),
            received_at=self.received_at,
            knows_chunks=self._parser.get_http_version() != "1.0",
            connected_at=self._connected_at,
            peer_host=self.peer_host,
        )
        size = self.size + REQUEST_OVERHEAD_BYTES
        self._reset()
        self._deliver(request, size)

    def _reset(self) -> None:
        self._target = b""
        self._headers: Headers = []
        self._head_complete = False
        # As it was read, as it was parsed, and the cost of its headers.
        self._head_size = 0
        self._parsed_size = 0
        self._headers_size = 0
        self._body = io.BytesIO()
        self._body_size = 0
        # None if the body is in chunks.
        self._body_left = 0
        # Chunk sizes, chunk extensions and trailers, in bytes.
        self._framing_size = 0
        # When the first byte of the request arrived, 0 if none has.
        self.received_at = 0.0
        self._arrived_at = time.monotonic()

    @property
    def _body_capacity(self) -> int:
        return self._body_size + (self._body_size >> _SPARE_SHIFT)

    def _count_framing(self, size: int, body_size: int) -> None:
        """Count chunk sizes, chunk extensions and trailers, in bytes."""
        justified = FRAMING_BYTES_PER_BODY_BYTE * body_size
        rest = size - body_size - justified
        self._framing_size = max(0, self._framing_size + rest)
        if self._framing_size > 2 * self._limits.header_bytes:
            self.reject(400, "too much is sent beside the body")

"""Client connections to endpoints and other VMs.

A connection carries one request at a time and is reused only while it is
certain that no byte of another response is pending on it.
"""

import asyncio
import collections
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

import httptools

from burdockdrum.http1.heads import find_all_headers
from burdockdrum.http1.heads import find_header
from burdockdrum.http1.heads import Headers
from burdockdrum.http1.numbers import parse_count
from burdockdrum.http1.overhead import LimitExceeded
from burdockdrum.http1.overhead import OverheadCounter
from burdockdrum.http1.overhead import ResponseKind
from burdockdrum.http1.sockets import enable_keepalive
from burdockdrum.http1.sockets import has_unread
from burdockdrum.http1.sockets import has_unsent
from burdockdrum.http1.statuses import check_status
from burdockdrum.http1.statuses import InvalidStatus
from burdockdrum.http1.statuses import MIN_ERROR_STATUS
from burdockdrum.http1.statuses import MIN_FINAL_STATUS
from burdockdrum.logs import log_failure

MAX_BUFFERED_BYTES = 128 * 1024
# Used when a server sends no Keep-Alive timeout; most servers close idle
# connections after five seconds or more.
DEFAULT_IDLE_TIMEOUT_SECONDS = 4.0
# Applied to the server's Keep-Alive timeout, so that a request is not lost
# by being sent while the server closes the connection.
IDLE_TIMEOUT_FACTOR = 0.7
# The last requests of a connection, of whose responses a server may send
# another copy.
MAX_REMEMBERED_IDS = 64


class ResponseLost(Exception):
    """The response was truncated or malformed after the request was sent."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ResponseHead:
    """The status and headers of a response; names keep their case."""

    status: int
    headers: Headers

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of a header; the name is in lower case."""
        return find_header(self.headers, name)

    def find_all(self, name: bytes) -> list[bytes]:
        """Return every value of a header; the name is in lower case."""
        return find_all_headers(self.headers, name)


class ClientConnection(asyncio.Protocol):
    """A connection that carries one request at a time.

    A response that names another request's id is skipped. A connection that
    receives bytes after the end of a response is not reused. What is not body
    of the expected response is limited; over a limit the connection ends.
    """

    def __init__(self, *, id_header: bytes) -> None:
        """Create a connection that is not open yet.

        :param id_header: the response header that carries the id of the
            request, in lower case
        """
        self._id_header = id_header
        self._expected_id: bytes | None = None
        self._carried_ids: collections.deque[bytes] = collections.deque(
            maxlen=MAX_REMEMBERED_IDS
        )
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: Headers = []
        self._head: ResponseHead | None = None
        # One buffer, as a peer may send small chunks.
        self._buffer = bytearray()
        self._overhead = OverheadCounter()
        # Of the expected response, in the current read.
        self._body_bytes = 0
        self._paused = False
        self._complete = True
        self._kind = ResponseKind.EXPECTED
        self._dirty = False
        self._error: Exception | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._keep_alive = True
        self._has_framing = False
        self.idle_timeout_seconds = DEFAULT_IDLE_TIMEOUT_SECONDS
        self.on_lost: Callable[[], None] | None = None

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent."""
        return (
            self._complete
            and self._keep_alive
            and not self._dirty
            and self._error is None
            and self._transport is not None
            and not self._transport.is_closing()
        )

    @property
    def has_unread(self) -> bool:
        """Whether the peer has sent something that is not read yet."""
        return self._transport is not None and has_unread(self._transport)

    def may_carry(self, request_id: bytes | None) -> bool:
        """Return whether no recent request of this connection had the id.

        Else a response with it may be to the earlier request.
        """
        return request_id not in self._carried_ids

    def send(
        self, payload: bytes, request_id: bytes | None, *, body: bytes = b""
    ) -> None:
        """Send a complete request.

        :param body: sent after the payload, and not copied
        :param request_id: the id that the response must carry, None for any
        """
        assert self._transport is not None
        self._expected_id = request_id
        if request_id is not None:
            self._carried_ids.append(request_id)
        self._complete = False
        self._head = None
        self._headers = []
        self._buffer.clear()
        self._overhead.begin_request()
        self._transport.writelines([payload, body] if body else [payload])

    async def read_head(self) -> ResponseHead:
        """Wait for the head of the response.

        :raises ResponseLost: if the connection ends before it arrives
        """
        while self._head is None:
            await self._wait()
        return self._head

    async def read_part(self) -> bytes | None:
        """Return the next part of the body, or None at the end.

        :raises ResponseLost: if the connection ends before the body does
        """
        while not self._buffer:
            if self._complete:
                return None
            await self._wait()
        part = bytes(self._buffer)
        self._buffer.clear()
        if self._paused and self._transport is not None:
            self._paused = False
            self._transport.resume_reading()
        return part

    def close(self) -> None:
        """Abort the connection, which cancels a request still running."""
        self._dirty = True
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enable TCP keepalive."""
        # uvloop's transports have the methods but not the base class.
        self._transport = cast(asyncio.Transport, transport)
        enable_keepalive(transport)

    def eof_received(self) -> None:
        """Complete an unframed response, unless it is a part of one.

        A success before the request was sent shows an endpoint in trouble:
        a reset may follow, and the rest of the response is lost.
        """
        if self._complete or self._error is not None or self._head is None:
            return
        if self._has_framing:
            return
        assert self._transport is not None
        is_success = self._head.status < MIN_ERROR_STATUS
        if is_success and has_unsent(self._transport):
            self._fail(EOFError("closed before the request was sent"))
        else:
            self._complete = True
        self._keep_alive = False
        self._wake()

    def connection_lost(self, error: Exception | None) -> None:
        """Fail a response that is incomplete."""
        if not self._complete:
            self._fail(error or EOFError("closed by the peer"))
        self._keep_alive = False
        self._dirty = True
        self._wake()
        if self.on_lost is not None:
            self.on_lost()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; pause reading when the buffer is full."""
        if self._complete:
            self._end_surplus()
            return
        self._body_bytes = 0
        try:
            self._parser.feed_data(data)
            if not self._complete:
                self._overhead.end_read(len(data), self._body_bytes)
        except httptools.HttpParserUpgrade:
            self._fail(ValueError("the peer changed the protocol"))
        except (httptools.HttpParserError, LimitExceeded) as error:
            if not self._complete:
                self._fail(self._overhead.exceeded or _find_cause(error))
            self._dirty = True
        if self._complete and self._dirty:
            # The part of the body that was received is still read.
            self._end_surplus()
        is_full = len(self._buffer) > MAX_BUFFERED_BYTES
        if is_full and not self._paused and not self._dirty:
            assert self._transport is not None
            self._paused = True
            self._transport.pause_reading()
        self._wake()

    def on_message_begin(self) -> None:
        """Start a response; one that follows a complete one is stray."""
        self._headers = []
        if self._complete:
            self._dirty = True
        else:
            self._overhead.begin_head()

    def on_status(self, reason: bytes) -> None:
        """Count the reason phrase."""
        if not self._dirty:
            self._overhead.add_status(reason)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header of the response; trailers are dropped."""
        if not self._dirty and self._overhead.add_header(name, value):
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Decide whether the response is interim, stray or the expected."""
        if self._dirty:
            return
        status = self._parser.get_status_code()
        check_status(status)
        head = ResponseHead(status=status, headers=self._headers)
        self._kind = self._kind_of(head)
        self._overhead.end_head(self._kind)
        if self._kind is not ResponseKind.EXPECTED:
            return
        self._has_framing = (
            head.find(b"content-length") is not None
            or head.find(b"transfer-encoding") is not None
        )
        self._update_idle_timeout(head)
        self._head = head

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body."""
        if self._dirty:
            return
        if self._kind is not ResponseKind.EXPECTED:
            self._overhead.skip_body(len(body))
            return
        self._buffer += body
        self._body_bytes += len(body)

    def on_message_complete(self) -> None:
        """Complete the response unless it was interim or skipped."""
        if self._dirty:
            return
        if self._kind is not ResponseKind.EXPECTED:
            self._overhead.begin_head()
            return
        self._keep_alive = self._parser.should_keep_alive()
        self._complete = True

    def _kind_of(self, head: ResponseHead) -> ResponseKind:
        if head.status < MIN_FINAL_STATUS:
            return ResponseKind.INTERIM
        named = head.find(self._id_header)
        if self._expected_id in (None, named) or named is None:
            return ResponseKind.EXPECTED
        return ResponseKind.SKIPPED

    def _end_surplus(self) -> None:
        """Close a connection that received bytes of no request."""
        assert self._transport is not None
        log_failure(
            "connection.closed",
            address=str(self._transport.get_extra_info("peername")),
            reason="bytes that belong to no request",
        )
        self.close()

    def _update_idle_timeout(self, head: ResponseHead) -> None:
        value = head.find(b"keep-alive")
        if value is None:
            return
        for item in value.split(b","):
            name, _, number = item.strip().partition(b"=")
            seconds = parse_count(number)
            if name.lower() == b"timeout" and seconds is not None:
                self.idle_timeout_seconds = seconds * IDLE_TIMEOUT_FACTOR

    async def _wait(self) -> None:
        if self._error is not None:
            raise ResponseLost(_describe(self._error)) from self._error
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _fail(self, error: Exception) -> None:
        """End the response, and the connection at once."""
        if self._error is None:
            self._error = error
        self.close()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def _find_cause(error: Exception) -> Exception:
    """Return what a callback of the parser raised, else the error."""
    cause = error.__context__
    return cause if isinstance(cause, InvalidStatus) else error


def _describe(error: Exception) -> str:
    if isinstance(error, LimitExceeded):
        return str(error)
    return repr(error)

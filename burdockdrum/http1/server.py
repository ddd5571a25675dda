"""One connection of a caller: its requests, one after the other."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time
from typing import cast
from typing import Protocol

import httptools
from loguru import logger

from burdockdrum.http1.heads import encode_response
from burdockdrum.http1.heads import find_header
from burdockdrum.http1.heads import Headers
from burdockdrum.http1.numbers import parse_count
from burdockdrum.http1.requests import Fault
from burdockdrum.http1.requests import RequestHead
from burdockdrum.http1.sockets import watch_peer

MAX_WAITING_REQUESTS = 2
# How much of an answer waits in memory for a caller that reads slowly.
WRITE_HIGH_WATER = 64 * 1024
_LAST_CHUNK = b"0\r\n\r\n"


class ListenerFace(Protocol):
    """What a connection asks of its listener."""

    draining: bool

    @property
    def header_bytes(self) -> int:
        """Return the largest head taken."""
        ...

    @property
    def body_bytes(self) -> int:
        """Return the largest body taken."""
        ...

    @property
    def header_seconds(self) -> float:
        """Return how long a head, or a body, may take to arrive."""
        ...

    @property
    def idle_seconds(self) -> float:
        """Return how long a connection may be idle."""
        ...

    def note_opened(self, connection: "ServerConnection") -> None:
        """Take note of a connection."""
        ...

    def note_closed(self, connection: "ServerConnection") -> None:
        """Take note of the end of a connection."""
        ...


class Exchange:
    """A request and the answer to it.

    Either ``answer`` is called once, or ``start``, ``write`` and
    ``finish``. An exchange that ends without ``finish`` cuts the connection,
    so that a part of an answer never looks whole.
    """

    def __init__(
        self, *, request: RequestHead, connection: "ServerConnection"
    ) -> None:
        """Create the exchange of a request."""
        self.request = request
        self.started = False
        self.finished = False
        self._connection = connection
        self._chunked = False

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        length = (b"content-length", b"%d" % len(body))
        head = self._encode_head(status, [*headers, length])
        self.started = True
        if self.request.method == b"HEAD":
            body = b""
        self._connection.write(head + body)
        self.finished = True

    def start(self, status: int, headers: Headers) -> None:
        """Send the head of an answer whose length is not known."""
        self._chunked = True
        self.started = True
        chunked = (b"transfer-encoding", b"chunked")
        self._connection.write(self._encode_head(status, [*headers, chunked]))

    def write(self, part: bytes) -> None:
        """Send a part of the body."""
        if part:
            self._connection.write(b"%x\r\n%s\r\n" % (len(part), part))

    async def drain(self) -> None:
        """Wait while the caller reads more slowly than it is sent to."""
        await self._connection.drain()

    def finish(self) -> None:
        """Send the end of a body whose length was not known."""
        self._connection.write(_LAST_CHUNK)
        self.finished = True

    def _encode_head(self, status: int, headers: Headers) -> bytes:
        if not self._connection.will_stay_open(self.request):
            headers = [*headers, (b"connection", b"close")]
        return encode_response(status, headers)


class ServerConnection(asyncio.Protocol):
    """Read requests and have each answered before the next."""

    def __init__(
        self,
        *,
        listener: ListenerFace,
        handle: Callable[[Exchange], Awaitable[None]],
    ) -> None:
        """Create a connection that is not open yet."""
        self._listener = listener
        self._handle = handle
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._waiting: list[RequestHead | Fault] = []
        self._arrived = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._timer: asyncio.TimerHandle | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._busy = False
        self._paused = False
        self._closing = False
        self._faulty = False
        self._received_at = 0.0
        self._begin()

    @property
    def idle(self) -> bool:
        """Say whether no request is being read or answered."""
        return not (self._busy or self._waiting or self._received_at)

    def will_stay_open(self, request: RequestHead) -> bool:
        """Say whether another request may follow this one."""
        return (
            request.keep_alive
            and not self._listener.draining
            and not self._closing
        )

    def write(self, data: bytes) -> None:
        """Write to the caller, who may have gone."""
        if self._transport is not None:
            self._transport.write(data)

    async def drain(self) -> None:
        """Wait until the caller has read enough."""
        await self._writable.wait()

    def close(self) -> None:
        """Close once what was written has gone out."""
        self._closing = True
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the connection's task."""
        # uvloop's transports have the methods but not the base class.
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=WRITE_HIGH_WATER)
        watch_peer(transport)
        self._listener.note_opened(self)
        self._task = asyncio.create_task(self._run())
        self._arm(self._listener.idle_seconds)

    def connection_lost(self, error: Exception | None) -> None:
        """End what still runs for a caller that has gone."""
        if self._timer is not None:
            self._timer.cancel()
        self._writable.set()
        self._listener.note_closed(self)
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Take note that the caller reads slowly."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Take note that the caller has caught up."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Take bytes from the caller."""
        if self._faulty or self._closing:
            return
        if not self._received_at:
            self._received_at = time.monotonic()
            if not self._busy:
                self._arm(self._listener.header_seconds)
        if not self._head_complete:
            self._head_size += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._take_fault(400, "an upgrade is not supported")
        except httptools.HttpParserError as error:
            self._take_fault(400, f"not HTTP/1.1: {error}")
        too_large = self._head_size > 2 * self._listener.header_bytes
        if not self._head_complete and too_large:
            self._take_fault(431, "the head is too large")
        if len(self._waiting) >= MAX_WAITING_REQUESTS and not self._paused:
            assert self._transport is not None
            self._paused = True
            self._transport.pause_reading()

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the head before the body is read."""
        self._head_complete = True
        head = sum(len(name) + len(value) + 4 for name, value in self._headers)
        if head + len(self._target) > self._listener.header_bytes:
            self._take_fault(431, "the head is too large")
            return
        # The parser has refused what is no number; a longer one is too much.
        length = find_header(self._headers, b"content-length") or b"0"
        size = parse_count(length)
        if size is None or size > self._listener.body_bytes:
            self._take_fault(413, "the body is too large")
            return
        expect = find_header(self._headers, b"expect")
        if expect is not None and expect.lower() == b"100-continue":
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        if self._faulty:
            return
        self._body_size += len(body)
        if self._body_size > self._listener.body_bytes:
            self._take_fault(413, "the body is too large")
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Hand the request over."""
        if self._faulty:
            return
        self._waiting.append(
            RequestHead(
                method=self._parser.get_method(),
                target=self._target,
                headers=self._headers,
                body=b"".join(self._body),
                keep_alive=self._parser.should_keep_alive(),
                received_at=self._received_at,
            )
        )
        self._begin()
        self._arrived.set()

    def _begin(self) -> None:
        self._target = b""
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._body_size = 0
        self._head_size = 0
        self._head_complete = False
        self._received_at = 0.0

    def _take_fault(self, status: int, reason: str) -> None:
        if not self._faulty:
            self._faulty = True
            self._waiting.append(Fault(status=status, reason=reason))
            self._arrived.set()

    async def _run(self) -> None:
        while not self._closing:
            while not self._waiting:
                self._arrived.clear()
                await self._arrived.wait()
            received = self._waiting.pop(0)
            self._busy = True
            self._disarm()
            if isinstance(received, Fault):
                self._refuse(received)
                return
            await self._serve(received)
            self._busy = False
            self._resume()

    async def _serve(self, request: RequestHead) -> None:
        exchange = Exchange(request=request, connection=self)
        try:
            await self._handle(exchange)
        except Exception as error:
            # A fault of this program must cost one request only.
            logger.opt(exception=error).error("answering a request failed")
            if not exchange.started:
                exchange.answer(500, [], b"")
        if not exchange.finished:
            self._cut()
            return
        await self.drain()
        if not self.will_stay_open(request):
            self.close()

    def _resume(self) -> None:
        if self._paused and self._transport is not None:
            self._paused = False
            self._transport.resume_reading()
        waits_for_more = self._received_at > 0
        seconds = (
            self._listener.header_seconds
            if waits_for_more
            else self._listener.idle_seconds
        )
        self._arm(seconds)

    def _refuse(self, fault: Fault) -> None:
        body = fault.reason.encode()
        headers = [
            (b"connection", b"close"),
            (b"content-type", b"text/plain"),
            (b"content-length", b"%d" % len(body)),
        ]
        self.write(encode_response(fault.status, headers) + body)
        self.close()

    def _cut(self) -> None:
        """End the connection where an answer has broken off.

        What was sent reaches the caller; without the last chunk it does not
        look whole.
        """
        self.close()

    def _arm(self, seconds: float) -> None:
        self._disarm()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, self._time_out)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _time_out(self) -> None:
        self._timer = None
        if self._busy or self._waiting:
            return
        if self._received_at:
            self._take_fault(408, "the request did not arrive in time")
            return
        self.close()

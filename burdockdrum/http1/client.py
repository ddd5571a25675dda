"""Connections to endpoints and to other VMs, one request at a time."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

import httptools

from burdockdrum.http1.heads import find_header
from burdockdrum.http1.heads import Headers
from burdockdrum.http1.numbers import parse_count
from burdockdrum.http1.sockets import watch_peer

MAX_BUFFERED_BYTES = 128 * 1024
# Where a peer names no limit of its own it closes idle connections at a
# time that only it knows; most servers wait five seconds or longer.
DEFAULT_IDLE_SECONDS = 4.0
# Of the limit that a peer names: a request that meets its close is lost.
IDLE_SHARE = 0.7


class NotConnected(Exception):
    """No connection came about: no byte of the request has left."""


class ResponseLost(Exception):
    """The response broke off, or was not one, after the request had left."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ResponseHead:
    """The status and headers of a response, names as they were sent."""

    status: int
    headers: Headers

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of a header; the name is in lower case."""
        return find_header(self.headers, name)


class ClientConnection(asyncio.Protocol):
    """One connection; a response whose id is another request's is skipped.

    Bytes that come after a response belong to no request: the connection is
    not used again.
    """

    def __init__(self, *, id_header: bytes) -> None:
        """Create a connection that is not open yet.

        :param id_header: the header in which a response names its request,
            in lower case
        """
        self._id_header = id_header
        self._expected_id: bytes | None = None
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: Headers = []
        self._head: ResponseHead | None = None
        self._parts: list[bytes] = []
        self._buffered = 0
        self._paused = False
        self._complete = True
        self._is_skipping = False
        self._is_interim = False
        self._dirty = False
        self._error: Exception | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._keep_alive = True
        self._framed = False
        self.idle_seconds = DEFAULT_IDLE_SECONDS
        self.on_lost: Callable[[], None] | None = None

    @property
    def reusable(self) -> bool:
        """Say whether another request may be sent."""
        return (
            self._complete
            and self._keep_alive
            and not self._dirty
            and self._error is None
            and self._transport is not None
            and not self._transport.is_closing()
        )

    def send(self, payload: bytes, request_id: bytes | None) -> None:
        """Write a whole request.

        :param request_id: what the response must name, None for any
        """
        assert self._transport is not None
        self._expected_id = request_id
        self._complete = False
        self._head = None
        self._headers = []
        self._parts = []
        self._transport.write(payload)

    async def read_head(self) -> ResponseHead:
        """Wait for the head of the response.

        :raises ResponseLost: if it does not come
        """
        while self._head is None:
            await self._wait()
        return self._head

    async def read_part(self) -> bytes | None:
        """Return the next part of the body, or None at its end.

        :raises ResponseLost: if the connection ends before the body does
        """
        while not self._parts:
            if self._complete:
                return None
            await self._wait()
        part = b"".join(self._parts)
        self._parts = []
        self._buffered = 0
        if self._paused and self._transport is not None:
            self._paused = False
            self._transport.resume_reading()
        return part

    def close(self) -> None:
        """Close at once; an endpoint that still runs the request stops."""
        self._dirty = True
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the open connection."""
        # uvloop's transports have the methods but not the base class.
        self._transport = cast(asyncio.Transport, transport)
        watch_peer(transport)

    def connection_lost(self, error: Exception | None) -> None:
        """Take the end of the connection."""
        if not self._complete:
            if self._head is not None and not self._framed and error is None:
                self._complete = True
            else:
                self._fail(error or EOFError("closed by the peer"))
        self._keep_alive = False
        self._dirty = True
        self._wake()
        if self.on_lost is not None:
            self.on_lost()

    def data_received(self, data: bytes) -> None:
        """Take bytes from the peer."""
        if self._complete:
            self._dirty = True
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._dirty = True
            self._fail(ValueError("the peer changed the protocol"))
        except httptools.HttpParserError as error:
            self._dirty = True
            if not self._complete:
                self._fail(error)
        if self._buffered > MAX_BUFFERED_BYTES and not self._paused:
            assert self._transport is not None
            self._paused = True
            self._transport.pause_reading()
        self._wake()

    def on_message_begin(self) -> None:
        """Take the start of a response."""
        self._headers = []
        if self._complete:
            self._dirty = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Take a head: of an interim response, of a stray one, or ours."""
        status = self._parser.get_status_code()
        self._is_interim = status < 200
        if self._dirty or self._is_interim:
            return
        head = ResponseHead(status=status, headers=self._headers)
        named = head.find(self._id_header)
        self._is_skipping = (
            self._expected_id is not None
            and named is not None
            and named != self._expected_id
        )
        if self._is_skipping:
            return
        self._framed = (
            head.find(b"content-length") is not None
            or head.find(b"transfer-encoding") is not None
        )
        self._note_idle_limit(head)
        self._head = head

    def on_body(self, body: bytes) -> None:
        """Take a part of a body."""
        if self._is_skipping or self._dirty:
            return
        self._parts.append(body)
        self._buffered += len(body)

    def on_message_complete(self) -> None:
        """Take the end of a response."""
        if self._dirty:
            return
        if self._is_interim or self._is_skipping:
            self._is_interim = self._is_skipping = False
            return
        self._keep_alive = self._parser.should_keep_alive()
        self._complete = True

    def _note_idle_limit(self, head: ResponseHead) -> None:
        value = head.find(b"keep-alive")
        if value is None:
            return
        for item in value.split(b","):
            name, _, number = item.strip().partition(b"=")
            seconds = parse_count(number)
            if name.lower() == b"timeout" and seconds is not None:
                self.idle_seconds = seconds * IDLE_SHARE

    async def _wait(self) -> None:
        if self._error is not None:
            raise ResponseLost(repr(self._error)) from self._error
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _fail(self, error: Exception) -> None:
        if self._error is None:
            self._error = error

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


class ConnectionPool:
    """Connections by address, and the idle ones among them."""

    def __init__(
        self, *, id_header: bytes, on_open: Callable[[], None] | None = None
    ) -> None:
        """Create an empty pool.

        :param on_open: is called for each connection that is opened
        """
        self.open_by_address: dict[str, int] = {}
        self._id_header = id_header
        self._on_open = on_open
        self._idle_by_address: dict[
            str, list[tuple[float, ClientConnection]]
        ] = {}

    async def take(self, address: str, *, timeout: float) -> ClientConnection:
        """Return an idle connection, or open one.

        :param timeout: seconds that opening one may take
        :raises NotConnected: if none came about
        """
        loop = asyncio.get_running_loop()
        idle = self._idle_by_address.get(address, [])
        while idle:
            until, connection = idle.pop()
            if connection.reusable and loop.time() < until:
                return connection
            connection.close()
        host, _, port = address.rpartition(":")
        if self._on_open is not None:
            self._on_open()
        try:
            async with asyncio.timeout(timeout):
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(id_header=self._id_header),
                    host,
                    int(port),
                )
        except (OSError, TimeoutError, ValueError) as error:
            raise NotConnected(f"{address}: {error!r}") from error
        self._count(address, 1)
        connection.on_lost = lambda: self._count(address, -1)
        return connection

    def give_back(self, address: str, connection: ClientConnection) -> None:
        """Keep a connection for the next request, if it can take one."""
        if not connection.reusable:
            connection.close()
            return
        until = asyncio.get_running_loop().time() + connection.idle_seconds
        idle = self._idle_by_address.setdefault(address, [])
        idle.append((until, connection))

    def prune(self) -> None:
        """Close the connections that have been idle for too long."""
        now = asyncio.get_running_loop().time()
        for address, idle in list(self._idle_by_address.items()):
            kept = []
            for until, connection in idle:
                if connection.reusable and now < until:
                    kept.append((until, connection))
                else:
                    connection.close()
            if kept:
                self._idle_by_address[address] = kept
            else:
                del self._idle_by_address[address]

    def close(self) -> None:
        """Close the idle connections."""
        for idle in self._idle_by_address.values():
            for _, connection in idle:
                connection.close()
        self._idle_by_address.clear()

    def _count(self, address: str, change: int) -> None:
        count = self.open_by_address.get(address, 0) + change
        if count > 0:
            self.open_by_address[address] = count
        else:
            self.open_by_address.pop(address, None)

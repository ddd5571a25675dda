"""HTTP client connections with backpressure.

blacksheep's client reads a body in a background task into an unbounded
buffer, so a stalled caller would make the process hold the whole response.
Here the consumer reads the body from the socket, and asyncio's flow control
stops the sender once the stream buffer is full.
"""

import asyncio
from collections.abc import Callable
import ssl

from blacksheep.client.connection import HTTP11Connection
from blacksheep.client.pool import ConnectionPool
from blacksheep.messages import Request
from blacksheep.messages import Response
import h11
import httptools

from burdockdrum.http1.overhead import LimitExceeded
from burdockdrum.http1.overhead import OverheadCounter
from burdockdrum.http1.overhead import ResponseKind
from burdockdrum.http1.sockets import has_unsent
from burdockdrum.http1.statuses import check_status
from burdockdrum.http1.statuses import MIN_ERROR_STATUS
from burdockdrum.http1.statuses import MIN_FINAL_STATUS
from burdockdrum.logs import log_failure

READ_BYTES = 65536


class ConnectionEnded(Exception):
    """The connection closed or broke in the middle of a response."""


class ResponseReceiver:
    """The received part of a response, fed by ``httptools`` callbacks.

    ``h11`` encodes the requests; responses are decoded by ``httptools``,
    which is many times faster on small chunks. What follows the response is
    dropped; ``has_surplus`` says that the connection can't be reused.
    """

    def __init__(self) -> None:
        """Create a parser of one response."""
        self.headers: list[tuple[bytes, bytes]] = []
        self.parts: list[bytes] = []
        self.head_complete = False
        self.complete = False
        self.keep_alive = False
        self.has_surplus = False
        self.status = 0
        self._parser = httptools.HttpResponseParser(self)
        self._overhead = OverheadCounter()
        # Of the current read.
        self._body_bytes = 0

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        :raises ConnectionEnded: if it is not HTTP, or exceeds a limit
        """
        self._body_bytes = 0
        try:
            self._parser.feed_data(data)
            if not self.complete:
                self._overhead.end_read(len(data), self._body_bytes)
        except (httptools.HttpParserError, LimitExceeded) as error:
            if self.complete:
                self.has_surplus = True
                return
            exceeded = self._overhead.exceeded
            reason = f"invalid HTTP: {error}"
            raise ConnectionEnded(str(exceeded or reason)) from error

    def feed_end(self, *, is_request_sent: bool = True) -> None:
        """Handle the end of the connection.

        :param is_request_sent: otherwise a success is not complete, as the
            rest of it may be lost in a reset
        :raises ConnectionEnded: unless the end of the connection delimits
            the body
        """
        names = {name.lower() for name, _ in self.headers}
        framed = names & {b"content-length", b"transfer-encoding"}
        if not self.head_complete or framed:
            raise ConnectionEnded("closed before the end of the response")
        if not is_request_sent and self.status < MIN_ERROR_STATUS:
            raise ConnectionEnded("closed before the request was sent")
        self.complete = True

    def consume_body(self) -> bytes:
        """Return and forget the received part of the body."""
        parts, self.parts = self.parts, []
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def on_message_begin(self) -> None:
        """Start a response; one that follows a complete one is surplus."""
        if self.complete:
            self.has_surplus = True
        else:
            self._overhead.begin_head()

    def on_status(self, reason: bytes) -> None:
        """Count the reason phrase."""
        if not self.complete:
            self._overhead.add_status(reason)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are dropped."""
        if not self.complete and self._overhead.add_header(name, value):
            self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Complete the head; that of an interim response is dropped."""
        if self.complete:
            return
        self.status = self._parser.get_status_code()
        check_status(self.status)
        if self.status >= MIN_FINAL_STATUS:
            self._overhead.end_head(ResponseKind.EXPECTED)
            self.head_complete = True
        else:
            self._overhead.end_head(ResponseKind.INTERIM)
            self.headers.clear()

    def on_body(self, body: bytes) -> None:
        """Store a chunk of the body."""
        if self.head_complete and not self.complete:
            self.parts.append(body)
            self._body_bytes += len(body)

    def on_message_complete(self) -> None:
        """Complete the response, unless it is interim."""
        if self.complete:
            return
        if not self.head_complete:
            self._overhead.begin_head()
            return
        self.complete = True
        # The parser resets this with the next message.
        self.keep_alive = self._parser.should_keep_alive()


class IdleAwareProtocol(asyncio.StreamReaderProtocol):
    """Feeds a stream reader, and counts what has not been read from it.

    ``on_surplus`` is called with bytes that arrive while the connection is
    idle.
    """

    def __init__(
        self, reader: asyncio.StreamReader, *, on_surplus: Callable[[], None]
    ) -> None:
        """Create a protocol for one connection."""
        super().__init__(reader)
        self.is_idle = False
        self.unread_bytes = 0
        self._on_surplus = on_surplus

    def data_received(self, data: bytes) -> None:
        """Pass received bytes to the reader."""
        self.unread_bytes += len(data)
        super().data_received(data)
        if self.is_idle:
            self._on_surplus()


class PullingConnection(HTTP11Connection):
    """A connection that reads the body on demand."""

    _receiver: ResponseReceiver
    _protocol: IdleAwareProtocol

    @property
    def is_open(self) -> bool:
        """Return whether a new request may be sent.

        An idle connection that the server has closed is not reused: the
        request would be lost, with the needless verdict "may have run".
        """
        if not super().is_open or self.reader is None or self.writer is None:
            return False
        return not (
            self.reader.at_eof()
            or self._protocol.unread_bytes
            or self.writer.is_closing()
        )

    async def connect(self) -> None:
        """Open the connection.

        :raises OSError: if it could not be opened
        """
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(loop=loop)
        transport, self._protocol = await loop.create_connection(
            lambda: IdleAwareProtocol(reader, on_surplus=self._end_idle),
            self.host,
            self.port,
            ssl=self.ssl_context if self.use_ssl else None,
            server_hostname=self.host if self.use_ssl else None,
        )
        self.reader = reader
        self.writer = asyncio.StreamWriter(
            transport, self._protocol, reader, loop
        )
        self._h11_conn = h11.Connection(our_role=h11.CLIENT)
        self._connected = True

    async def send(self, request: Request) -> Response:
        """Send a request and wait for the head of its response.

        Head and body are sent in one write, which saves a system call and
        wakes the server only once. The server may respond before it has read
        all of them.
        """
        codec, writer = self._h11_conn, self.writer
        if codec is None or writer is None:
            raise ConnectionEnded("closed on this side")
        self._protocol.is_idle = False
        head, body = self._convert_request_to_h11(request)
        parts = [codec.send(head)]
        if body:
            parts.append(codec.send(h11.Data(data=body)))
        parts.append(codec.send(h11.EndOfMessage()))
        writer.write(b"".join(part for part in parts if part))
        return await self._receive_response()

    async def read_part(self) -> bytes | None:
        """Return the next chunk of the body, or None at its end.

        :raises ConnectionEnded: if the connection ends before the body does
        """
        receiver = self._receiver
        while not receiver.parts:
            if receiver.complete:
                return None
            await self._receive(receiver)
        return receiver.consume_body()

    def reuse(self) -> None:
        """Release the connection to its pool if it can be kept alive."""
        if self._receiver.has_surplus or self._protocol.unread_bytes:
            self._end_idle()
            return
        if not self._receiver.keep_alive:
            self.abort()
            return
        self._protocol.is_idle = True
        self._h11_conn = h11.Connection(our_role=h11.CLIENT)
        self._try_return_to_pool()

    def abort(self) -> None:
        """Close at once, discarding unsent data."""
        self._closing = True
        self._connected = False
        if self.writer is not None:
            self.writer.transport.abort()

    def _is_request_sent(self) -> bool:
        return self.writer is not None and not has_unsent(
            self.writer.transport
        )

    def _end_idle(self) -> None:
        """Close a connection that got bytes which are no response."""
        log_failure(
            "connection.closed",
            address=f"{self.host}:{self.port}",
            reason="bytes that belong to no request",
        )
        self.abort()

    async def _receive_response(self, timeout: float = 60.0) -> Response:
        # Overridden: the base class starts a task that reads the whole body.
        receiver = ResponseReceiver()
        self._receiver = receiver
        while not receiver.head_complete:
            await self._receive(receiver)
        return Response(receiver.status, receiver.headers, None)

    async def _receive(self, receiver: ResponseReceiver) -> None:
        if self.reader is None:
            raise ConnectionEnded("closed on this side")
        data = await self.reader.read(READ_BYTES)
        self._protocol.unread_bytes -= len(data)
        try:
            if data:
                receiver.feed(data)
            else:
                receiver.feed_end(is_request_sent=self._is_request_sent())
        except ConnectionEnded:
            # Nobody reads what would still arrive.
            self.abort()
            raise


class PullingConnectionPool(ConnectionPool):
    """The idle connections to one server."""

    async def create_connection(self) -> PullingConnection:
        """Open a new connection."""
        connection = PullingConnection(
            pool=self,
            host=self.host,
            port=self.port,
            ssl_context=self.ssl,
            use_ssl=self.scheme == b"https",
        )
        await connection.connect()
        return connection


class ConnectionPools:
    """The connection pools by scheme, host and port."""

    def __init__(self, *, ssl_context: ssl.SSLContext | None) -> None:
        """Start without pools; each is created on demand."""
        self._ssl = ssl_context
        self._pools_by_address: dict[
            tuple[bytes, bytes, int], PullingConnectionPool
        ]
        self._pools_by_address = {}

    async def connect(
        self, scheme: bytes, host: bytes, port: int, *, timeout: float
    ) -> PullingConnection:
        """Return an idle connection, or open one.

        :param timeout: seconds
        :raises OSError: if no connection could be established
        :raises TimeoutError: if none was established within the timeout
        """
        port = port or (443 if scheme == b"https" else 80)
        key = (scheme, host, port)
        pool = self._pools_by_address.get(key)
        if pool is None:
            pool = PullingConnectionPool(
                scheme, host, port, self._ssl, http2=False
            )
            self._pools_by_address[key] = pool
        async with asyncio.timeout(timeout):
            connection = await pool.get_connection()
        assert isinstance(connection, PullingConnection)
        return connection

    async def close(self) -> None:
        """Close the idle connections."""
        for pool in self._pools_by_address.values():
            await pool.dispose()
        self._pools_by_address.clear()

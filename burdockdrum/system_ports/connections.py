"""Connections whose answers are read only as fast as they are taken.

blacksheep's own client reads a body in a task of its own into a buffer
without a bound: a caller that stops reading makes the process hold the
whole answer of a fast endpoint. Here the body is pulled from the socket by
whoever consumes it, so asyncio's flow control stops the sender once its
stream buffer is full.
"""

import asyncio
import ssl

from blacksheep.client.connection import HTTP11Connection
from blacksheep.client.pool import ConnectionPool
from blacksheep.messages import Request
from blacksheep.messages import Response
import h11
import httptools

READ_BYTES = 65536
MAX_HEAD_BYTES = 65536


class ConnectionEnded(Exception):
    """The peer closed or broke the connection in the middle."""


class ResponseReceiver:
    """What of a response has arrived; the callbacks of ``httptools``.

    ``h11`` encodes the requests; to decode a streamed token it takes 12 µs
    of processor time where ``httptools`` takes 0.3.
    """

    def __init__(self) -> None:
        """Wait for a response."""
        self.headers: list[tuple[bytes, bytes]] = []
        self.parts: list[bytes] = []
        self.head_complete = False
        self.complete = False
        self.keep_alive = False
        self.status = 0
        self._parser = httptools.HttpResponseParser(self)
        self._size = 0

    def feed(self, data: bytes) -> None:
        """Take in what has arrived.

        :raises ConnectionEnded: if it is not HTTP, or the head is too large
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise ConnectionEnded(f"not HTTP: {error}") from error
        if not self.head_complete:
            self._size += len(data)
            if self._size > MAX_HEAD_BYTES:
                raise ConnectionEnded("the head of the answer is too large")

    def feed_end(self) -> None:
        """Take in the end of the connection.

        :raises ConnectionEnded: unless it is what ends this body
        """
        names = {name.lower() for name, _ in self.headers}
        framed = names & {b"content-length", b"transfer-encoding"}
        if not self.head_complete or framed:
            raise ConnectionEnded("closed before the end of the answer")
        self.complete = True

    def take(self) -> bytes:
        """Return the parts of the body that have arrived, joined."""
        parts, self.parts = self.parts, []
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Take the head; that of an interim response does not count."""
        self.status = self._parser.get_status_code()
        if self.status >= 200:
            self.head_complete = True
        else:
            self.headers.clear()

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self.parts.append(body)

    def on_message_complete(self) -> None:
        """Take the end of the response."""
        self.complete = self.head_complete
        # The parser knows it now and forgets it with what comes next.
        self.keep_alive = self._parser.should_keep_alive()


class PullingConnection(HTTP11Connection):
    """A connection that reads the next part of a body when asked for it."""

    _receiver: ResponseReceiver

    @property
    def is_open(self) -> bool:
        """Say whether a new request may be sent.

        An idle connection that the server closed meanwhile is not reused:
        the request would be lost, and its verdict needlessly "may have run".
        """
        if not super().is_open or self.reader is None or self.writer is None:
            return False
        return not (self.reader.at_eof() or self.writer.is_closing())

    async def send(self, request: Request) -> Response:
        """Send a request and wait for the head of its answer.

        Head and body leave in one write: two cost a system call more here
        and wake the server twice.
        """
        codec, writer = self._h11_conn, self.writer
        if codec is None or writer is None:
            raise ConnectionEnded("closed on this side")
        head, body = self._convert_request_to_h11(request)
        parts = [codec.send(head)]
        if body:
            parts.append(codec.send(h11.Data(data=body)))
        parts.append(codec.send(h11.EndOfMessage()))
        writer.write(b"".join(part for part in parts if part))
        await writer.drain()
        return await self._receive_response()

    async def read_part(self) -> bytes | None:
        """Return the next part of the body, or None at its end.

        :raises ConnectionEnded: if the connection ends before the body does
        """
        receiver = self._receiver
        while not receiver.parts:
            if receiver.complete:
                return None
            await self._receive(receiver)
        return receiver.take()

    def reuse(self) -> None:
        """Give the connection back to its pool, if it can take a request."""
        if not self._receiver.keep_alive:
            self.abort()
            return
        self._h11_conn = h11.Connection(our_role=h11.CLIENT)
        self._try_return_to_pool()

    def abort(self) -> None:
        """Close at once, without waiting for what is still to be sent."""
        self._closing = True
        self._connected = False
        if self.writer is not None:
            self.writer.transport.abort()

    async def _receive_response(self, timeout: float = 60.0) -> Response:
        # The base class starts a task here that reads the whole body.
        receiver = ResponseReceiver()
        self._receiver = receiver
        while not receiver.head_complete:
            await self._receive(receiver)
        return Response(receiver.status, receiver.headers, None)

    async def _receive(self, receiver: ResponseReceiver) -> None:
        if self.reader is None:
            raise ConnectionEnded("closed on this side")
        data = await self.reader.read(READ_BYTES)
        if data:
            receiver.feed(data)
        else:
            receiver.feed_end()


class PullingPool(ConnectionPool):
    """The idle connections to one address."""

    async def create_connection(self) -> PullingConnection:
        """Open a connection that is not in the pool yet."""
        connection = PullingConnection(
            pool=self,
            host=self.host,
            port=self.port,
            ssl_context=self.ssl,
            use_ssl=self.scheme == b"https",
        )
        await connection.connect()
        return connection


class PullingPools:
    """The pools by address."""

    def __init__(self, *, ssl_context: ssl.SSLContext | None) -> None:
        """Create no pool yet."""
        self._ssl = ssl_context
        self._pools_by_address: dict[tuple[bytes, bytes, int], PullingPool]
        self._pools_by_address = {}

    async def connect(
        self, scheme: bytes, host: bytes, port: int, *, timeout: float
    ) -> PullingConnection:
        """Return an idle connection, or open one.

        :raises OSError: if no connection came about
        :raises TimeoutError: if none came about in so many seconds
        """
        port = port or (443 if scheme == b"https" else 80)
        key = (scheme, host, port)
        pool = self._pools_by_address.get(key)
        if pool is None:
            pool = PullingPool(scheme, host, port, self._ssl, http2=False)
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

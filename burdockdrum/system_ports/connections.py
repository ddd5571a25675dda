"""HTTP client connections with backpressure.

blacksheep's client reads a body in a background task into an unbounded
buffer, so a stalled caller would make the process hold the whole response.
Here the consumer reads the body from the socket, and asyncio's flow control
stops the sender once the stream buffer is full.
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
    """The connection closed or broke in the middle of a response."""


class ResponseReceiver:
    """The received part of a response, fed by ``httptools`` callbacks.

    ``h11`` encodes the requests; responses are decoded by ``httptools``,
    which is many times faster on small chunks.
    """

    def __init__(self) -> None:
        """Create a parser of one response."""
        self.headers: list[tuple[bytes, bytes]] = []
        self.parts: list[bytes] = []
        self.head_complete = False
        self.complete = False
        self.keep_alive = False
        self.status = 0
        self._parser = httptools.HttpResponseParser(self)
        self._size = 0

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        :raises ConnectionEnded: if it is not HTTP, or the head is too large
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise ConnectionEnded(f"invalid HTTP: {error}") from error
        if not self.head_complete:
            self._size += len(data)
            if self._size > MAX_HEAD_BYTES:
                raise ConnectionEnded("the response head is too large")

    def feed_end(self) -> None:
        """Handle the end of the connection.

        :raises ConnectionEnded: unless the end of the connection delimits
            the body
        """
        names = {name.lower() for name, _ in self.headers}
        framed = names & {b"content-length", b"transfer-encoding"}
        if not self.head_complete or framed:
            raise ConnectionEnded("closed before the end of the response")
        self.complete = True

    def consume_body(self) -> bytes:
        """Return and forget the received part of the body."""
        parts, self.parts = self.parts, []
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Complete the head; that of an interim response is dropped."""
        self.status = self._parser.get_status_code()
        if self.status >= 200:
            self.head_complete = True
        else:
            self.headers.clear()

    def on_body(self, body: bytes) -> None:
        """Store a chunk of the body."""
        self.parts.append(body)

    def on_message_complete(self) -> None:
        """Complete the response."""
        self.complete = self.head_complete
        # The parser resets this with the next message.
        self.keep_alive = self._parser.should_keep_alive()


class PullingConnection(HTTP11Connection):
    """A connection that reads the body on demand."""

    _receiver: ResponseReceiver

    @property
    def is_open(self) -> bool:
        """Return whether a new request may be sent.

        An idle connection that the server has closed is not reused: the
        request would be lost, with the needless verdict "may have run".
        """
        if not super().is_open or self.reader is None or self.writer is None:
            return False
        return not (self.reader.at_eof() or self.writer.is_closing())

    async def send(self, request: Request) -> Response:
        """Send a request and wait for the head of its response.

        Head and body are sent in one write, which saves a system call and
        wakes the server only once.
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
        if not self._receiver.keep_alive:
            self.abort()
            return
        self._h11_conn = h11.Connection(our_role=h11.CLIENT)
        self._try_return_to_pool()

    def abort(self) -> None:
        """Close at once, discarding unsent data."""
        self._closing = True
        self._connected = False
        if self.writer is not None:
            self.writer.transport.abort()

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
        if data:
            receiver.feed(data)
        else:
            receiver.feed_end()


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

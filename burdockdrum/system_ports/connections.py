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
from blacksheep.messages import Response
import h11

READ_BYTES = 65536


class ConnectionEnded(Exception):
    """The peer closed or broke the connection in the middle."""


class PullingConnection(HTTP11Connection):
    """A connection that reads the next part of a body when asked for it."""

    @property
    def is_open(self) -> bool:
        """Say whether a new request may be sent.

        An idle connection that the server closed meanwhile is not reused:
        the request would be lost, and its verdict needlessly "may have run".
        """
        if not super().is_open or self.reader is None or self.writer is None:
            return False
        return not (self.reader.at_eof() or self.writer.is_closing())

    async def read_part(self) -> bytes | None:
        """Return the next part of the body, or None at its end.

        :raises ConnectionEnded: if the connection ends before the body does
        """
        event = await self._next_event()
        while not isinstance(event, h11.Data):
            if isinstance(event, h11.EndOfMessage):
                return None
            if isinstance(event, h11.ConnectionClosed):
                raise ConnectionEnded("closed before the end of the body")
            event = await self._next_event()
        return bytes(event.data)

    def reuse(self, response: Response) -> None:
        """Give the connection back to its pool, if it can take a request."""
        self._handle_connection_reuse(response)

    def abort(self) -> None:
        """Close at once, without waiting for what is still to be sent."""
        self._closing = True
        self._connected = False
        if self.writer is not None:
            self.writer.transport.abort()

    async def _receive_response(self, timeout: float = 60.0) -> Response:
        # The base class starts a task here that reads the whole body.
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                headers = [(name, value) for name, value in event.headers]
                return Response(event.status_code, headers, None)
            if isinstance(event, h11.ConnectionClosed):
                raise ConnectionEnded("closed before the head of the answer")

    async def _next_event(self) -> object:
        codec = self._h11_conn
        reader = self.reader
        if codec is None or reader is None:
            raise ConnectionEnded("closed on this side")
        while True:
            event = codec.next_event()
            if event is not h11.NEED_DATA:
                return event
            # An empty read tells h11 of the end, which is an error in the
            # middle of a framed body.
            codec.receive_data(await reader.read(READ_BYTES))


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

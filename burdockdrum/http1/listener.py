"""The server's listening socket, its limits and open connections."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
import socket
import time
from typing import cast

from burdockdrum.http1.end_causes import EndCause
from burdockdrum.http1.exchange import Exchange
from burdockdrum.http1.heads import Headers
from burdockdrum.http1.receiver import MAX_READ_BYTES
from burdockdrum.http1.server import ServerConnection
from burdockdrum.logs import log_failure
from burdockdrum.overload import make_limits
from burdockdrum.overload import ProcessLimits

Handler = Callable[[Exchange], Awaitable[None]]

POLL_INTERVAL_SECONDS = 0.005


@dataclass(frozen=True, kw_only=True)
class Limits:
    """Size limits of requests, and timeouts of connections."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


class Listener:
    """Accepts connections and passes their requests to a handler."""

    def __init__(
        self,
        *,
        address: str,
        handle: Handler,
        read_limits: Callable[[], Limits] = Limits,
        awake_seconds_since: Callable[[float], float] | None = None,
        on_end: Callable[[EndCause], None] | None = None,
        describe_refusal: Callable[[Headers], Headers] | None = None,
        process_limits: ProcessLimits | None = None,
    ) -> None:
        """Create a listener that is not open yet.

        :param address: ``IP:PORT``; port 0 selects a free one
        :param read_limits: returns the current limits
        :param awake_seconds_since: returns for how long this process has run
            since a monotonic time; for as long as that is ago by default
        :param on_end: called when a connection ends
        :param describe_refusal: returns the headers of the refusal of a
            request that has not run, from those of the request; none by
            default
        :param process_limits: what all listeners of the process may use
            together; by default those of the system, for this one alone
        """
        self.process_limits = process_limits or make_limits()
        # All connections are read in turn.
        self.read_buffer = memoryview(bytearray(MAX_READ_BYTES))
        self._describe_refusal = describe_refusal
        self._on_end = on_end
        self.awake_seconds_since = awake_seconds_since or _seconds_since
        self.draining = False
        self.connections: set[ServerConnection] = set()
        self._address = address
        self._handle = handle
        self._read_limits = read_limits
        self._server: asyncio.Server | None = None

    @property
    def header_bytes(self) -> int:
        """The maximum size of a request's head."""
        return self._read_limits().header_bytes

    @property
    def body_bytes(self) -> int:
        """The maximum size of a request's body."""
        return self._read_limits().body_bytes

    @property
    def header_seconds(self) -> float:
        """The timeout for receiving a complete request."""
        return self._read_limits().header_seconds

    @property
    def idle_seconds(self) -> float:
        """The idle timeout of a connection."""
        return self._read_limits().idle_seconds

    @property
    def address(self) -> str:
        """The address of the listening socket, as ``IP:PORT``."""
        if self._server is None or not self._server.sockets:
            return self._address
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def add_connection(self, connection: ServerConnection) -> None:
        """Add an open connection."""
        self.connections.add(connection)
        self.process_limits.connections.open(connection)

    def remove_connection(self, connection: ServerConnection) -> None:
        """Remove a connection that was closed."""
        self.connections.discard(connection)
        self.process_limits.connections.close(connection)

    def describe_refusal(self, headers: Headers, /) -> Headers:
        """Return the headers of the refusal of a request that has not run."""
        if self._describe_refusal is None:
            return []
        return self._describe_refusal(headers)

    def record_end(self, cause: EndCause, *, unanswered: int) -> None:
        """Record why a connection ends.

        :param unanswered: the requests that were read on it, wholly or
            partly, and have no complete response
        """
        if self._on_end is not None:
            self._on_end(cause)
        if cause.is_logged:
            log_failure(
                "connection.ended",
                cause=cause.value,
                listener=self.address,
                unanswered=unanswered,
                draining=self.draining,
            )

    async def open(self) -> None:
        """Bind the socket and start accepting connections."""
        host, _, port = self._address.rpartition(":")
        raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        raw.bind((host, int(port)))
        raw.setblocking(False)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept,
            sock=raw,
            # A client that finds the queue full comes back a second later.
            backlog=self.process_limits.backlog,
        )

    def _accept(self) -> asyncio.BaseProtocol:
        connection = ServerConnection(listener=self, handle=self._handle)
        if self.process_limits.connections.accept(connection, id(self)):
            return connection
        return _RefusedConnection()

    async def close(self, *, timeout_seconds: float = 0.0) -> None:
        """Stop listening and close all connections.

        :param timeout_seconds: the longest wait for responses that handlers
            still write
        """
        if self._server is not None:
            self._server.close()
        self.draining = True
        loop = asyncio.get_running_loop()
        until = loop.time() + timeout_seconds
        while loop.time() < until and any(
            connection.is_responding for connection in self.connections
        ):
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        for connection in list(self.connections):
            connection.stop()


class _RefusedConnection(asyncio.Protocol):
    """Closes a connection before anything is read."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        cast(asyncio.Transport, transport).abort()


def _seconds_since(at: float) -> float:
    return time.monotonic() - at

"""A listening socket, its limits and its open connections."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
import socket

from burdockdrum.http1.server import Exchange
from burdockdrum.http1.server import ServerConnection

Handler = Callable[[Exchange], Awaitable[None]]

# Connections that the kernel keeps until they are accepted. A burst opens
# hundreds at once, and one that finds the queue full waits for seconds.
BACKLOG = 1024


@dataclass(frozen=True, kw_only=True)
class Limits:
    """What a caller may send, and how long it may take or be idle."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


class Listener:
    """Accept connections and hand their requests to a handler."""

    def __init__(
        self,
        *,
        address: str,
        handle: Handler,
        read_limits: Callable[[], Limits] = Limits,
    ) -> None:
        """Create a listener that is not open yet.

        :param address: ``IP:PORT``; port 0 takes a free one
        :param read_limits: returns the limits in force
        """
        self.draining = False
        self.connections: set[ServerConnection] = set()
        self._address = address
        self._handle = handle
        self._read_limits = read_limits
        self._server: asyncio.Server | None = None

    @property
    def header_bytes(self) -> int:
        """Return the largest head taken."""
        return self._read_limits().header_bytes

    @property
    def body_bytes(self) -> int:
        """Return the largest body taken."""
        return self._read_limits().body_bytes

    @property
    def header_seconds(self) -> float:
        """Return how long a head, or a body, may take to arrive."""
        return self._read_limits().header_seconds

    @property
    def idle_seconds(self) -> float:
        """Return how long a connection may be idle."""
        return self._read_limits().idle_seconds

    @property
    def address(self) -> str:
        """Return where it listens, as ``IP:PORT``."""
        if self._server is None:
            return self._address
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def note_opened(self, connection: ServerConnection) -> None:
        """Take note of a connection."""
        self.connections.add(connection)

    def note_closed(self, connection: ServerConnection) -> None:
        """Take note of the end of a connection."""
        self.connections.discard(connection)

    async def open(self) -> None:
        """Listen from now on."""
        host, _, port = self._address.rpartition(":")
        raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        raw.bind((host, int(port)))
        raw.setblocking(False)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(listener=self, handle=self._handle),
            sock=raw,
            backlog=BACKLOG,
        )

    def close_idle(self) -> None:
        """Close the connections on which nothing is under way."""
        for connection in list(self.connections):
            if connection.idle:
                connection.close()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close()

"""A pool of client connections by address."""

import asyncio
from collections.abc import Callable

from burdockdrum.http1.client import ClientConnection


class NotConnected(Exception):
    """The connection failed; no byte of the request was sent.

    ``is_refused`` says that the peer's machine answered that nothing listens.
    """

    def __init__(self, reason: str, *, is_refused: bool = False) -> None:
        """Create it with a reason."""
        super().__init__(reason)
        self.is_refused = is_refused


class ConnectionPool:
    """A pool of keep-alive connections by address."""

    def __init__(
        self, *, id_header: bytes, on_open: Callable[[], None] | None = None
    ) -> None:
        """Create an empty pool.

        :param on_open: called before each attempt to open a connection
        """
        self.open_by_address: dict[str, int] = {}
        self._id_header = id_header
        self._on_open = on_open
        self._idle_by_address: dict[
            str, list[tuple[float, ClientConnection]]
        ] = {}

    async def acquire(
        self,
        address: str,
        *,
        timeout: float,
        request_id: bytes | None = None,
    ) -> ClientConnection:
        """Return an idle connection, or open one.

        :param timeout: limit in seconds for opening one
        :param request_id: the id of the request that is to be sent, which
            the connection has not carried lately; None if it has none
        :raises NotConnected: if the connection could not be opened
        """
        connection = self._pop_idle(address, request_id)
        if connection is not None:
            return connection
        return await self.open(address, timeout=timeout)

    def _pop_idle(
        self, address: str, request_id: bytes | None
    ) -> ClientConnection | None:
        now = asyncio.get_running_loop().time()
        idle = self._idle_by_address.get(address, [])
        passed_over = []
        found = None
        while idle and found is None:
            expires_at, connection = idle.pop()
            if not connection.reusable or now >= expires_at:
                connection.close()
            elif connection.has_unread:
                # The end of the connection, or bytes of no request.
                connection.close()
            elif connection.may_carry(request_id):
                found = connection
            else:
                passed_over.append((expires_at, connection))
        idle += reversed(passed_over)
        return found

    async def open(self, address: str, *, timeout: float) -> ClientConnection:
        """Open a connection, whether or not there is an idle one.

        :param timeout: limit in seconds
        :raises NotConnected: if it could not be opened
        """
        host, _, port = address.rpartition(":")
        if self._on_open is not None:
            self._on_open()
        try:
            async with asyncio.timeout(timeout):
                loop = asyncio.get_running_loop()
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(id_header=self._id_header),
                    host,
                    int(port),
                )
        except (OSError, TimeoutError, ValueError) as error:
            raise NotConnected(
                f"{address}: {error!r}",
                is_refused=isinstance(error, ConnectionRefusedError),
            ) from error
        self._change_open_count(address, 1)
        connection.on_lost = lambda: self._change_open_count(address, -1)
        return connection

    def release(
        self,
        address: str,
        connection: ClientConnection,
        *,
        max_idle: int | None = None,
    ) -> None:
        """Return a connection to the pool, or close it if not reusable.

        :param max_idle: close it instead of keeping more than so many
        """
        if not connection.reusable:
            connection.close()
            return
        idle = self._idle_by_address.setdefault(address, [])
        if max_idle is not None and len(idle) >= max_idle:
            connection.close()
            return
        expires_at = (
            asyncio.get_running_loop().time() + connection.idle_timeout_seconds
        )
        idle.append((expires_at, connection))

    def prune(self) -> None:
        """Close idle connections that expired or can't be reused."""
        now = asyncio.get_running_loop().time()
        for address, idle in list(self._idle_by_address.items()):
            remaining = []
            for expires_at, connection in idle:
                if connection.reusable and now < expires_at:
                    remaining.append((expires_at, connection))
                else:
                    connection.close()
            if remaining:
                self._idle_by_address[address] = remaining
            else:
                del self._idle_by_address[address]

    def close(self) -> None:
        """Close the idle connections."""
        for idle in self._idle_by_address.values():
            for _, connection in idle:
                connection.close()
        self._idle_by_address.clear()

    def _change_open_count(self, address: str, change: int) -> None:
        count = self.open_by_address.get(address, 0) + change
        if count > 0:
            self.open_by_address[address] = count
        else:
            self.open_by_address.pop(address, None)

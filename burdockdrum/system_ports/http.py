"""The HTTP port over blacksheep's connections.

``blacksheep.client.ClientSession`` is not used: it resends a POST when a
pooled connection closes, and so could run a non-idempotent request twice.
Using the connections directly also tells a failed connect from a lost
response.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Mapping
import ssl

from blacksheep.contents import Content
from blacksheep.messages import Request
from blacksheep.messages import Response
from blacksheep.url import URL

from burdockdrum.ports.http import AnswerLost
from burdockdrum.ports.http import ConnectFailed
from burdockdrum.ports.http import UpstreamAnswer
from burdockdrum.ports.http import UpstreamCall
from burdockdrum.system_ports.connections import ConnectionPools
from burdockdrum.system_ports.connections import PullingConnection


class PooledResponse:
    """A response that is read from a pooled connection."""

    def __init__(
        self, *, connection: PullingConnection, response: Response
    ) -> None:
        """Own the connection until the body has been read."""
        self._connection = connection
        self._response = response
        self._complete = False
        self._headers = {
            name.decode().lower(): value.decode("latin-1")
            for name, value in response.headers.items()
        }

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        return self._response.status

    @property
    def headers(self) -> Mapping[str, str]:
        """Return the headers, names in lower case."""
        return self._headers

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body's chunks as they arrive."""
        connection = self._connection
        while True:
            try:
                part = await connection.read_part()
            except Exception as error:
                raise AnswerLost(repr(error)) from error
            if part is None:
                break
            yield part
        self._complete = True
        connection.reuse()

    async def close(self) -> None:
        """Close the connection unless the whole body was read."""
        if not self._complete:
            self._complete = True
            self._connection.abort()


class PooledHttpClient:
    """A client that keeps idle connections for reuse."""

    def __init__(self, *, ssl_context: ssl.SSLContext | None = None) -> None:
        """Create a client.

        :param ssl_context: for https URLs; None for the default
        """
        self._pools = ConnectionPools(ssl_context=ssl_context)

    async def open(self, call: UpstreamCall) -> UpstreamAnswer:
        """Send a request and wait for the head of its response."""
        connection = await self._connect(call)
        request = _build_request(call)
        try:
            async with asyncio.timeout(call.head_timeout):
                response = await connection.send(request)
        except asyncio.CancelledError:
            connection.abort()
            raise
        except Exception as error:
            connection.abort()
            raise AnswerLost(f"{call.url}: {error!r}") from error
        return PooledResponse(connection=connection, response=response)

    async def close(self) -> None:
        """Close the idle connections."""
        await self._pools.close()

    async def _connect(self, call: UpstreamCall) -> PullingConnection:
        url = URL(call.url.encode())
        try:
            return await self._pools.connect(
                url.schema or b"http",
                url.host or b"",
                url.port,
                timeout=call.connect_timeout,
            )
        except (OSError, TimeoutError) as error:
            raise ConnectFailed(f"{call.url}: {error!r}") from error


def _build_request(call: UpstreamCall) -> Request:
    content_type = b"application/json"
    headers: list[tuple[bytes, bytes]] = []
    for name, value in call.headers.items():
        if name.lower() == "content-type":
            content_type = value.encode("latin-1")
        else:
            headers.append((name.encode(), value.encode("latin-1")))
    request = Request(call.method, call.url.encode(), headers)
    if call.body:
        request = request.with_content(Content(content_type, call.body))
    return request

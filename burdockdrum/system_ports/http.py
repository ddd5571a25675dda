"""HTTP calls through blacksheep's connections.

``blacksheep.client.ClientSession`` is not used: it sends a POST again by
itself when a pooled connection closes, and so could run an unrepeatable
request twice. Its pools and connections are used directly, which also tells
a failed connect from a failed answer.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Mapping
import ssl

from blacksheep.client.connection import HTTP11Connection
from blacksheep.client.pool import ConnectionPools
from blacksheep.contents import Content
from blacksheep.messages import Request
from blacksheep.messages import Response
from blacksheep.url import URL

from burdockdrum.ports.http import AnswerLost
from burdockdrum.ports.http import ConnectFailed
from burdockdrum.ports.http import UpstreamAnswer
from burdockdrum.ports.http import UpstreamCall

# A caller that reads slowly must not make this process hold the answer of a
# fast endpoint: blacksheep buffers what arrives without a bound. Reading from
# the socket stops when a part was not taken for this long, and goes on with
# the next; what arrives in between is bounded by the link's speed.
HOLD_BACK_AFTER_SECONDS = 0.05
IDLE_SECONDS = 20.0


class PooledAnswer:
    """An answer that is read from a pooled connection."""

    def __init__(
        self, *, connection: HTTP11Connection, response: Response
    ) -> None:
        """Take over the connection until the body has been read."""
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
        """Yield the body's parts as they arrive."""
        content = self._response.content
        loop = asyncio.get_running_loop()
        try:
            async for chunk in content.stream():  # type: ignore
                holding = loop.call_later(
                    HOLD_BACK_AFTER_SECONDS, self._hold_back
                )
                yield chunk
                holding.cancel()
                self._release()
        except (OSError, asyncio.IncompleteReadError) as error:
            raise AnswerLost(str(error)) from error
        except Exception as error:
            raise AnswerLost(repr(error)) from error
        # blacksheep ends the stream without an error when the connection
        # closes while a part is still buffered: a cut answer would look
        # complete. The error is kept on the content, so ask for it.
        if content.exc is not None:  # type: ignore
            raise AnswerLost(repr(content.exc))  # type: ignore
        self._complete = True

    async def close(self) -> None:
        """Close the connection unless the body was read to its end."""
        if not self._complete:
            await self._connection.close()

    def _hold_back(self) -> None:
        transport = self._transport()
        if transport is not None:
            transport.pause_reading()

    def _release(self) -> None:
        transport = self._transport()
        if transport is not None and not transport.is_reading():
            transport.resume_reading()

    def _transport(self) -> asyncio.ReadTransport | None:
        writer = self._connection.writer
        if writer is None or writer.transport.is_closing():
            return None
        return writer.transport  # type: ignore[return-value]


class PooledHttpClient:
    """A client that keeps idle connections by address."""

    def __init__(self, *, ssl_context: ssl.SSLContext | None = None) -> None:
        """Create a client.

        :param ssl_context: trust for https addresses; None for the default
        """
        self._pools = ConnectionPools(http2=False, idle_timeout=IDLE_SECONDS)
        self._ssl = ssl_context

    async def open(self, call: UpstreamCall) -> UpstreamAnswer:
        """Send a request and wait for the head of its answer."""
        connection = await self._connect(call)
        request = _build_request(call)
        try:
            async with asyncio.timeout(call.head_timeout):
                response = await connection.send(request)
        except asyncio.CancelledError:
            await connection.close()
            raise
        except Exception as error:
            await connection.close()
            raise AnswerLost(f"{call.url}: {error!r}") from error
        return PooledAnswer(connection=connection, response=response)

    async def close(self) -> None:
        """Close the idle connections."""
        await self._pools.dispose()

    async def _connect(self, call: UpstreamCall) -> HTTP11Connection:
        url = URL(call.url.encode())
        pool = self._pools.get_pool(
            url.schema or b"http", url.host or b"", url.port, self._ssl
        )
        try:
            async with asyncio.timeout(call.connect_timeout):
                connection = await pool.get_connection()
        except (OSError, TimeoutError) as error:
            raise ConnectFailed(f"{call.url}: {error!r}") from error
        assert isinstance(connection, HTTP11Connection)
        return connection


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

"""In-memory HTTP with the delays and partitions of the fake network."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from urllib.parse import urlsplit

from burdockdrum.ports import AnswerLost
from burdockdrum.ports import ConnectFailed
from burdockdrum.ports import UpstreamAnswer
from burdockdrum.ports import UpstreamCall
from burdockdrum.testing.network import FakeNetwork

Server = Callable[[UpstreamCall], Awaitable["FakeAnswer"]]
_POLL_SECONDS = 0.01


class FakeAnswer:
    """The response of an in-memory server."""

    def __init__(
        self,
        *,
        status: int = 200,
        headers: Mapping[str, str] | None = None,
        body: AsyncIterator[bytes] | bytes = b"",
        on_close: Callable[[], None] | None = None,
    ) -> None:
        """Create a response.

        :param body: the whole body, or an iterator of its chunks
        :param on_close: called when the client closes early
        """
        self.status = status
        self.headers = dict(headers or {})
        self.body = body
        self.on_close = on_close


class FakeWeb:
    """The HTTP servers of a test, by host and port of their URLs."""

    def __init__(self, *, network: FakeNetwork) -> None:
        """Create a registry without servers."""
        self.network = network
        self._servers_by_netloc: dict[str, tuple[str, Server]] = {}

    def serve(self, url: str, host: str, server: Server) -> None:
        """Register a server on a host for a URL's host and port."""
        self._servers_by_netloc[urlsplit(url).netloc] = (host, server)

    def stop(self, url: str) -> None:
        """Refuse connections to a URL's host and port."""
        self._servers_by_netloc.pop(urlsplit(url).netloc, None)

    def find(self, url: str) -> tuple[str, Server] | None:
        """Return the host and the server of a URL, or None."""
        return self._servers_by_netloc.get(urlsplit(url).netloc)


class FakeHttpClient:
    """The HTTP client of one host of a test."""

    def __init__(self, *, web: FakeWeb, host: str) -> None:
        """Create the client of a host."""
        self._web = web
        self._host = host

    async def open(self, call: UpstreamCall) -> UpstreamAnswer:
        """Send a request and wait for the head of its response."""
        found = self._web.find(call.url)
        if found is None:
            raise ConnectFailed(f"connection refused: {call.url}")
        target, server = found
        outbound = self._web.network.link(self._host, target)
        inbound = self._web.network.link(target, self._host)
        if outbound.cut or inbound.cut:
            await asyncio.sleep(call.connect_timeout)
            raise ConnectFailed(f"connect timed out: {call.url}")
        # A round trip to connect, then one way for the request.
        await asyncio.sleep(2 * outbound.delay + inbound.delay)
        try:
            async with asyncio.timeout(call.head_timeout):
                answer = await server(call)
                await asyncio.sleep(inbound.delay)
                await self._wait_for_link(target)
        except TimeoutError:
            raise AnswerLost(f"no response: {call.url}") from None
        return _OpenResponse(client=self, target=target, answer=answer)

    def is_cut(self, target: str) -> bool:
        """Return whether the link back from a host is cut."""
        return self._web.network.link(target, self._host).cut

    async def _wait_for_link(self, target: str) -> None:
        while self.is_cut(target):
            await asyncio.sleep(_POLL_SECONDS)


class _OpenResponse:
    def __init__(
        self, *, client: FakeHttpClient, target: str, answer: FakeAnswer
    ) -> None:
        self._client = client
        self._target = target
        self._answer = answer
        self._complete = False

    @property
    def status(self) -> int:
        return self._answer.status

    @property
    def headers(self) -> Mapping[str, str]:
        return self._answer.headers

    async def chunks(self) -> AsyncIterator[bytes]:
        body = self._answer.body
        if isinstance(body, bytes):
            if body:
                yield body
            self._complete = True
            return
        async for chunk in body:
            # A partition closes no connection: chunks wait until it heals.
            while self._client.is_cut(self._target):
                await asyncio.sleep(_POLL_SECONDS)
            yield chunk
        self._complete = True

    async def close(self) -> None:
        if not self._complete and self._answer.on_close is not None:
            self._answer.on_close()

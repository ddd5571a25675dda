"""Serves ASGI applications in memory, without sockets.

VMs and emulated endpoints use it for HTTP under virtual time: the application
that uvicorn serves in production handles requests of ``FakeHttpClient``.
"""

import asyncio
from collections.abc import AsyncIterator
from typing import Any
from urllib.parse import urlsplit

from burdockdrum.ports import AnswerLost
from burdockdrum.ports import UpstreamCall
from burdockdrum.testing.http import FakeAnswer

# Applies backpressure to the application when the client reads slowly.
MAX_BUFFERED_CHUNKS = 64


class AsgiServer:
    """A server for ``FakeWeb.serve`` that runs an ASGI application."""

    def __init__(self, *, application: Any) -> None:
        """Create a server without requests in flight."""
        self._application = application
        self._exchanges: set[_Exchange] = set()

    async def __call__(self, call: UpstreamCall) -> FakeAnswer:
        """Handle a request and return its response."""
        exchange = _Exchange(call)
        self._exchanges.add(exchange)
        task = asyncio.create_task(exchange.run(self._application))
        task.add_done_callback(lambda _: self._exchanges.discard(exchange))
        exchange.task = task
        try:
            status, headers = await asyncio.shield(exchange.head)
        except asyncio.CancelledError:
            exchange.disconnect()
            raise
        return FakeAnswer(
            status=status,
            headers=headers,
            body=exchange.chunks(),
            on_close=exchange.disconnect,
        )

    def abort(self) -> None:
        """Abort every request, as when the process is killed."""
        for exchange in list(self._exchanges):
            exchange.abort()


def serve_asgi(application: Any) -> AsgiServer:
    """Return a server for ``FakeWeb.serve`` that runs the application."""
    return AsgiServer(application=application)


class _Exchange:
    """A request to the application and its response."""

    def __init__(self, call: UpstreamCall) -> None:
        self._call = call
        self._body_sent = False
        self._disconnected = asyncio.Event()
        self._chunks: asyncio.Queue[bytes | None] = asyncio.Queue(
            MAX_BUFFERED_CHUNKS
        )
        self._complete = False
        self.head: asyncio.Future[tuple[int, dict[str, str]]] = (
            asyncio.Future()
        )
        # Avoids asyncio's log of an exception that was never retrieved, when
        # the client has disconnected.
        self.head.add_done_callback(_retrieve_exception)
        self.task: asyncio.Task[None] | None = None

    async def run(self, application: Any) -> None:
        """Run the application until it returns or its connection breaks."""
        try:
            await application(self._scope(), self._receive, self._send)
        except OSError:
            pass
        finally:
            if not self.head.done():
                self.head.set_exception(
                    AnswerLost(
                        "the connection closed before the response head"
                    )
                )
        if not self._disconnected.is_set():
            await self._chunks.put(None)

    def abort(self) -> None:
        """Cancel the application; the client sees the connection break."""
        if self.task is not None:
            self.task.cancel()
        self._complete = False
        while not self._chunks.empty():
            self._chunks.get_nowait()
        self._chunks.put_nowait(None)

    def disconnect(self) -> None:
        """Signal the application that its client has disconnected."""
        self._disconnected.set()
        while not self._chunks.empty():
            self._chunks.get_nowait()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the body."""
        while True:
            chunk = await self._chunks.get()
            if chunk is None:
                break
            yield chunk
        if not self._complete:
            raise AnswerLost(
                "the connection closed before the end of the response"
            )

    async def _receive(self) -> dict[str, Any]:
        if not self._body_sent:
            self._body_sent = True
            return {
                "type": "http.request",
                "body": self._call.body,
                "more_body": False,
            }
        await self._disconnected.wait()
        return {"type": "http.disconnect"}

    async def _send(self, message: dict[str, Any]) -> None:
        if self._disconnected.is_set():
            return
        if message["type"] == "http.response.start":
            headers = {
                name.decode().lower(): value.decode("latin-1")
                for name, value in message["headers"]
            }
            if not self.head.done():
                self.head.set_result((message["status"], headers))
            return
        if message.get("body"):
            await self._chunks.put(message["body"])
        if not message.get("more_body"):
            self._complete = True

    def _scope(self) -> dict[str, Any]:
        url = urlsplit(self._call.url)
        headers = [
            (name.lower().encode(), value.encode("latin-1"))
            for name, value in self._call.headers.items()
        ]
        length = str(len(self._call.body)).encode()
        headers.append((b"content-length", length))
        headers.append((b"host", url.netloc.encode()))
        return {
            "type": "http",
            "asgi": {"version": "3.0"},
            "http_version": "1.1",
            "method": self._call.method,
            "scheme": url.scheme,
            "path": url.path,
            "raw_path": url.path.encode(),
            "query_string": url.query.encode(),
            "headers": headers,
            "client": ("127.0.0.1", 1),
            "server": (url.hostname, url.port),
            "root_path": "",
        }


def _retrieve_exception(
    head: asyncio.Future[tuple[int, dict[str, str]]],
) -> None:
    if not head.cancelled():
        head.exception()

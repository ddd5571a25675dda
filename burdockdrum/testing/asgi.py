"""Serve an ASGI application in memory, without sockets.

It lets whole VMs and stand-ins talk HTTP under virtual time: the same
application that uvicorn serves answers calls of ``FakeHttpClient``.
"""

import asyncio
from collections.abc import AsyncIterator
from typing import Any
from urllib.parse import urlsplit

from burdockdrum.ports import AnswerLost
from burdockdrum.ports import UpstreamCall
from burdockdrum.testing.http import FakeAnswer

# What uvicorn buffers before a slow reader holds the application back.
MAX_UNREAD_PARTS = 64


class AsgiServer:
    """A server for ``FakeWeb.serve`` that calls an application."""

    def __init__(self, *, application: Any) -> None:
        """Create a server without calls."""
        self._application = application
        self._exchanges: set[_Exchange] = set()

    async def __call__(self, call: UpstreamCall) -> FakeAnswer:
        """Answer a call."""
        exchange = _Exchange(call)
        self._exchanges.add(exchange)
        task = asyncio.create_task(exchange.run(self._application))
        task.add_done_callback(lambda _: self._exchanges.discard(exchange))
        exchange.task = task
        try:
            status, headers = await asyncio.shield(exchange.head)
        except asyncio.CancelledError:
            exchange.hang_up()
            raise
        return FakeAnswer(
            status=status,
            headers=headers,
            body=exchange.parts(),
            on_close=exchange.hang_up,
        )

    def abort(self) -> None:
        """Break off every call, as when the process is killed."""
        for exchange in list(self._exchanges):
            exchange.abort()


def serve_asgi(application: Any) -> AsgiServer:
    """Return a server for ``FakeWeb.serve`` that calls the application."""
    return AsgiServer(application=application)


class _Exchange:
    """One call to the application and its answer."""

    def __init__(self, call: UpstreamCall) -> None:
        self._call = call
        self._body_sent = False
        self._gone = asyncio.Event()
        self._parts: asyncio.Queue[bytes | None] = asyncio.Queue(
            MAX_UNREAD_PARTS
        )
        self._complete = False
        self.head: asyncio.Future[tuple[int, dict[str, str]]] = (
            asyncio.Future()
        )
        # A caller that has gone does not ask what became of the head.
        self.head.add_done_callback(_note_retrieved)
        self.task: asyncio.Task[None] | None = None

    async def run(self, application: Any) -> None:
        """Call the application; an end without the last part is a cut."""
        try:
            await application(self._scope(), self._receive, self._send)
        except OSError:
            pass
        finally:
            if not self.head.done():
                self.head.set_exception(AnswerLost("no head of an answer"))
        if not self._gone.is_set():
            await self._parts.put(None)

    def abort(self) -> None:
        """Stop the application; the caller sees its connection break."""
        if self.task is not None:
            self.task.cancel()
        self._complete = False
        while not self._parts.empty():
            self._parts.get_nowait()
        self._parts.put_nowait(None)

    def hang_up(self) -> None:
        """Let the application see that its caller has gone."""
        self._gone.set()
        while not self._parts.empty():
            self._parts.get_nowait()

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body."""
        while True:
            part = await self._parts.get()
            if part is None:
                break
            yield part
        if not self._complete:
            raise AnswerLost("the answer was cut")

    async def _receive(self) -> dict[str, Any]:
        if not self._body_sent:
            self._body_sent = True
            return {
                "type": "http.request",
                "body": self._call.body,
                "more_body": False,
            }
        await self._gone.wait()
        return {"type": "http.disconnect"}

    async def _send(self, message: dict[str, Any]) -> None:
        if self._gone.is_set():
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
            await self._parts.put(message["body"])
        if not message.get("more_body"):
            self._complete = True

    def _scope(self) -> dict[str, Any]:
        parts = urlsplit(self._call.url)
        headers = [
            (name.lower().encode(), value.encode("latin-1"))
            for name, value in self._call.headers.items()
        ]
        length = str(len(self._call.body)).encode()
        headers.append((b"content-length", length))
        headers.append((b"host", parts.netloc.encode()))
        return {
            "type": "http",
            "asgi": {"version": "3.0"},
            "http_version": "1.1",
            "method": self._call.method,
            "scheme": parts.scheme,
            "path": parts.path,
            "raw_path": parts.path.encode(),
            "query_string": parts.query.encode(),
            "headers": headers,
            "client": ("127.0.0.1", 1),
            "server": (parts.hostname, parts.port),
            "root_path": "",
        }


def _note_retrieved(head: asyncio.Future[tuple[int, dict[str, str]]]) -> None:
    if not head.cancelled():
        head.exception()

"""Send responses and cancel them when the caller disconnects."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable

from blacksheep.contents import Content
from blacksheep.contents import StreamedContent
from blacksheep.messages import Request
from blacksheep.messages import Response

from burdockdrum.requests import InboundRequest
from burdockdrum.requests import RequestService
from burdockdrum.verdicts import Refusal
from burdockdrum.web.responses import refusal_response
from burdockdrum.web.responses import REQUEST_ID_HEADER

# The status that proxies log for a closed connection; it is never received.
STATUS_CLIENT_CLOSED_REQUEST = 499
_DISCONNECT = "http.disconnect"


class DisconnectWatcher:
    """Cancels the wait for the upstream when the caller disconnects.

    uvicorn does not notify a stream of a closed connection, so that an
    engine would generate the whole response. A task waits for the
    disconnect; it cancels only a wait for the upstream, as uvicorn ends
    its own waits.
    """

    def __init__(self, *, request: Request) -> None:
        """Start watching; call it in the task that serves the request."""
        self.disconnected = False
        self.awaiting_upstream = False
        self._serving_task = asyncio.current_task()
        self._watching_task = asyncio.create_task(self._watch(request))

    def stop(self) -> None:
        """Stop watching."""
        self._watching_task.cancel()

    def absorb_cancellation(self) -> bool:
        """Undo a cancellation by this watcher; return whether it was one."""
        if not self.disconnected or self._serving_task is None:
            return False
        self._serving_task.uncancel()
        return True

    async def _watch(self, request: Request) -> None:
        receive = request.content.receive  # type: ignore
        message = await receive()
        while message["type"] != _DISCONNECT:
            message = await receive()
        self.disconnected = True
        if self.awaiting_upstream and self._serving_task is not None:
            self._serving_task.cancel()


async def respond(
    request: Request,
    inbound: InboundRequest,
    requests: RequestService,
    request_id: str,
) -> Response:
    """Serve a request whose body has been read.

    Refusals are sent with their own verdict, which ``guard`` must not
    change any more.
    """
    watcher = DisconnectWatcher(request=request)
    watcher.awaiting_upstream = True
    try:
        reply = await requests.handle(inbound)
    except asyncio.CancelledError:
        watcher.stop()
        if watcher.absorb_cancellation():
            return Response(STATUS_CLIENT_CLOSED_REQUEST)
        raise
    except Refusal as refusal:
        watcher.stop()
        return refusal_response(refusal, request_id)
    except BaseException:
        watcher.stop()
        raise
    watcher.awaiting_upstream = False
    headers = [(REQUEST_ID_HEADER, request_id.encode())]
    for name, value in reply.headers.items():
        headers.append((name.encode(), value.encode("latin-1")))
    content_type = reply.content_type.encode("latin-1")
    if isinstance(reply.body, bytes):
        watcher.stop()
        content = Content(content_type, reply.body)
        return Response(reply.status, headers, content)
    streamed = StreamedContent(content_type, _make_body(watcher, reply.body))
    return Response(reply.status, headers, streamed)


def stream_until_disconnect(
    request: Request, parts: AsyncIterator[bytes]
) -> Callable[[], AsyncIterator[bytes]]:
    """Return a response body that ends when its caller disconnects."""
    return _make_body(DisconnectWatcher(request=request), parts)


def _make_body(
    watcher: DisconnectWatcher, parts: AsyncIterator[bytes]
) -> Callable[[], AsyncIterator[bytes]]:
    """Return a generator function that yields parts until a disconnect."""

    async def body() -> AsyncIterator[bytes]:
        try:
            while not watcher.disconnected:
                watcher.awaiting_upstream = True
                part = await anext(parts, None)
                watcher.awaiting_upstream = False
                if part is None:
                    break
                yield part
        except asyncio.CancelledError:
            if not watcher.absorb_cancellation():
                raise
        finally:
            watcher.awaiting_upstream = False
            watcher.stop()
            close = getattr(parts, "aclose", None)
            if close is not None:
                await close()

    return body

"""Send an answer while watching whether the caller is still there."""

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

# What the log of a proxy usually shows; the caller is not there to see it.
STATUS_CALLER_GONE = 499
_DISCONNECT = "http.disconnect"


class CallerWatch:
    """Interrupt the wait for an answer once its caller has gone.

    uvicorn does not tell a stream that its connection has closed: without
    the watch an engine would generate to the end for nobody. One task waits
    for the end of the connection, for the whole answer; it cancels only a
    wait for the upstream, as a wait in the server ends by itself.
    """

    def __init__(self, *, request: Request) -> None:
        """Begin to watch, in the task that serves the request."""
        self.gone = False
        self.waiting = False
        self._serving = asyncio.current_task()
        self._watching = asyncio.create_task(self._watch(request))

    def stop(self) -> None:
        """End the watch."""
        self._watching.cancel()

    def absorb(self) -> bool:
        """Say whether a cancellation was this watch's own, and undo it."""
        if not self.gone or self._serving is None:
            return False
        self._serving.uncancel()
        return True

    async def _watch(self, request: Request) -> None:
        receive = request.content.receive  # type: ignore
        message = await receive()
        while message["type"] != _DISCONNECT:
            message = await receive()
        self.gone = True
        if self.waiting and self._serving is not None:
            self._serving.cancel()


async def respond(
    request: Request,
    inbound: InboundRequest,
    requests: RequestService,
    request_id: str,
) -> Response:
    """Serve a request whose body has been read.

    A refusal from here on is answered with the verdict that it bears.
    """
    watch = CallerWatch(request=request)
    watch.waiting = True
    try:
        answer = await requests.handle(inbound)
    except asyncio.CancelledError:
        watch.stop()
        if watch.absorb():
            return Response(STATUS_CALLER_GONE)
        raise
    except Refusal as refusal:
        watch.stop()
        return refusal_response(refusal, request_id)
    except BaseException:
        watch.stop()
        raise
    watch.waiting = False
    headers = [(REQUEST_ID_HEADER, request_id.encode())]
    for name, value in answer.headers.items():
        headers.append((name.encode(), value.encode("latin-1")))
    content_type = answer.content_type.encode("latin-1")
    if isinstance(answer.body, bytes):
        watch.stop()
        content = Content(content_type, answer.body)
        return Response(answer.status, headers, content)
    streamed = StreamedContent(content_type, _stream(watch, answer.body))
    return Response(answer.status, headers, streamed)


def watch_stream(
    request: Request, parts: AsyncIterator[bytes]
) -> Callable[[], AsyncIterator[bytes]]:
    """Return the body of an answer that ends once its caller has gone."""
    return _stream(CallerWatch(request=request), parts)


def _stream(
    watch: CallerWatch, parts: AsyncIterator[bytes]
) -> Callable[[], AsyncIterator[bytes]]:
    """Return what yields the parts until the caller has gone."""

    async def body() -> AsyncIterator[bytes]:
        try:
            while not watch.gone:
                watch.waiting = True
                part = await anext(parts, None)
                watch.waiting = False
                if part is None:
                    break
                yield part
        except asyncio.CancelledError:
            if not watch.absorb():
                raise
        finally:
            watch.waiting = False
            watch.stop()
            close = getattr(parts, "aclose", None)
            if close is not None:
                await close()

    return body

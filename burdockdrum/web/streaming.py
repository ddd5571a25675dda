"""Send an answer's stream while watching whether the caller is there."""

import asyncio
from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
import contextlib

from blacksheep.contents import StreamedContent
from blacksheep.messages import Request
from blacksheep.messages import Response

from burdockdrum.requests import Answer
from burdockdrum.web.responses import REQUEST_ID_HEADER

DISCONNECT_POLL_SECONDS = 0.25


def stream_response(
    request: Request, answer: Answer, request_id: str
) -> Response:
    """Return a response whose body is the answer's stream."""

    async def body() -> AsyncIterator[bytes]:
        watched = watch(request, answer.body)
        async with contextlib.aclosing(watched) as parts:
            async for part in parts:
                yield part

    headers = [(REQUEST_ID_HEADER, request_id.encode())]
    for name, value in answer.headers.items():
        headers.append((name.encode(), value.encode("latin-1")))
    content = StreamedContent(answer.content_type.encode(), body)
    return Response(answer.status, headers, content)


async def watch(
    request: Request, parts: AsyncIterator[bytes]
) -> AsyncGenerator[bytes, None]:
    """Yield the parts until the caller has gone.

    uvicorn does not tell a stream that its connection has closed: without
    the watch an engine would generate to the end for nobody. Polling every
    quarter of a second frees its slot well within a second.
    """
    iterator = aiter(parts)
    gone = asyncio.create_task(_wait_until_gone(request))
    try:
        while True:
            step = asyncio.ensure_future(anext(iterator, None))
            try:
                await asyncio.wait(
                    {step, gone}, return_when=asyncio.FIRST_COMPLETED
                )
            finally:
                if not step.done():
                    step.cancel()
                    with contextlib.suppress(BaseException):
                        await step
            if step.cancelled():
                return
            part = step.result()
            if part is None:
                return
            yield part
    finally:
        gone.cancel()
        close = getattr(iterator, "aclose", None)
        if close is not None:
            await close()


async def _wait_until_gone(request: Request) -> None:
    while not await request.is_disconnected():
        await asyncio.sleep(DISCONNECT_POLL_SECONDS)

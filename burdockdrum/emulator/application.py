"""The HTTP face of the stand-ins."""

from collections.abc import AsyncIterator

from blacksheep import Application
from blacksheep.contents import Content
from blacksheep.contents import StreamedContent
from blacksheep.messages import Request
from blacksheep.messages import Response
from blacksheep.server.routing import Router

from burdockdrum.emulator.engine import EmulatedEngine
from burdockdrum.emulator.engine import parse_work
from burdockdrum.emulator.engine import stream_events
from burdockdrum.emulator.engine import whole_answer
from burdockdrum.emulator.plain import PlainService

_JSON = b"application/json"
_METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE")


def build_engine_application(engine: EmulatedEngine) -> Application:
    """Return the ASGI application of an engine."""
    application = Application(router=Router(), show_error_details=True)

    async def chat(request: Request) -> Response:
        return await _complete(engine, request, chat=True)

    async def complete(request: Request) -> Response:
        return await _complete(engine, request, chat=False)

    async def cancel(request: Request) -> Response:
        values = request.route_values or {}
        found = engine.cancel(values.get("request_id") or "")
        return Response(204 if found else 404)

    router = application.router
    router.add_post("/v1/chat/completions", chat)
    router.add_post("/v1/completions", complete)
    router.add_delete("/v1/requests/:request_id", cancel)
    return application


def build_plain_application(service: PlainService) -> Application:
    """Return the ASGI application of a plain service."""
    application = Application(router=Router(), show_error_details=True)

    async def call(request: Request) -> Response:
        key = _header(request, b"idempotency-key")
        path = request.url.path.decode()
        answer = await service.run(request.method, path, key)
        return Response(200, None, Content(_JSON, answer))

    for method in _METHODS:
        application.router.add(method, "/*", call)
    return application


async def _complete(
    engine: EmulatedEngine, request: Request, *, chat: bool
) -> Response:
    body = await request.read() or b""
    work = parse_work(
        body,
        chat=chat,
        request_id=_header(request, b"x-request-id") or "unnamed",
        resume_offset=int(_header(request, b"x-resume-offset") or 0),
    )
    if not work.stream:
        answer = await whole_answer(engine, work)
        if answer is None:
            return Response(499)
        return Response(200, None, Content(_JSON, answer))

    async def events() -> AsyncIterator[bytes]:
        async for event in stream_events(engine, work):
            yield event
            if await request.is_disconnected():
                engine.cancel(work.request_id)

    content = StreamedContent(b"text/event-stream", events)
    return Response(200, None, content)


def _header(request: Request, name: bytes) -> str | None:
    value = request.get_first_header(name)
    return value.decode() if value is not None else None

"""ASGI applications of the emulated endpoints."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import Any

from blacksheep import Application
from blacksheep.contents import Content
from blacksheep.contents import StreamedContent
from blacksheep.messages import Request
from blacksheep.messages import Response
from blacksheep.server.routing import Router
import msgspec

from burdockdrum.emulator.completions import encode_completion
from burdockdrum.emulator.completions import parse_request
from burdockdrum.emulator.completions import stream_events
from burdockdrum.emulator.completions import Work
from burdockdrum.emulator.engine import EmulatedEngine
from burdockdrum.emulator.engine import EngineCrashed
from burdockdrum.emulator.engine import EngineFailed
from burdockdrum.emulator.engine import Fault
from burdockdrum.emulator.orders import Order
from burdockdrum.emulator.orders import OrderBook
from burdockdrum.emulator.orders import StaleFencingNumber
from burdockdrum.emulator.plain import PlainService

_JSON = b"application/json"
_METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE")
_DISCONNECT_POLL_SECONDS = 0.05


def build_engine_application(
    engine: EmulatedEngine, orders: OrderBook | None = None
) -> Application:
    """Return the ASGI application of an engine."""
    application = Application(router=Router(), show_error_details=True)
    handlers = _EngineHandlers(
        engine, orders or OrderBook(versions=set(), adapters=set())
    )
    router = application.router
    router.add_post("/v1/chat/completions", _wrap_method(handlers.chat))
    router.add_post("/v1/completions", _wrap_method(handlers.complete))
    router.add_delete(
        "/v1/requests/:request_id", _wrap_method(handlers.cancel)
    )
    router.add_get("/v1/kv/:prefix", _wrap_method(handlers.export_kv))
    router.add_put("/v1/kv/:prefix", _wrap_method(handlers.import_kv))
    router.add_post("/orders", _wrap_method(handlers.order))
    return application


def cut_when_crashed(application: Any, engine: EmulatedEngine) -> Any:
    """Wrap an ASGI application so that an engine crash aborts its requests.

    The web framework would turn the exception into a response with status
    500, but a crashed process sends no response.
    """

    async def run(scope: Any, receive: Any, send: Any) -> None:
        call = asyncio.ensure_future(application(scope, receive, send))
        died = asyncio.ensure_future(engine.died.wait())
        try:
            await asyncio.wait(
                {call, died}, return_when=asyncio.FIRST_COMPLETED
            )
            if engine.died.is_set():
                raise EngineCrashed("the engine crashed")
            await call
        finally:
            died.cancel()
            call.cancel()

    return run


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


class _EngineHandlers:
    """Request handlers of an emulated engine."""

    def __init__(self, engine: EmulatedEngine, orders: OrderBook) -> None:
        self._engine = engine
        self._orders = orders
        self._kv_by_prefix: dict[int, bytes] = {}

    async def chat(self, request: Request) -> Response:
        """Serve POST /v1/chat/completions."""
        return await self._handle_completion(request, chat=True)

    async def complete(self, request: Request) -> Response:
        """Serve POST /v1/completions."""
        return await self._handle_completion(request, chat=False)

    async def cancel(self, request: Request) -> Response:
        """Serve DELETE /v1/requests/ID."""
        found = self._engine.cancel(_route_value(request, "request_id"))
        return Response(204 if found else 404)

    async def export_kv(self, request: Request) -> Response:
        """Serve GET /v1/kv/PREFIX: the KV cache of a prefix, if cached."""
        prefix = int(_route_value(request, "prefix"))
        if not self._engine.cache.match((prefix,)):
            return Response(404)
        # The prefix number replaces the KV cache, which is megabytes large.
        state = self._kv_by_prefix.get(prefix, str(prefix).encode())
        content = Content(b"application/octet-stream", state)
        return Response(200, None, content)

    async def import_kv(self, request: Request) -> Response:
        """Serve PUT /v1/kv/PREFIX: cache a prefix without prefilling it."""
        prefix = int(_route_value(request, "prefix"))
        self._kv_by_prefix[prefix] = await request.read() or b""
        self._engine.cache.store((prefix,))
        return Response(204)

    async def order(self, request: Request) -> Response:
        """Serve POST /orders; 409 for a stale fencing number."""
        try:
            order = msgspec.json.decode(
                await request.read() or b"", type=Order
            )
        except msgspec.MsgspecError as error:
            return Response(400, None, Content(b"text/plain", _text(error)))
        try:
            await self._orders.carry_out(order)
        except StaleFencingNumber as error:
            return Response(409, None, Content(b"text/plain", _text(error)))
        body = msgspec.json.encode({"order_id": order.order_id})
        return Response(200, None, Content(_JSON, body))

    async def _handle_completion(
        self, request: Request, *, chat: bool
    ) -> Response:
        engine = self._engine
        work = parse_request(
            await request.read() or b"",
            chat=chat,
            request_id=_header(request, b"x-request-id") or "unnamed",
            resume_offset=int(_header(request, b"x-resume-offset") or 0),
            rank=int(_header(request, b"x-priority") or 0),
        )
        if engine.fault is Fault.ERRORS:
            return Response(500)
        if work.stream:
            # The framework accepts only async generator functions and does
            # not recognise a bound method as one.
            async def events() -> AsyncIterator[bytes]:
                async for event in self._stream_completion(request, work):
                    yield event

            content = StreamedContent(b"text/event-stream", events)
            return Response(200, None, content)
        return await self._complete_buffered(request, work)

    async def _stream_completion(
        self, request: Request, work: Work
    ) -> AsyncIterator[bytes]:
        tokens = self._engine.generate(work)
        model = self._engine.settings.service
        async with self._cancel_on_disconnect(request, work):
            async for event in stream_events(model, work, tokens):
                yield event

    async def _complete_buffered(
        self, request: Request, work: Work
    ) -> Response:
        tokens = self._engine.generate(work)
        model = self._engine.settings.service
        try:
            async with self._cancel_on_disconnect(request, work):
                answer = await encode_completion(model, work, tokens)
        except EngineFailed:
            return Response(500)
        except EngineCrashed:
            # A crashed engine sends no response: see cut_when_crashed.
            await asyncio.Event().wait()
            raise
        if answer is None:
            return Response(499)
        return Response(200, None, Content(_JSON, answer))

    @contextlib.asynccontextmanager
    async def _cancel_on_disconnect(
        self, request: Request, work: Work
    ) -> AsyncIterator[None]:
        """Cancel the request when its client disconnects.

        The server does not notify a stream of a disconnect; without polling,
        the slot would stay occupied until the completion ends.
        """

        async def watch() -> None:
            while not await request.is_disconnected():
                await self._engine.clock.sleep(_DISCONNECT_POLL_SECONDS)
            self._engine.cancel(work.request_id)

        watch_task = asyncio.create_task(watch())
        try:
            yield
        finally:
            watch_task.cancel()


def _wrap_method(
    method: Callable[[Request], Awaitable[Response]],
) -> Callable[[Request], Awaitable[Response]]:
    """Wrap a bound method, as the router sets attributes on handlers."""

    async def handle(request: Request) -> Response:
        return await method(request)

    return handle


def _text(error: Exception) -> bytes:
    return str(error).encode()


def _route_value(request: Request, name: str) -> str:
    return (request.route_values or {}).get(name) or ""


def _header(request: Request, name: bytes) -> str | None:
    value = request.get_first_header(name)
    return value.decode() if value is not None else None

"""A wrapper of handlers that converts exceptions to refusals."""

from collections.abc import Awaitable
from collections.abc import Callable

from blacksheep.messages import Request
from blacksheep.messages import Response
from loguru import logger

from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from burdockdrum.web.responses import make_request_id
from burdockdrum.web.responses import refusal_response

KEY_HEADER = b"idempotency-key"
_CALLER_PATHS = (b"/services/", b"/v1/chat/completions", b"/v1/completions")

Handler = Callable[[Request, str], Awaitable[Response]]
GuardedHandler = Callable[[Request], Awaitable[Response]]


def guard(
    handler: Handler, *, check: Callable[[], None] | None = None
) -> GuardedHandler:
    """Wrap a handler to assign request ids and respond to exceptions.

    Unexpected exceptions give the verdict "may have run", as it is unknown
    what was done before them.

    :param check: raises to refuse a request before its handler is called
    """

    async def handle(request: Request) -> Response:
        request_id = make_request_id()
        try:
            if check is not None:
                check()
            return await handler(request, request_id)
        except Refusal as refusal:
            return refusal_response(
                _correct_verdict(request, refusal), request_id
            )
        except Exception as error:
            logger.opt(exception=error).error("request {} failed", request_id)
            return refusal_response(_make_internal_error(), request_id)

    return handle


def _correct_verdict(request: Request, refusal: Refusal) -> Refusal:
    """Return "may have run" instead of "not run" for a keyed request.

    A request that is refused before its claim was looked up, for example by
    a VM that has restarted and does not know the client yet, may have run
    elsewhere under the same key.
    """
    if refusal.verdict is not Verdict.NOT_RUN:
        return refusal
    if request.get_first_header(KEY_HEADER) is None:
        return refusal
    if not request.url.path.startswith(_CALLER_PATHS):
        return refusal
    return refusal.with_verdict(Verdict.MAY_HAVE_RUN)


def _make_internal_error() -> Refusal:
    return Refusal(
        code=RefusalCode.INTERNAL,
        message="internal error; search the log for the request id",
        verdict=Verdict.MAY_HAVE_RUN,
    )

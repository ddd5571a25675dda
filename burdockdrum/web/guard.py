"""Turn whatever a handler raises into a refusal."""

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

_KEY_HEADER = b"idempotency-key"
_CALLER_PATHS = (b"/services/", b"/v1/chat/completions", b"/v1/completions")

Handler = Callable[[Request, str], Awaitable[Response]]
Guarded = Callable[[Request], Awaitable[Response]]


def guard(
    handler: Handler, *, check: Callable[[], None] | None = None
) -> Guarded:
    """Give each request an id, and each failure its JSON form.

    ``check`` may refuse a request before its handler sees it.

    An error that nobody foresaw says "may have run": what was done before
    it is not known here.
    """

    async def handle(request: Request) -> Response:
        request_id = make_request_id()
        try:
            if check is not None:
                check()
            return await handler(request, request_id)
        except Refusal as refusal:
            return refusal_response(_soften(request, refusal), request_id)
        except Exception as error:
            logger.opt(exception=error).error("request {} failed", request_id)
            return refusal_response(_make_internal(), request_id)

    return handle


def _soften(request: Request, refusal: Refusal) -> Refusal:
    """Admit that an earlier copy of a request may have run.

    What is refused before the keepers of claims were asked, as by a VM that
    has restarted and does not know the client yet, says nothing of a run
    that the same key began elsewhere.
    """
    if refusal.verdict is not Verdict.NOT_RUN:
        return refusal
    if request.get_first_header(_KEY_HEADER) is None:
        return refusal
    if not request.url.path.startswith(_CALLER_PATHS):
        return refusal
    return refusal.with_verdict(Verdict.MAY_HAVE_RUN)


def _make_internal() -> Refusal:
    return Refusal(
        code=RefusalCode.INTERNAL,
        message="an internal error; see the log for the request's id",
        verdict=Verdict.MAY_HAVE_RUN,
    )

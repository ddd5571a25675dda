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
            return refusal_response(refusal, request_id)
        except Exception as error:
            logger.opt(exception=error).error("request {} failed", request_id)
            return refusal_response(_make_internal(), request_id)

    return handle


def _make_internal() -> Refusal:
    return Refusal(
        code=RefusalCode.INTERNAL,
        message="an internal error; see the log for the request's id",
        verdict=Verdict.MAY_HAVE_RUN,
    )

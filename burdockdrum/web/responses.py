"""JSON and text responses, and responses for refusals."""

import math
import secrets
from typing import Any

from blacksheep.contents import Content
from blacksheep.messages import Response
import msgspec

from burdockdrum.http1 import encode_response
from burdockdrum.http1 import Headers
from burdockdrum.requests import VERDICT_HEADER
from burdockdrum.verdicts import Refusal

REQUEST_ID_HEADER = b"x-request-id"
_VERDICT_HEADER = VERDICT_HEADER.encode()


class RefusalBody(msgspec.Struct, frozen=True, kw_only=True):
    """The JSON representation of a refusal."""

    code: str
    message: str
    request_id: str
    verdict: str


class _ErrorBody(msgspec.Struct, frozen=True):
    error: RefusalBody


def make_request_id() -> str:
    """Return a random request id."""
    return f"req-{secrets.token_hex(10)}"


def encode_refusal(status: int, refusal: Refusal) -> bytes:
    """Return the whole response for a refusal that closes its connection."""
    request_id = make_request_id()
    body = msgspec.json.encode(_ErrorBody(_refusal_body(refusal, request_id)))
    headers = [
        *_refusal_headers(refusal, request_id),
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % len(body)),
        (b"connection", b"close"),
    ]
    return encode_response(status, headers) + body


def json_response(value: Any, *, status: int = 200) -> Response:
    """Return a response with a value encoded as JSON."""
    content = Content(b"application/json", msgspec.json.encode(value))
    return Response(status, None, content)


def text_response(text: str) -> Response:
    """Return a plain text response."""
    return Response(200, None, Content(b"text/plain", text.encode()))


def refusal_response(refusal: Refusal, request_id: str) -> Response:
    """Return the response for a refusal, with its code and verdict."""
    body = _ErrorBody(_refusal_body(refusal, request_id))
    response = json_response(body, status=refusal.status)
    for name, value in _refusal_headers(refusal, request_id):
        response.add_header(name, value)
    return response


def _refusal_body(refusal: Refusal, request_id: str) -> RefusalBody:
    return RefusalBody(
        code=refusal.code.value,
        message=refusal.message,
        request_id=request_id,
        verdict=refusal.verdict.value,
    )


def _refusal_headers(refusal: Refusal, request_id: str) -> Headers:
    headers = [
        (REQUEST_ID_HEADER, request_id.encode()),
        (_VERDICT_HEADER, refusal.verdict.value.encode()),
    ]
    if refusal.retry_after is not None:
        seconds = max(1, math.ceil(refusal.retry_after))
        headers.append((b"retry-after", str(seconds).encode()))
    return headers

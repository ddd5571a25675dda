"""Read bodies, headers and parameters of requests."""

import io
from typing import TypeVar

from blacksheep.exceptions import MessageAborted
from blacksheep.messages import Request

from burdockdrum.decoding import decode_json
from burdockdrum.decoding import InvalidData
from burdockdrum.http1 import parse_count
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict

T = TypeVar("T")


def bad_request(message: str) -> Refusal:
    """Return the refusal of a malformed request."""
    return Refusal(
        code=RefusalCode.BAD_REQUEST,
        message=message,
        verdict=Verdict.NOT_RUN,
    )


async def read_body(request: Request, limit: int) -> bytes:
    """Read a body of at most ``limit`` bytes.

    :raises Refusal: if it is larger, without reading the rest, or incomplete
    """
    declared = parse_count(request.get_first_header(b"content-length"))
    if declared is not None and declared > limit:
        raise _too_large(limit)
    body = io.BytesIO()
    try:
        async for part in request.stream():  # type: ignore[attr-defined]
            if body.tell() + len(part) > limit:
                raise _too_large(limit)
            body.write(part)
    except MessageAborted:
        # Nobody reads the response, and the request has not run.
        raise bad_request("the body did not arrive completely") from None
    # Not a copy.
    return body.getvalue()


async def read_json(request: Request, limit: int, expected: type[T]) -> T:
    """Read a JSON body of the expected type.

    :raises Refusal: naming the invalid field
    """
    body = await read_body(request, limit)
    try:
        return decode_json(body, expected)
    except InvalidData as error:
        raise bad_request(f"the body is invalid: {error}") from None


def header(request: Request, name: str) -> str | None:
    """Return the first header of a name, None if there is none."""
    value = request.get_first_header(name.encode())
    return value.decode("latin-1") if value is not None else None


def read_count(name: str, value: str) -> int:
    """Return the value of a parameter or header as a non-negative integer.

    :raises Refusal: naming it, if it is anything but ASCII digits
    """
    count = parse_count(value.encode())
    if count is None:
        raise bad_request(f"{name} is {value[:32]!r}, not a number")
    return count


def query_parameter(request: Request, name: str) -> str | None:
    """Return the first query parameter of a name, None if there is none."""
    values = request.query.get(name)
    return values[0] if values else None


def path_parameter(request: Request, name: str) -> str:
    """Return a parameter of the route's path, empty if there is none."""
    values = request.route_values or {}
    return values.get(name) or ""


def _too_large(limit: int) -> Refusal:
    return Refusal(
        code=RefusalCode.BODY_TOO_LARGE,
        message=f"the body is over the limit of {limit} bytes",
        verdict=Verdict.NOT_RUN,
    )

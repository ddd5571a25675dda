"""Answers that are buffered completely before their head is sent.

An incomplete answer leads to another attempt. Requesting a stream from the
engine instead would allow resumption, but rebuilding the answer would depend
on every field of every engine's format.
"""

from collections.abc import AsyncIterator
from typing import Any

from burdockdrum.attempts import Attempt
from burdockdrum.decoding import decode_json
from burdockdrum.decoding import InvalidData
from burdockdrum.requests.answer_runner import AnswerRunner
from burdockdrum.requests.attempts import AttemptFailed
from burdockdrum.requests.attempts import fail_incomplete
from burdockdrum.requests.attempts import fail_status
from burdockdrum.requests.attempts import RETRYABLE_STATUSES
from burdockdrum.requests.attempts import Target
from burdockdrum.requests.attempts import Upstream
from burdockdrum.requests.bodies import ClosingBody
from burdockdrum.requests.exchange import Exchange
from burdockdrum.requests.model import Answer
from burdockdrum.requests.model import RequestKind

# Maximum part of a plain service's answer that is buffered before its head
# is sent. A failure up to that point can still be retried or refused.
PLAIN_BUFFER_BYTES = 256 * 1024
# Headers of the answer itself. Hop-by-hop headers such as Connection and
# Transfer-Encoding must not be forwarded (RFC 9110, section 7.6).
FORWARDED_HEADERS = (
    "location",
    "etag",
    "cache-control",
    "last-modified",
    "content-language",
    "content-disposition",
    "content-encoding",
    "vary",
    "retry-after",
    "idempotent-replay",
)


async def fetch_whole(exchange: Exchange) -> Answer:
    """Make attempts until one returns a complete answer.

    :raises Refusal: with the verdict, if no attempt succeeds
    """
    runner = AnswerRunner(
        exchange=exchange,
        read=lambda upstream, attempt: read_answer(
            exchange, upstream, attempt
        ),
    )
    return await runner.run()


async def read_answer(
    exchange: Exchange, upstream: Upstream, attempt: Attempt[Target, Any]
) -> Answer:
    """Read the answer of one attempt.

    Only the start of a plain service's large answer is buffered, to bound
    the memory used for slow readers. The rest is streamed; if it breaks, the
    caller's connection is broken too.

    :raises AttemptFailed: if it is an error, breaks or is not complete
    :raises Superseded: if another attempt has begun to respond
    """
    request = exchange.request
    if upstream.status in RETRYABLE_STATUSES:
        _check_status(exchange, upstream, attempt)
    if request.kind is RequestKind.PLAIN:
        body, ended = await upstream.read_start(
            exchange.remaining(), PLAIN_BUFFER_BYTES
        )
        attempt.claim_response()
        if not ended:
            upstream.stop_watching()
            return make_answer(
                upstream, _stream_rest(exchange, upstream, body)
            )
    else:
        body = await upstream.read_whole(exchange.remaining())
        _check_complete(upstream, body)
        attempt_id = upstream.attempt_id
        attempt.claim_response()
        body = body.replace(attempt_id, request.request_id.encode(), 1)
    exchange.complete(upstream, tokens=request.max_tokens)
    return make_answer(upstream, body)


def _stream_rest(
    exchange: Exchange, upstream: Upstream, start: bytes
) -> ClosingBody:
    finished = False

    async def read() -> AsyncIterator[bytes]:
        nonlocal finished
        part: bytes | None = start
        try:
            while part is not None:
                yield part
                part = await upstream.read(max(0.0, exchange.remaining()))
        except AttemptFailed as failure:
            # A clean end would make the incomplete answer look complete.
            raise ConnectionResetError(str(failure)) from failure
        finished = True
        exchange.complete(upstream)

    async def end() -> None:
        if not finished:
            await exchange.abandon(upstream)

    return ClosingBody(read(), at_end=end)


def make_answer(
    upstream: Upstream, body: AsyncIterator[bytes] | bytes
) -> Answer:
    """Return the answer for the caller, without hop-by-hop headers."""
    return Answer(
        status=upstream.status,
        content_type=upstream.headers.get("content-type", ""),
        headers={
            name: upstream.headers[name]
            for name in FORWARDED_HEADERS
            if name in upstream.headers
        },
        body=body,
    )


def _check_status(
    exchange: Exchange, upstream: Upstream, attempt: Attempt[Target, Any]
) -> None:
    """Decide whether an error status is retried or sent to the caller.

    :raises AttemptFailed: if it is not sent to the caller
    """
    request = exchange.request
    failure = fail_status(upstream.status)
    if request.kind is not RequestKind.PLAIN or not attempt.is_alone:
        raise failure
    if upstream.status == 500 or not request.may_run_again:
        return
    if not exchange.may_retry():
        return
    raise failure


def _check_complete(upstream: Upstream, body: bytes) -> None:
    upstream.check_request_id(body)
    if upstream.status >= 300:
        return
    # A proxy in front of the engine may have truncated the body and still
    # framed it correctly.
    try:
        decode_json(body, object)
    except InvalidData:
        raise fail_incomplete() from None

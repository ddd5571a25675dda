"""Answers that are read to their end before their head goes out.

Asking an engine for a stream in every case, and putting the answer together
here, would show where a run has come to and let it be resumed. It would
also mean to know every field of every engine's answer. So a whole answer is
asked for as the caller asked; one that was cut is run again.
"""

from collections.abc import AsyncIterator

import msgspec

from burdockdrum.requests.attempts import AttemptFailed
from burdockdrum.requests.attempts import fail_incomplete
from burdockdrum.requests.attempts import fail_status
from burdockdrum.requests.attempts import RETRYABLE_STATUSES
from burdockdrum.requests.attempts import Upstream
from burdockdrum.requests.exchange import Exchange
from burdockdrum.requests.model import Answer
from burdockdrum.requests.model import RequestKind

# How much of a plain service's answer is held before its head goes out; a
# failure until then is still another attempt, or a refusal of its own.
PLAIN_HELD_BYTES = 256 * 1024
# What says something of the answer itself. Headers of one connection, such
# as Connection and Transfer-Encoding, must not be passed on (RFC 9110, 7.6).
PASSED_HEADERS = (
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
    """Return a whole answer.

    :raises Refusal: with the verdict, if none came
    """
    while True:
        upstream = await exchange.open()
        try:
            return await read_answer(exchange, upstream)
        except AttemptFailed as failure:
            await exchange.give_up(upstream, failure)
        except BaseException:
            await exchange.abandon(upstream)
            raise


async def read_answer(exchange: Exchange, upstream: Upstream) -> Answer:
    """Read the whole answer of one attempt.

    Of a plain service only the start of a large answer is held: many slow
    readers of large answers would otherwise take up all memory. From then on
    it goes out as it comes, and a cut is a cut for the caller too.

    :raises AttemptFailed: if it is an error, breaks or is not complete
    """
    request = exchange.request
    if upstream.status in RETRYABLE_STATUSES:
        _weigh_error(exchange, upstream)
    if request.kind is RequestKind.PLAIN:
        body, ended = await upstream.read_start(
            exchange.remaining(), PLAIN_HELD_BYTES
        )
        if not ended:
            return make_answer(upstream, _pass_on(exchange, upstream, body))
    else:
        body = await upstream.read_whole(exchange.remaining())
        _check_complete(upstream, body)
        own = upstream.attempt_id
        body = body.replace(own, request.request_id.encode(), 1)
    exchange.complete(upstream, tokens=request.max_tokens)
    return make_answer(upstream, body)


async def _pass_on(
    exchange: Exchange, upstream: Upstream, start: bytes
) -> AsyncIterator[bytes]:
    part: bytes | None = start
    finished = False
    try:
        while part is not None:
            yield part
            part = await upstream.read(max(0.0, exchange.remaining()))
        finished = True
        exchange.complete(upstream)
    except AttemptFailed as failure:
        # Ending in good form would make half an answer look whole.
        raise ConnectionResetError(str(failure)) from failure
    finally:
        if not finished:
            await exchange.abandon(upstream)


def make_answer(
    upstream: Upstream, body: AsyncIterator[bytes] | bytes
) -> Answer:
    """Return what the caller gets of an answer."""
    return Answer(
        status=upstream.status,
        content_type=upstream.headers.get("content-type", ""),
        headers={
            name: upstream.headers[name]
            for name in PASSED_HEADERS
            if name in upstream.headers
        },
        body=body,
    )


def _weigh_error(exchange: Exchange, upstream: Upstream) -> None:
    """Try elsewhere after an error, or let a plain service's own go out.

    :raises AttemptFailed: if the error is not the service's last word
    """
    request = exchange.request
    failure = fail_status(upstream.status)
    if request.kind is not RequestKind.PLAIN:
        raise failure
    if upstream.status == 500 or not request.may_run_again:
        return
    if not exchange.may_try_elsewhere():
        return
    raise failure


def _check_complete(upstream: Upstream, body: bytes) -> None:
    upstream.check_owner(body)
    if upstream.status >= 300:
        return
    # The framing was whole; but a proxy before the engine may have put a
    # good frame around half an answer.
    try:
        msgspec.json.decode(body)
    except msgspec.MsgspecError:
        raise fail_incomplete() from None

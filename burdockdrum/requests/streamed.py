"""Streamed completions: relayed event by event, resumed where they break."""

from collections.abc import AsyncIterator

from burdockdrum.requests.attempts import AttemptFailed
from burdockdrum.requests.attempts import fail_incomplete
from burdockdrum.requests.attempts import fail_status
from burdockdrum.requests.attempts import RETRYABLE_STATUSES
from burdockdrum.requests.attempts import ToEndpointPlace
from burdockdrum.requests.attempts import Upstream
from burdockdrum.requests.events import EventSplitter
from burdockdrum.requests.events import EventTooLarge
from burdockdrum.requests.events import is_done
from burdockdrum.requests.events import is_error
from burdockdrum.requests.events import is_unfinished
from burdockdrum.requests.events import make_error_event
from burdockdrum.requests.events import read_offset
from burdockdrum.requests.exchange import Exchange
from burdockdrum.requests.model import Answer
from burdockdrum.requests.whole import make_answer
from burdockdrum.requests.whole import read_answer
from burdockdrum.routing import AttemptOutcome
from burdockdrum.verdicts import Refusal

EVENT_STREAM = "text/event-stream"


async def open_stream(exchange: Exchange) -> Answer:
    """Return a stream whose first event has come.

    Until then nothing has gone out to the caller, so a failure can still
    become another attempt or a refusal with its own status.

    :raises Refusal: with the verdict, if no stream came
    """
    while True:
        upstream = await exchange.open()
        try:
            content_type = upstream.headers.get("content-type", "")
            if not content_type.startswith(EVENT_STREAM):
                return await read_answer(exchange, upstream)
            if upstream.status in RETRYABLE_STATUSES:
                raise fail_status(upstream.status)
            relay = StreamRelay(exchange=exchange, upstream=upstream)
            first = await relay.read()
        except AttemptFailed as failure:
            await exchange.give_up(upstream, failure)
            continue
        except BaseException:
            await exchange.abandon(upstream)
            raise
        head = make_answer(upstream, b"")
        return Answer(
            status=head.status,
            content_type=head.content_type,
            headers=head.headers,
            body=_relay(exchange, relay, first),
        )


async def _relay(
    exchange: Exchange, relay: "StreamRelay", part: bytes
) -> AsyncIterator[bytes]:
    """Yield the events; a clean end comes only after the marker.

    After a failure that can't be mended the last event says so.
    """
    finished = False
    try:
        while True:
            if part:
                yield part
            if relay.ended:
                finished = True
                await relay.upstream.drain()
                break
            try:
                part = await relay.read()
            except AttemptFailed as failure:
                relay = await _resume(exchange, relay, failure)
                part = b""
    except Refusal as refusal:
        finished = True
        yield make_error_event(refusal, exchange.request.request_id)
    finally:
        if not finished:
            await exchange.abandon(relay.upstream)


async def _resume(
    exchange: Exchange, relay: "StreamRelay", failure: AttemptFailed
) -> "StreamRelay":
    """Open an attempt that goes on where the last one broke.

    :raises Refusal: if there can't be one
    """
    if not relay.resumable:
        # An engine that does not number its tokens can't go on from one.
        failure.final = True
    await exchange.give_up(relay.upstream, failure)
    upstream = await exchange.open()
    if not upstream.headers.get("content-type", "").startswith(EVENT_STREAM):
        await exchange.give_up(upstream, fail_incomplete(final=True))
    return StreamRelay(exchange=exchange, upstream=upstream, resumed=True)


class StreamRelay:
    """The events of one attempt that the caller has not had yet."""

    def __init__(
        self, *, exchange: Exchange, upstream: Upstream, resumed: bool = False
    ) -> None:
        """Start at the head of an attempt's answer.

        :param resumed: events up to the offset have gone out already
        """
        self.upstream = upstream
        self.ended = False
        self.resumable = True
        self._exchange = exchange
        self._splitter = EventSplitter()
        self._resumed = resumed or exchange.delivered > 0
        self._own = upstream.attempt_id
        self._shown = exchange.request.request_id.encode()

    async def read(self) -> bytes:
        """Return the next new events, joined; they may end the stream.

        :raises AttemptFailed: if the stream broke before its marker
        """
        while True:
            seconds = max(0.0, self._exchange.remaining())
            chunk = await self.upstream.read(seconds)
            if chunk is None:
                # Closing without the marker is not an end, however clean.
                raise fail_incomplete()
            try:
                events = self._splitter.feed(chunk)
            except EventTooLarge as error:
                raise fail_incomplete() from error
            fresh = [event for event in events if self._take(event)]
            if fresh:
                return b"".join(fresh).replace(self._own, self._shown)

    def _take(self, event: bytes) -> bool:
        """Say whether an event is for the caller, and note its offset."""
        if self.ended:
            return False
        if is_done(event):
            self.ended = True
            tokens = self._exchange.delivered
            self._exchange.complete(self.upstream, tokens=tokens)
            return True
        if is_error(event):
            self._end_with_error()
            return True
        self.upstream.check_owner(event)
        offset = read_offset(event)
        if offset is None:
            self.resumable = self.resumable and not event.startswith(b"data:")
            return True
        if offset > self._exchange.delivered:
            self._exchange.delivered = offset
            return True
        # A resumed stream may begin again with tokens that have gone out;
        # only the event with the reason of the end repeats an offset.
        return not (self._resumed and is_unfinished(event))

    def _end_with_error(self) -> None:
        """End as the other entry VM did, which has made its own attempts.

        :raises AttemptFailed: if it was an endpoint
        """
        if isinstance(self.upstream.place, ToEndpointPlace):
            raise fail_incomplete()
        self.ended = True
        self.upstream.finish(AttemptOutcome.FAILED)

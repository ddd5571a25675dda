"""Relaying of streamed completions, with resumption after a failure."""

from collections.abc import AsyncIterator
from urllib.parse import quote

from burdockdrum.requests.attempts import AttemptFailed
from burdockdrum.requests.attempts import EndpointTarget
from burdockdrum.requests.attempts import fail_incomplete
from burdockdrum.requests.attempts import fail_status
from burdockdrum.requests.attempts import RETRYABLE_STATUSES
from burdockdrum.requests.attempts import Upstream
from burdockdrum.requests.attempts import VERSION_HEADER
from burdockdrum.requests.buffered import make_answer
from burdockdrum.requests.buffered import read_answer
from burdockdrum.requests.events import EventSplitter
from burdockdrum.requests.events import EventTooLarge
from burdockdrum.requests.events import is_done
from burdockdrum.requests.events import is_error
from burdockdrum.requests.events import is_unfinished
from burdockdrum.requests.events import make_error_event
from burdockdrum.requests.events import read_offset
from burdockdrum.requests.exchange import Exchange
from burdockdrum.requests.model import Answer
from burdockdrum.routing import AttemptOutcome
from burdockdrum.verdicts import Refusal

EVENT_STREAM = "text/event-stream"


async def open_stream(exchange: Exchange) -> Answer:
    """Return a stream whose first event has been received.

    Until then nothing is sent to the caller, so a failure can still lead to
    another attempt or to a refusal with its own status.

    :raises Refusal: with the verdict, if no attempt succeeds
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
        headers = dict(head.headers)
        if exchange.request.hops:
            headers[VERSION_HEADER] = quote(upstream.software_version)
        return Answer(
            status=head.status,
            content_type=head.content_type,
            headers=headers,
            body=_relay(exchange, relay, first),
        )


async def _relay(
    exchange: Exchange, relay: "StreamRelay", part: bytes
) -> AsyncIterator[bytes]:
    """Yield the events up to the terminal marker.

    If the stream can't be completed, the last event is an error event.
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
    """Open an attempt that resumes the stream after the delivered tokens.

    :raises Refusal: if the stream can't be resumed
    """
    if not relay.resumable:
        # Without offsets the engine can't resume the stream.
        failure.final = True
    await exchange.give_up(relay.upstream, failure)
    upstream = await exchange.open()
    if not upstream.headers.get("content-type", "").startswith(EVENT_STREAM):
        await exchange.give_up(upstream, fail_incomplete(final=True))
    return StreamRelay(exchange=exchange, upstream=upstream, resumed=True)


class StreamRelay:
    """Reads the events of one attempt that are new to the caller."""

    def __init__(
        self, *, exchange: Exchange, upstream: Upstream, resumed: bool = False
    ) -> None:
        """Create a relay for an attempt's answer.

        :param resumed: whether events up to the offset were sent already
        """
        self.upstream = upstream
        self.ended = False
        self.resumable = True
        self._exchange = exchange
        self._splitter = EventSplitter()
        self._resumed = resumed or exchange.delivered_tokens > 0
        self._attempt_id = upstream.attempt_id
        self._request_id = exchange.request.request_id.encode()

    async def read(self) -> bytes:
        """Return the next new events, joined; they may end the stream.

        :raises AttemptFailed: if the stream ends before its marker
        """
        while True:
            seconds = max(0.0, self._exchange.remaining())
            chunk = await self.upstream.read(seconds)
            if chunk is None:
                # A clean close without the marker is not a complete answer.
                raise fail_incomplete()
            try:
                events = self._splitter.feed(chunk)
            except EventTooLarge as error:
                raise fail_incomplete() from error
            new_events = [event for event in events if self._accept(event)]
            if new_events:
                return b"".join(new_events).replace(
                    self._attempt_id, self._request_id
                )

    def _accept(self, event: bytes) -> bool:
        """Process an event; return whether to send it to the caller."""
        if self.ended:
            return False
        if is_done(event):
            self.ended = True
            tokens = self._exchange.delivered_tokens
            self._exchange.complete(self.upstream, tokens=tokens)
            return True
        if is_error(event):
            self._end_with_error()
            return True
        self.upstream.check_request_id(event)
        offset = read_offset(event)
        if offset is None:
            self.resumable = self.resumable and not event.startswith(b"data:")
            return True
        if offset > self._exchange.delivered_tokens:
            self._check_version()
            self._exchange.delivered_tokens = offset
            self._exchange.record_output(self.upstream)
            return True
        # A resumed stream may repeat tokens that were sent already. Only the
        # event with the finish reason has the offset of the one before it.
        return not (self._resumed and is_unfinished(event))

    def _check_version(self) -> None:
        """Check that one software version writes the whole stream.

        :raises AttemptFailed: if another one began it
        """
        version = self.upstream.software_version
        if self._exchange.software_version is None:
            self._exchange.software_version = version
        elif version != self._exchange.software_version:
            raise fail_incomplete()

    def _end_with_error(self) -> None:
        """End the stream with the error event of another entry VM.

        That entry VM has made its retries already.

        :raises AttemptFailed: if the event is from an endpoint
        """
        if isinstance(self.upstream.target, EndpointTarget):
            raise fail_incomplete()
        self.ended = True
        self.upstream.finish(AttemptOutcome.FAILED)

"""Relaying of streamed completions, with resumption after a failure."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import replace
from typing import Any
from urllib.parse import quote

from burdockdrum.attempts import Attempt
from burdockdrum.requests.answer_runner import AnswerRunner
from burdockdrum.requests.attempts import AttemptFailed
from burdockdrum.requests.attempts import EndpointTarget
from burdockdrum.requests.attempts import fail_incomplete
from burdockdrum.requests.attempts import fail_status
from burdockdrum.requests.attempts import RETRYABLE_STATUSES
from burdockdrum.requests.attempts import Target
from burdockdrum.requests.attempts import Upstream
from burdockdrum.requests.attempts import VERSION_HEADER
from burdockdrum.requests.bodies import ClosingBody
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
    stream = _CallerStream(exchange=exchange)
    task = asyncio.create_task(stream.run())
    waited: set[asyncio.Future[Any]] = {task, stream.head}
    try:
        await asyncio.wait(waited, return_when=asyncio.FIRST_COMPLETED)
    except BaseException:
        await _end(task)
        raise
    if stream.head.done():
        body = ClosingBody(stream.read(task), at_end=lambda: _end(task))
        return replace(stream.head.result(), body=body)
    answer = task.result()
    assert answer is not None, "an attempt succeeded without an answer"
    return answer


async def _end(task: asyncio.Task[Any]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


class _CallerStream:
    """The stream to a caller, which the request's attempts write.

    A caller that reads slowly holds them back.
    """

    def __init__(self, *, exchange: Exchange) -> None:
        """Create a stream that has not begun."""
        # Set when the first event has been received.
        self.head: asyncio.Future[Answer] = (
            asyncio.get_running_loop().create_future()
        )
        self._exchange = exchange
        # None ends the stream.
        self._parts: asyncio.Queue[bytes | None] = asyncio.Queue(maxsize=1)

    async def run(self) -> Answer | None:
        """Make attempts until the stream is complete.

        If it can't be completed, the last event is an error event.

        :returns: the answer if it is no stream
        :raises Refusal: with the verdict, if the stream has not begun
        """
        runner = AnswerRunner(exchange=self._exchange, read=self._relay)
        try:
            answer = await runner.run()
        except Refusal as refusal:
            if not self.head.done():
                raise
            request_id = self._exchange.request.request_id
            await self._parts.put(make_error_event(refusal, request_id))
            answer = None
        except Exception:
            await self._parts.put(None)
            raise
        await self._parts.put(None)
        return answer

    async def read(self, task: asyncio.Task[Any]) -> AsyncIterator[bytes]:
        """Yield the events up to the end of the stream.

        :param task: runs the attempts
        """
        while (part := await self._parts.get()) is not None:
            yield part
        await task

    async def _relay(
        self,
        upstream: Upstream,
        attempt: Attempt[Target, Answer | None],
    ) -> Answer | None:
        """Relay the events of an attempt up to the terminal marker.

        :raises AttemptFailed: if it ends before
        :raises Superseded: if another attempt has begun to write
        """
        content_type = upstream.headers.get("content-type", "")
        if not content_type.startswith(EVENT_STREAM):
            if not self.head.done():
                return await read_answer(self._exchange, upstream, attempt)
            if upstream.status not in RETRYABLE_STATUSES:
                raise fail_incomplete(final=True)
        if upstream.status in RETRYABLE_STATUSES:
            raise fail_status(upstream.status)
        relay = StreamRelay(
            exchange=self._exchange, upstream=upstream, attempt=attempt
        )
        while not relay.ended:
            try:
                part = await relay.read()
            except AttemptFailed as failure:
                # Without offsets the engine can't resume the stream.
                failure.final |= not self._exchange.resumable
                raise
            if not self.head.done():
                self.head.set_result(self._make_head(upstream))
            await self._parts.put(part)
        await upstream.drain()
        return None

    def _make_head(self, upstream: Upstream) -> Answer:
        head = make_answer(upstream, b"")
        if not self._exchange.request.hops:
            return head
        version = quote(upstream.software_version)
        return replace(head, headers={**head.headers, VERSION_HEADER: version})


class StreamRelay:
    """Reads the events of one attempt that are new to the caller."""

    def __init__(
        self,
        *,
        exchange: Exchange,
        upstream: Upstream,
        attempt: Attempt[Target, Any],
    ) -> None:
        """Create a relay for an attempt's answer.

        Events up to the offset that it was opened at were sent already.
        """
        self.upstream = upstream
        self.ended = False
        self._exchange = exchange
        self._attempt = attempt
        self._splitter = EventSplitter()
        self._resumed = exchange.delivered_tokens > 0
        self._attempt_id = upstream.attempt_id
        self._request_id = exchange.request.request_id.encode()

    async def read(self) -> bytes:
        """Return the next new events, joined; they may end the stream.

        :raises AttemptFailed: if the stream ends before its marker
        :raises Superseded: if another attempt has begun to write
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
            self._attempt.claim_response()
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
            if not event.startswith(b"data:"):
                # It says nothing, so that it ends no other attempt.
                return self._attempt.is_alone
            self._attempt.claim_response()
            self._exchange.resumable = False
            return True
        if offset > self._exchange.delivered_tokens:
            self._check_version()
            self._attempt.claim_response()
            self._exchange.delivered_tokens = offset
            self._exchange.record_output(self.upstream)
            return True
        # A resumed stream may repeat tokens that were sent already. Only the
        # event with the finish reason has the offset of the one before it.
        if self._resumed and is_unfinished(event):
            return False
        self._attempt.claim_response()
        return True

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
        if not self._attempt.is_alone:
            raise fail_incomplete(final=True)
        self._attempt.claim_response()
        self.ended = True
        self.upstream.finish(AttemptOutcome.FAILED)

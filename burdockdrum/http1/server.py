"""A server connection, which serves its requests in order."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from http import HTTPStatus
import time
from typing import cast

from loguru import logger

from burdockdrum.http1.end_causes import EndCause
from burdockdrum.http1.exchange import Exchange
from burdockdrum.http1.heads import encode_response
from burdockdrum.http1.heads import Headers
from burdockdrum.http1.listener_protocol import ListenerProtocol
from burdockdrum.http1.receiver import RequestReceiver
from burdockdrum.http1.requests import RejectedRequest
from burdockdrum.http1.requests import RequestHead
from burdockdrum.http1.sockets import enable_keepalive
from burdockdrum.http1.sockets import has_unread
from burdockdrum.http1.sockets import limit_receive_buffer
from burdockdrum.http1.sockets import reset
from burdockdrum.overload import EvictionRank
from burdockdrum.overload import Reservation

MAX_PIPELINED_REQUESTS = 2
# How much the kernel keeps unread while that many requests wait.
UNREAD_BYTES = 64 * 1024
# What a connection may hold before it is counted; most requests are smaller.
FREE_BYTES = 4 * 1024
SHED_RETRY_AFTER_SECONDS = b"1"
SHED = (
    HTTPStatus.SERVICE_UNAVAILABLE,
    "too many large requests are being received",
)
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Limits how much of a response is buffered for a slow reader.
WRITE_HIGH_WATER_BYTES = 64 * 1024
# How long a caller may go on sending after the last response. Bytes that are
# not read would reset the connection, and the response could be lost.
LINGER_SECONDS = 1.0
# Above the resolution of the event loop's timers.
MAX_EARLY_SECONDS = 0.01


class ServerConnection(asyncio.BufferedProtocol):
    """Reads requests and handles each before the next."""

    def __init__(
        self,
        *,
        listener: ListenerProtocol,
        handle: Callable[[Exchange], Awaitable[None]],
    ) -> None:
        """Create a connection that is not open yet."""
        self._listener = listener
        self._handle = handle
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        # Each with the bytes that it holds.
        self._pending: list[tuple[RequestHead | RejectedRequest, int]] = []
        self._pending_added = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_began = 0.0
        self._timer_seconds = 0.0
        self._busy = False
        self._paused = False
        self._closing = False
        self._is_lost = False
        self._has_ended = False
        self._has_served = False
        self._connected_at = time.monotonic()
        self._receiver = RequestReceiver(
            limits=listener,
            connected_at=self._connected_at,
            deliver=self._deliver,
            reject=self._add_rejection,
            send_continue=lambda: self.write(CONTINUE),
        )
        # Read while enough requests waited, and when.
        self._unparsed = b""
        self._unparsed_at = 0.0
        self._is_full = False
        self._has_yielded = False
        # Since when something is left to read, and for how long that was so
        # since the timer was started.
        self._backlog_since: float | None = None
        self._backlog_seconds = 0.0
        self._reservation = Reservation(
            budget=listener.process_limits.memory, shed=self.shed
        )
        # Of the requests that wait or are handled, and of the response.
        self._complete_size = 0
        self._unsent_size = 0
        # Of the refusal of a request that has not run.
        self._rejected_headers: Headers = []

    @property
    def idle(self) -> bool:
        """Whether no request is being received or handled."""
        return not (self._busy or self._pending or self._has_partial)

    @property
    def _has_partial(self) -> bool:
        """Whether a request has begun to arrive."""
        return bool(self._receiver.received_at or self._unparsed)

    @property
    def is_responding(self) -> bool:
        """Whether a request that was read has no complete response yet."""
        return bool(self._busy or self._pending) and not self._closing

    def will_stay_open(self, request: RequestHead) -> bool:
        """Return whether the connection is kept alive after a request.

        One on which the next request has begun to arrive is kept for it.
        """
        if not request.keep_alive or self._closing:
            return False
        has_received_more = bool(self._pending) or self._has_partial
        return has_received_more or not self._listener.draining

    def write(self, data: bytes) -> None:
        """Write to the caller; ignored after it has disconnected."""
        if self._transport is not None:
            self._transport.write(data)

    async def drain(self) -> None:
        """Wait until the write buffer is below its high-water mark."""
        await self._writable.wait()

    def stop(self) -> None:
        """Close the connection as its listener closes."""
        has_request = not (self._closing or self.idle)
        self._record_end(
            EndCause.STOPPED_WITH_REQUEST if has_request else EndCause.STOPPED
        )
        self._close()

    def _close(self) -> None:
        """Close the connection after the write buffer is flushed."""
        self._closing = True
        if self._transport is not None:
            self._transport.close()

    def _close_after_response(self) -> None:
        """Close the connection once the caller has, or soon."""
        self._closing = True
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.write_eof()
        self._update_reading()
        self._start_timer(LINGER_SECONDS)

    def _record_end(self, cause: EndCause) -> None:
        if self._has_ended:
            return
        self._has_ended = True
        unanswered = len(self._pending) + self._busy
        unanswered += self._has_partial
        self._listener.record_end(cause, unanswered=unanswered)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the task that handles the connection's requests."""
        # uvloop's transports have the methods but not the base class.
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        enable_keepalive(transport)
        peer = transport.get_extra_info("peername")
        if peer:
            self._receiver.peer_host = peer[0]
        self._listener.add_connection(self)
        self._task = asyncio.create_task(self._run())
        self._start_timer(self._listener.idle_seconds)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the handler, as the caller has disconnected."""
        if self._timer is not None:
            self._timer.cancel()
        self._writable.set()
        self._record_end(
            EndCause.LEFT if self.idle else EndCause.LEFT_WITH_REQUEST
        )
        self._listener.remove_connection(self)
        self._closing = self._is_lost = True
        self._reservation.release()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Block ``drain``, as the write buffer is full."""
        self._writable.clear()
        # By then the kernel has taken what it can.
        asyncio.get_running_loop().call_soon(self._reserve_unsent)

    def resume_writing(self) -> None:
        """Release ``drain``, as the write buffer has emptied."""
        self._writable.set()
        self._unsent_size = 0
        self._update_reservation()

    def _reserve_unsent(self) -> None:
        """Reserve a response to a slow reader, or cut it for want of room."""
        transport = self._transport
        if self._writable.is_set() or transport is None or self._has_ended:
            return
        self._unsent_size = transport.get_write_buffer_size()
        if not self._update_reservation():
            self._record_end(EndCause.SLOW_READER)
            self._closing = True
            transport.abort()

    def get_buffer(self, size_hint: int) -> memoryview:
        """Return where the next bytes are read to."""
        return self._listener.read_buffer[: self._receiver.read_size]

    def buffer_updated(self, size: int) -> None:
        """Parse received bytes and enforce the limits."""
        if self._receiver.is_rejected or self._closing:
            return
        now = time.monotonic()
        self._end_backlog(now)
        is_filled = size == self._receiver.read_size
        if not (self._receiver.received_at or self._busy):
            self._start_timer(self._listener.header_seconds)
        self._parse(self._listener.read_buffer[:size], now)
        if is_filled and self._receiver.is_chunked:
            self._backlog_since = now
            self._yield_turn()

    def _end_backlog(self, now: float) -> None:
        """Count the time for which the caller had sent more than was read."""
        if self._backlog_since is not None:
            self._backlog_seconds += now - self._backlog_since
            self._backlog_since = None

    def _parse(self, data: memoryview, arrived_at: float) -> None:
        """Parse until enough requests wait, and keep the rest."""
        position = 0
        while position < len(data) and not self._receiver.is_rejected:
            if len(self._pending) >= MAX_PIPELINED_REQUESTS:
                break
            end = position + self._receiver.next_slice()
            self._receiver.feed(data[position:end], arrived_at)
            position = end
        is_kept = not self._receiver.is_rejected
        self._unparsed = bytes(data[position:]) if is_kept else b""
        self._unparsed_at = arrived_at
        self._pause_while_full()
        if not self._update_reservation() and is_kept:
            self._shed_newest()

    def _pause_while_full(self) -> None:
        is_full = len(self._pending) >= MAX_PIPELINED_REQUESTS
        if is_full and not self._is_full and not self._closing:
            self._is_full = True
            assert self._transport is not None
            limit_receive_buffer(self._transport, UNREAD_BYTES)
        self._update_reading()

    def _yield_turn(self) -> None:
        """Let other connections be read before the next read of this one.

        Each small chunk is a call, and the event loop would read on.
        """
        if self._has_yielded:
            return
        self._has_yielded = True
        self._update_reading()
        asyncio.get_running_loop().call_soon(self._end_yield)

    def _end_yield(self) -> None:
        self._has_yielded = False
        if self._transport is None or not has_unread(self._transport):
            self._end_backlog(time.monotonic())
        self._update_reading()

    def _update_reading(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        pauses = self._has_yielded or (self._is_full and not self._closing)
        if pauses and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        elif self._paused and not pauses:
            self._paused = False
            self._transport.resume_reading()

    def _update_reservation(self) -> bool:
        """Reserve what this connection holds; return whether there is room."""
        if self._is_lost:
            return True
        incomplete = self._receiver.size + len(self._unparsed)
        size = incomplete + self._complete_size + self._unsent_size
        if self._is_full:
            size += UNREAD_BYTES
        if size <= FREE_BYTES:
            size = incomplete = 0
        if not size and not self._reservation.size:
            return True
        return self._reservation.resize(size, incomplete=incomplete)

    def shed(self) -> None:
        """Refuse the incomplete request, which has not run, for want of room.

        So are those that follow it on the connection.
        """
        self._reject(*SHED)

    def _shed_newest(self) -> None:
        """Refuse what arrived last, also if it is complete by now."""
        if self._pending and not self._has_partial:
            request, size = self._pending.pop()
            self._complete_size -= size
            if isinstance(request, RequestHead):
                self._rejected_headers = self._listener.describe_refusal(
                    request.headers
                )
            self._receiver.reject(*SHED)
        else:
            self.shed()

    def evict(self) -> None:
        """Close the connection, which has no complete request."""
        self._record_end(EndCause.EVICTED)
        if self._transport is not None:
            self._closing = True
            self._transport.abort()

    @property
    def eviction_rank(self) -> tuple[EvictionRank, float] | None:
        """The rank and since when it applies; None while it is needed."""
        if self._closing:
            is_flushed = self._transport is not None and (
                self._transport.get_write_buffer_size() == 0
            )
            rank = EvictionRank.UNUSED, self._connected_at
            return rank if is_flushed else None
        if self._busy or self._pending:
            return None
        if self._receiver.received_at:
            return EvictionRank.INCOMPLETE, self._receiver.received_at
        if self._has_served:
            return EvictionRank.IDLE, self._timer_began
        return EvictionRank.UNUSED, self._connected_at

    def _deliver(self, request: RequestHead, size: int) -> None:
        self._complete_size += size
        self._pending.append((request, size))
        self._pending_added.set()

    def _reject(self, status: int, reason: str) -> None:
        self._rejected_headers = self._listener.describe_refusal(
            self._receiver.headers
        )
        self._receiver.reject(status, reason)

    def _add_rejection(self, status: int, reason: str) -> None:
        self._unparsed = b""
        rejection = RejectedRequest(
            status=status, reason=reason, headers=self._rejected_headers
        )
        self._pending.append((rejection, 0))
        self._pending_added.set()
        self._update_reservation()

    async def _run(self) -> None:
        while not self._closing:
            while not self._pending:
                self._pending_added.clear()
                await self._pending_added.wait()
            received, size = self._pending.pop(0)
            self._busy = True
            self._stop_timer()
            if isinstance(received, RejectedRequest):
                self._send_rejection(received)
                return
            await self._serve(received)
            # The body would live until the next request.
            del received
            self._busy = False
            self._has_served = True
            self._complete_size -= size
            if self._closing:
                self._update_reservation()
            else:
                self._await_next_request()
            if self._pending:
                # Other connections' requests are served in turn.
                await asyncio.sleep(0)

    async def _serve(self, request: RequestHead) -> None:
        exchange = Exchange(request=request, connection=self)
        try:
            await self._handle(exchange)
        except Exception as error:
            # An unhandled exception must not end the connection's task.
            logger.opt(exception=error).error("the request handler failed")
            self._record_end(EndCause.HANDLER_FAILED)
            if not exchange.started:
                exchange.respond(500, [], b"")
        if not exchange.finished:
            self._record_end(
                EndCause.RESPONSE_CUT
                if exchange.started
                else EndCause.NO_RESPONSE
            )
            self._close_incomplete(exchange)
            return
        await self.drain()
        if not exchange.keeps_connection:
            self._record_end(EndCause.RESPONSE_SENT)
            self._close_after_response()

    def _await_next_request(self) -> None:
        if self._unparsed:
            with memoryview(self._unparsed) as rest:
                self._parse(rest, self._unparsed_at)
        else:
            self._update_reservation()
        if self._is_full and len(self._pending) < MAX_PIPELINED_REQUESTS:
            self._is_full = False
            self._update_reservation()
        self._update_reading()
        seconds = (
            self._listener.header_seconds
            if self._has_partial
            else self._listener.idle_seconds
        )
        self._start_timer(seconds)

    def _send_rejection(self, rejected: RejectedRequest) -> None:
        body = rejected.reason.encode()
        headers = [
            *rejected.headers,
            (b"connection", b"close"),
            (b"content-type", b"text/plain"),
            (b"content-length", b"%d" % len(body)),
        ]
        if rejected.status == HTTPStatus.SERVICE_UNAVAILABLE:
            headers.append((b"retry-after", SHED_RETRY_AFTER_SECONDS))
        self.write(encode_response(rejected.status, headers) + body)
        match rejected.status:
            case HTTPStatus.REQUEST_TIMEOUT:
                cause = EndCause.REQUEST_TIMED_OUT
            case HTTPStatus.SERVICE_UNAVAILABLE:
                cause = EndCause.SHED
            case _:
                cause = EndCause.REJECTED
        self._record_end(cause)
        self._close_after_response()

    def _close_incomplete(self, exchange: Exchange) -> None:
        """Close the connection without sending the last chunk.

        The caller receives what was sent and detects the truncation, which
        takes a reset if there are no chunks.
        """
        if exchange.is_unframed and self._transport is not None:
            self._closing = True
            reset(self._transport)
            return
        self._close()

    def _start_timer(self, seconds: float) -> None:
        self._stop_timer()
        self._timer_began, self._timer_seconds = time.monotonic(), seconds
        self._backlog_seconds = 0.0
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, self._on_timeout)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        self._timer = None
        waited = self._listener.awake_seconds_since(self._timer_began)
        left = self._timer_seconds - waited + self._backlog_seconds
        if self._backlog_since is not None:
            left += time.monotonic() - self._backlog_since
        if left > MAX_EARLY_SECONDS:
            # This process paused, or has not read what has arrived.
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(left, self._on_timeout)
            return
        if self._closing:
            self._close()
            return
        if self._busy or self._pending:
            return
        if self._has_partial:
            self._reject(
                HTTPStatus.REQUEST_TIMEOUT,
                "the request did not arrive in time",
            )
            return
        self._record_end(EndCause.IDLE)
        self._close()

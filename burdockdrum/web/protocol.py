"""uvicorn's HTTP protocol within the limits of the process.

uvicorn parses what has arrived in one go and bounds no head, and neither the
sum of the bodies nor the number of connections.
"""

import asyncio
from collections.abc import Callable
import socket
import time
from typing import Any

from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from burdockdrum.http1 import FRAMING_BYTES_PER_BODY_BYTE
from burdockdrum.logs import log_failure
from burdockdrum.overload import EvictionRank
from burdockdrum.overload import HEADER_OVERHEAD_BYTES
from burdockdrum.overload import ProcessLimits
from burdockdrum.overload import Reservation
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from burdockdrum.web.guard import KEY_HEADER
from burdockdrum.web.responses import encode_refusal

# The parser does not stop inside what it is given, so it gets small slices.
SLICE_BYTES = 512
BODY_SLICE_BYTES = 4 * 1024
# One read of the event loop; many small chunks in it are parsed in turns.
TURN_BYTES = 16 * 1024
MAX_HEAD_BYTES = 64 * 1024
REQUEST_OVERHEAD_BYTES = 4 * 1024
# What a connection may hold before it is counted.
FREE_BYTES = 8 * 1024
# How long a request may take to arrive, and a connection may stay unused.
ARRIVAL_SECONDS = 60.0
SHED_RETRY_AFTER_SECONDS = 1.0
LINGER_SECONDS = 1.0
_GROUP = "http"


class _Flow(FlowControl):
    """Flow control that parses what has been read before it reads on."""

    def __init__(
        self, transport: asyncio.Transport, read_on: Callable[[], None]
    ) -> None:
        super().__init__(transport)
        self._read_on = read_on

    def resume_reading(self) -> None:
        """Parse the rest, then read on, in the next iteration."""
        if self.read_paused:
            self.read_paused = False
            asyncio.get_running_loop().call_soon(self._read_on)


class LimitedHttpProtocol(HttpToolsProtocol):
    """A connection of the daemon's HTTP listener."""

    def __init__(
        self, *arguments: Any, process_limits: ProcessLimits, **options: Any
    ) -> None:
        """Create a connection, which is counted at once."""
        super().__init__(*arguments, **options)
        self._limits = process_limits
        self._connected_at = time.monotonic()
        # Of a connection that begins with a handshake.
        self._raw: socket.socket | None = None
        self._is_accepted = process_limits.connections.accept(self, _GROUP)
        self._reservation = Reservation(
            budget=process_limits.memory, shed=self.shed
        )
        # Read, but not parsed while reading is paused.
        self._rest = b""
        self._received_at = 0.0
        self._is_refused = False
        self._is_in_body = False
        self._head_size = 0
        self._head_cost = 0
        # Chunk sizes, chunk extensions and trailers, in bytes.
        self._framing_size = 0
        self._body_size = 0
        self._unsent_size = 0
        self._arrival_timer: asyncio.TimerHandle | None = None

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Open the connection, or close it as there are too many."""
        if self._raw is None:
            self._count_open()
        if not self._is_accepted:
            self.transport = transport
            transport.abort()
            return
        super().connection_made(transport)
        self.flow = _Flow(transport, self._read_on)
        self._start_arrival_timer()

    def begin(self, raw: socket.socket) -> bool:
        """Count the connection during its handshake.

        :returns: False if it has to close, as there are too many
        """
        self._raw = raw
        self._count_open()
        return self._is_accepted

    def _count_open(self) -> None:
        if self._is_accepted:
            self._limits.connections.open(self)

    def end(self) -> None:
        """Give everything back."""
        if self._arrival_timer is not None:
            self._arrival_timer.cancel()
        self._rest = b""
        self._limits.connections.close(self)
        self._reservation.release()

    def connection_lost(self, exc: Exception | None) -> None:
        """Give everything back, as the connection is closed."""
        super().connection_lost(exc)
        self.end()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes until reading is paused."""
        if self._is_refused or not self._is_accepted:
            return
        self._unset_keepalive_if_required()
        self._rest += data
        self._parse_rest()

    def _read_on(self) -> None:
        if self._stops():
            return
        if self._rest:
            self._parse_rest()
        else:
            self.transport.resume_reading()

    def _parse_rest(self) -> None:
        data, position = self._rest, 0
        end = min(len(data), TURN_BYTES)
        while position < end and not self._stops():
            if not self._received_at:
                self._received_at = time.monotonic()
                self._start_arrival_timer()
            size = BODY_SLICE_BYTES if self._is_in_body else SLICE_BYTES
            part = data[position : position + size]
            position += len(part)
            if self._is_in_body:
                self._framing_size += len(part)
            else:
                self._head_size += len(part)
            super().data_received(part)
            if max(self._head_size, self._framing_size) > MAX_HEAD_BYTES:
                self._refuse_overhead()
        if self._is_refused or self.transport.is_closing():
            self._rest = b""
            return
        self._rest = data[position:]
        if self._rest and not self.flow.read_paused:
            # Other connections are read in between.
            self.transport.pause_reading()
            self.loop.call_soon(self._read_on)
        elif not self._rest and not self.flow.read_paused:
            self.transport.resume_reading()
        if not self._update_reservation():
            self.shed()

    def _refuse_overhead(self) -> None:
        if self._head_size > MAX_HEAD_BYTES:
            status, what = 431, "the head is"
        else:
            status, what = 400, "chunk extensions and trailers are"
        self._refuse(status, RefusalCode.BAD_REQUEST, f"{what} too large")

    def _stops(self) -> bool:
        is_closing = self._is_refused or self.transport.is_closing()
        return is_closing or self.flow.read_paused

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers count toward the head as well."""
        super().on_header(name, value)
        self._head_cost += HEADER_OVERHEAD_BYTES + len(name) + len(value)

    def on_headers_complete(self) -> None:
        """Start to count the body."""
        self._is_in_body = True
        self._head_size = 0
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Count a part of the body, which the handler keeps."""
        if not self.cycle.response_complete:
            self._body_size += len(body)
        justified = (1 + FRAMING_BYTES_PER_BODY_BYTE) * len(body)
        self._framing_size = max(0, self._framing_size - justified)
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Expect the next request."""
        self._is_in_body = False
        self._framing_size = 0
        self._received_at = 0.0
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Give back what the request has held."""
        if not self.pipeline:
            self._head_cost = self._body_size = 0
        super().on_response_complete()
        self._update_reservation()

    def pause_writing(self) -> None:
        """Count what the caller does not read."""
        super().pause_writing()
        # By then the kernel has taken what it can.
        self.loop.call_soon(self._reserve_unsent)

    def resume_writing(self) -> None:
        """Stop counting what has been read by now."""
        super().resume_writing()
        self._unsent_size = 0
        self._update_reservation()

    def _reserve_unsent(self) -> None:
        if not self.flow.write_paused or self.transport.is_closing():
            return
        self._unsent_size = self.transport.get_write_buffer_size()
        if not self._update_reservation():
            self.transport.abort()

    def _update_reservation(self) -> bool:
        """Reserve what this connection holds; return whether there is room."""
        if self._is_refused or self.parser is None:
            return True
        requests = len(self.pipeline) * REQUEST_OVERHEAD_BYTES
        size = len(self._rest) + self._head_size + self._head_cost + requests
        size += self._framing_size + self._body_size + self._unsent_size
        if size <= FREE_BYTES:
            size = 0
        if not size and not self._reservation.size:
            return True
        incomplete = size if self._is_incomplete else 0
        return self._reservation.resize(size, incomplete=incomplete)

    @property
    def _is_incomplete(self) -> bool:
        """Whether the request that arrives is the only one."""
        if self.pipeline:
            return False
        if self.cycle is None or self.cycle.response_complete:
            return True
        return self.cycle.more_body and not self.cycle.response_started

    def shed(self) -> None:
        """Refuse the incomplete request for want of room."""
        if not self._is_incomplete:
            self.transport.abort()
            return
        self._refuse(
            503,
            RefusalCode.OVERLOADED,
            "too many large requests are being received",
            retry_after=SHED_RETRY_AFTER_SECONDS,
        )

    @property
    def _may_have_run(self) -> bool:
        """Whether the request may have run elsewhere, under a key."""
        if not self._is_in_body:
            # The key may be in what has not arrived.
            return True
        return any(name == KEY_HEADER for name, _ in self.headers)

    def _refuse(
        self,
        status: int,
        code: RefusalCode,
        message: str,
        *,
        retry_after: float | None = None,
    ) -> None:
        """Respond in place of the handler, and close the connection."""
        if self._is_refused or self.transport.is_closing():
            return
        refusal = Refusal(
            code=code,
            message=message,
            verdict=Verdict.MAY_HAVE_RUN
            if self._may_have_run
            else Verdict.NOT_RUN,
            retry_after=retry_after,
        )
        if self.cycle is not None and not self.cycle.response_complete:
            # The handler waits for the rest of the body.
            self.cycle.disconnected = True
            self.cycle.message_event.set()
        self._is_refused = True
        self._rest = b""
        self._reservation.release()
        self.transport.write(encode_refusal(status, refusal))
        if self.transport.can_write_eof():
            self.transport.write_eof()
        # Bytes that are not read would reset the connection, and the
        # response could be lost.
        self.transport.resume_reading()
        self.loop.call_later(LINGER_SECONDS, self.transport.close)

    @property
    def eviction_rank(self) -> tuple[EvictionRank, float] | None:
        """The rank and since when it applies; None while it is needed."""
        if self._is_refused:
            return EvictionRank.UNUSED, self._connected_at
        if not self._is_incomplete:
            return None
        if self._received_at:
            return EvictionRank.INCOMPLETE, self._received_at
        if self.cycle is None:
            return EvictionRank.UNUSED, self._connected_at
        return EvictionRank.IDLE, self._connected_at

    def evict(self) -> None:
        """Close the connection, which has no complete request."""
        if self.transport is not None:
            self.transport.abort()
        elif self._raw is not None:
            # The handshake fails.
            self._raw.shutdown(socket.SHUT_RDWR)

    def _start_arrival_timer(self) -> None:
        if self._arrival_timer is not None:
            self._arrival_timer.cancel()
        self._arrival_timer = self.loop.call_later(
            ARRIVAL_SECONDS, self._on_arrival_timeout
        )

    def _on_arrival_timeout(self) -> None:
        """Close a connection whose request has not arrived in time."""
        if self._is_refused or self.transport.is_closing():
            return
        if self.flow.read_paused or not self._is_incomplete:
            self._start_arrival_timer()
            return
        log_failure("connection.timed_out", listener="http")
        self.transport.abort()

"""One seed of the soak of crowded endpoints.

Callers of one region after the other send more than its endpoint can run,
over connections that they keep, some requests one right after the other. The
endpoints reject, spoil and lose responses and stand still, while they and the
processes come and go and the routes move. A request that may run once must
run once, and not after a promise.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
import itertools
import time
from typing import Any

import httptools

from scripts.local_deployment import CALLERS_PORT
from scripts.local_deployment import Machine
from scripts.soak.crowded_endpoint import CrowdedEndpoint
from scripts.soak.crowded_endpoint import Handling
from scripts.soak.invariants import NOT_RUN_STATUSES
from scripts.soak.receiving import Received
from scripts.soak.retries import ENDPOINTS
from scripts.soak.retries import RetrySoak

REQUEST_RATE = 240.0
CALLER_SECONDS = 3.0
TIMEOUT_MS = 1500
# How long a region has its peak, and how many of all requests come there.
PEAK_SECONDS = (1.0, 4.0)
PEAK_FRACTION = 0.8
ONCE_FRACTION = 0.8
BODY_BYTES = (600, 200_000)
LONG_BODY_FRACTION = 0.1
CHUNKED_FRACTION = 0.3
PIPELINED_FRACTION = 0.2
MAX_KEPT = 40
TRIES = 3
# Of the promised requests, how many come back with the id that they had.
SAME_ID_FRACTION = 0.3
UNTIL_CRASH_SECONDS = (0.5, 4.0)
DOWN_SECONDS = (0.05, 1.5)
PAUSE_SECONDS = (0.3, 2.0)
SPOILED_FRACTIONS = (0.0, 0.05, 0.3)
CHUNK_BYTES = 300


@dataclass(kw_only=True)
class Try:
    """A request as its caller sent it, and what came of it."""

    request_id: str
    path: str
    entry: str
    sent_at: float
    received: Received
    ended_at: float = float("inf")

    @property
    def is_promised(self) -> bool:
        """Return whether it was answered as not run."""
        return (
            self.received.is_whole and self.received.status in NOT_RUN_STATUSES
        )

    def describe(self) -> str:
        """Return it in words."""
        return (
            f"{self.request_id} {self.path} at {self.entry} sent "
            f"{self.sent_at:.3f} end {self.ended_at:.3f} status "
            f"{self.received.status} {'' if self.received.is_whole else 'cut'}"
        )


class CallerConnection(asyncio.Protocol):
    """A connection that carries some requests, answered in their order."""

    def __init__(self) -> None:
        """Create a connection that is not open yet."""
        self.is_open = True
        self.transport: asyncio.Transport | None = None
        self._expected: list[tuple[Received, asyncio.Event]] = []
        self._parser: httptools.HttpResponseParser | None = None

    def send(self, payload: bytes) -> tuple[Received, asyncio.Event]:
        """Send a request; return its response, and what is set at its end."""
        assert self.transport is not None
        expected = (Received(is_connected=True), asyncio.Event())
        self._expected.append(expected)
        self.transport.write(payload)
        return expected

    def close(self) -> None:
        """Close the connection; what is expected ends as it is."""
        self.is_open = False
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: Any) -> None:
        """Store the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse the responses, each with a parser of its own."""
        if self._parser is None:
            self._parser = httptools.HttpResponseParser(self)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        """End all responses that are expected."""
        self.is_open = False
        for _, ended in self._expected:
            ended.set()
        self._expected.clear()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header to the oldest expected response."""
        if self._expected:
            self._expected[0][0].on_header(name, value)

    def on_body(self, body: bytes) -> None:
        """Add a part of its body."""
        if self._expected:
            self._expected[0][0].on_body(body)

    def on_message_complete(self) -> None:
        """End the oldest expected response."""
        assert self._parser is not None
        if not self._expected or self._parser.get_status_code() < 200:
            return
        received, ended = self._expected.pop(0)
        received.status = self._parser.get_status_code()
        received.on_message_complete()
        if not self._parser.should_keep_alive():
            self.is_open = False
        ended.set()


class CrowdSoak(RetrySoak):
    """A deployment whose endpoints get more than they can run."""

    fault_interval_seconds = (2.0, 6.0)

    def __init__(self, seed: int, *, entries: int = 2) -> None:
        """Create a run that is not started.

        :param entries: the number of entries in each region
        """
        super().__init__(seed, entries=entries, rate=REQUEST_RATE)
        self.handled_by_id: dict[str, list[Handling]] = {}
        self.tries: list[Try] = []
        self._peak = self.deployment.zones[0]
        self._kept_by_entry: dict[str, list[CallerConnection]] = {}
        self._crowded = [
            CrowdedEndpoint(
                rng=self.rng,
                zone=zone,
                service=service,
                drops_ended=service == "s",
                handled_by_id=self.handled_by_id,
            )
            for zone in self.deployment.zones
            for service in ENDPOINTS
        ]
        self.endpoints = self._crowded  # type: ignore[assignment]

    def list_routes(self) -> list[dict[str, Any]]:
        """Return a route of each kind of plain requests."""
        return [
            self.make_route(
                "once", kind="unsafe", attempts=1, timeout_ms=TIMEOUT_MS
            ),
            self.make_route("again", attempts=2, timeout_ms=TIMEOUT_MS),
        ]

    async def send_request(self) -> int:
        """Send a request, or two on a connection; come back if promised."""
        entry = self._choose_entry()
        count = 1 + (self.rng.random() < PIPELINED_FRACTION)
        ids: list[tuple[str, str]] = [self._make_id() for _ in range(count)]
        status = 0
        for _ in range(TRIES):
            tries = await self._send(entry, ids)
            status = tries[0].received.status if tries else 0
            returning = [t for t in tries if t.is_promised]
            if not returning:
                break
            ids = [
                (t.request_id, t.path)
                if self.rng.random() < SAME_ID_FRACTION
                else self._make_id()
                for t in returning
            ]
            seconds = returning[0].received.retry_after
            if seconds is None:
                self.violations.append(
                    f"{returning[0].request_id} refused without Retry-After"
                )
            await asyncio.sleep(min(seconds or 0.0, CALLER_SECONDS / 3))
            entry = self._choose_entry()
        return status

    def _make_id(self) -> tuple[str, str]:
        """Return the id and the path of a new request."""
        self._number += 1
        is_once = self.rng.random() < ONCE_FRACTION
        return f"r{self._number}", "/once/x" if is_once else "/again/x"

    def _choose_entry(self) -> Machine:
        entries = self.deployment.entries
        if self.rng.random() < PEAK_FRACTION:
            entries = [e for e in entries if e.zone == self._peak]
        return self.rng.choice(entries)

    async def _send(
        self, entry: Machine, ids: list[tuple[str, str]]
    ) -> list[Try]:
        kept = self._kept_by_entry.setdefault(entry.name, [])
        try:
            connection = await self._connect(entry, kept)
        except (OSError, TimeoutError):
            return []
        sent: list[tuple[Try, asyncio.Event]] = []
        for request_id, path in ids:
            received, ended = connection.send(self._encode(request_id, path))
            attempt = Try(
                request_id=request_id,
                path=path,
                entry=entry.name,
                sent_at=time.monotonic(),
                received=received,
            )
            sent.append((attempt, ended))
            self.tries.append(attempt)
        for attempt, ended in sent:
            try:
                async with asyncio.timeout(CALLER_SECONDS):
                    await ended.wait()
            except TimeoutError:
                connection.close()
            attempt.ended_at = time.monotonic()
            self.counts_by_status[attempt.received.status] += 1
        if connection.is_open and len(kept) < MAX_KEPT:
            kept.append(connection)
        elif connection.transport is not None:
            connection.transport.close()
        return [attempt for attempt, _ in sent]

    async def _connect(
        self, entry: Machine, kept: list[CallerConnection]
    ) -> CallerConnection:
        while kept:
            connection = kept.pop()
            if connection.is_open:
                return connection
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(1.0):
            _, connection = await loop.create_connection(
                CallerConnection, entry.ip, CALLERS_PORT
            )
        return connection

    def _encode(self, request_id: str, path: str) -> bytes:
        is_long = self.rng.random() < LONG_BODY_FRACTION
        body = b"b" * BODY_BYTES[is_long]
        if self.rng.random() < CHUNKED_FRACTION:
            framing = "Transfer-Encoding: chunked"
            parts = [
                body[begin : begin + CHUNK_BYTES]
                for begin in range(0, len(body), CHUNK_BYTES)
            ]
            body = b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in parts)
            body += b"0\r\n\r\n"
        else:
            framing = f"Content-Length: {len(body)}"
        head = (
            f"POST {path} HTTP/1.1\r\nHost: h\r\n"
            f"X-Request-Id: {request_id}\r\n"
            f"X-Deadline-Ms: {CALLER_SECONDS * 1000:.0f}\r\n{framing}\r\n\r\n"
        )
        return head.encode() + body

    def list_faults(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the faults of processes, as often as each should come."""
        return [
            self.restart_one,
            self.restart_all_entries,
            self.restart_entries_in_series,
            self.pause_entry,
            self.pause_entry,
            self.lose_endpoints,
            self.change_weights,
            self.change_weights,
        ]

    async def change_failures(self) -> None:
        """Move the peak, spoil responses and restart endpoints."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._move_peak())
            group.create_task(self._restart_endpoints())
            group.create_task(self._pause_endpoints())

    async def _move_peak(self) -> None:
        for zone in itertools.cycle(self.deployment.zones):
            self._peak = zone
            for endpoint in self._crowded:
                endpoint.spoiled_fraction = self.rng.choice(SPOILED_FRACTIONS)
            await asyncio.sleep(self.rng.uniform(*PEAK_SECONDS))

    async def _restart_endpoints(self) -> None:
        while True:
            await asyncio.sleep(self.rng.uniform(*UNTIL_CRASH_SECONDS))
            endpoint = self.rng.choice(self._crowded)
            self._record(f"{endpoint.endpoint_id} crashes")
            await endpoint.restart(self.rng.uniform(*DOWN_SECONDS))

    async def _pause_endpoints(self) -> None:
        while True:
            await asyncio.sleep(self.rng.uniform(*UNTIL_CRASH_SECONDS))
            endpoint = self.rng.choice(self._crowded)
            self._record(f"{endpoint.endpoint_id} pauses")
            await endpoint.pause(self.rng.uniform(*PAUSE_SECONDS))

    def check(self) -> list[str]:
        """Return what was violated."""
        tries_by_id: dict[str, list[Try]] = {}
        for sent in self.tries:
            if sent.path.startswith("/once/"):
                tries_by_id.setdefault(sent.request_id, []).append(sent)
        return self.violations + [
            f"ran {runs} times: "
            + "; ".join(sent.describe() for sent in tries)
            + "; "
            + ", ".join(h.describe() for h in handled)
            for request_id, tries in tries_by_id.items()
            if (handled := self.handled_by_id.get(request_id, []))
            and (runs := sum(h.began_at is not None for h in handled))
            > sum(not sent.is_promised for sent in tries)
        ]

    def summarize(self) -> str:
        """Return how many requests were rejected, and ran."""
        handled = [h for group in self.handled_by_id.values() for h in group]
        again = sum(len(group) > 1 for group in self.handled_by_id.values())
        return (
            f"{len(self.tries)} requests, {len(handled)} at endpoints, "
            f"{sum(h.status == 503 for h in handled)} rejected there, "
            f"{sum(h.began_at is not None for h in handled)} ran; {again} "
            f"reached several; "
            f"{sum(t.is_promised for t in self.tries)} promised as not run"
        )

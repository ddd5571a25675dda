"""An endpoint that falls silent for a while and goes on.

It pauses, or stalls, on one connection or on all of them, between two bytes of
any response. It may also write responses whose bytes have no end.
"""

import asyncio
from collections.abc import Iterator
import contextlib
import random
import time
import weakref

from burdockdrum.histories import RequestArrived
from burdockdrum.histories import RetryHistory
from scripts.soak.answers import AnswerHistory
from scripts.soak.answers import Run
from scripts.soak.answers import RunEnd
from scripts.soak.endless_bytes import BEGINNING
from scripts.soak.endless_bytes import Endless
from scripts.soak.endless_bytes import write_endless
from scripts.soak.endpoint import parse_headers
from scripts.soak.failing_endpoint import FailingEndpoint
from scripts.soak.failing_endpoint import Failure

EVENTS = 20
BODY_PARTS = 10
# Bodies of either size; an entry buffers the smaller ones.
BODY_BYTES = (2_000, 600_000)
PART_INTERVAL_SECONDS = 0.04
# How often a silent endpoint checks whether its connection has ended.
POLL_SECONDS = 0.05
ENDLESS_INTERVAL_SECONDS = 0.01
_NOT_RUN = (Failure.REJECTS, Failure.MISDIRECTS)


class PausingEndpoint(FailingEndpoint):
    """Responds to every request in the end, unless it fails it.

    It sends nothing on any connection before ``silent_until``, in monotonic
    time. Each of ``pauses``, in seconds, is taken by the next connection that
    would send something. While ``endless`` is set, a part of its responses is
    of that kind.
    """

    endless_now = 0
    endless_peak = 0

    def __init__(
        self,
        *,
        rng: random.Random,
        service: str,
        zone: str,
        history: RetryHistory,
        answers: AnswerHistory,
    ) -> None:
        """Create an endpoint that never pauses."""
        super().__init__(rng=rng, service=service, zone=zone, history=history)
        self.silent_until = 0.0
        self.pauses: list[float] = []
        self.endless: Endless | None = None
        self._answers = answers
        self._silent_until_by_writer: weakref.WeakKeyDictionary[
            asyncio.StreamWriter, float
        ] = weakref.WeakKeyDictionary()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        headers = parse_headers(head)
        await reader.readexactly(int(headers.get(b"content-length", b"0")))
        if b"x-request-id" not in headers:
            await self._stay_silent(reader, writer)
            self._answer_health(headers, writer)
            return
        request_id = headers[b"x-request-id"].decode()
        now = time.monotonic()
        self._history.arrived.append(
            RequestArrived(
                time=now, service=self.service, request_id=request_id
            )
        )
        fails = self._rng.random() < self.fraction
        failure = self.failure if fails else Failure.NONE
        run = Run(
            request_id=request_id, endpoint_id=self.endpoint_id, began_at=now
        )
        if failure in _NOT_RUN:
            run.end = RunEnd.FAILED
            self._answers.rejected_by_id[request_id].append(run)
            await self._stay_silent(reader, writer)
            await self._fail(writer, request_id, b"", failure)
            run.ended_at = time.monotonic()
            return
        self._answers.runs_by_id[request_id].append(run)
        try:
            await self._respond(reader, writer, head, headers, failure, run)
        except OSError:
            if run.end is RunEnd.OPEN:
                run.end = RunEnd.CUT
            raise
        finally:
            run.ended_at = min(run.ended_at, time.monotonic())

    async def _respond(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        head: bytes,
        headers: dict[bytes, bytes],
        failure: Failure,
        run: Run,
    ) -> None:
        endless = self.endless if self._rng.random() < self.fraction else None
        if failure is not Failure.NONE or endless is not None:
            run.end = RunEnd.FAILED
        is_stream = head.split(b" ")[1].startswith((b"/resume/", b"/stream/"))
        if endless is not None and endless is not Endless.SURPLUS:
            await self._write_endless(
                reader, writer, endless, run, begins=not is_stream
            )
            return
        if failure not in (Failure.NONE, Failure.RESETS):
            await self._stay_silent(reader, writer)
            await self._fail(writer, run.request_id, b"", failure)
            return
        if is_stream:
            first = int(headers.get(b"last-event-id", b"0")) + 1
            parts = list(_write_stream(run.request_id, first))
        else:
            size = self._rng.choice(BODY_BYTES)
            parts = list(_write_whole(run.request_id, size))
        if failure is Failure.RESETS:
            parts = parts[: self._rng.randrange(len(parts))]
        await self._send_parts(
            reader, writer, parts, run, begins_at=int(is_stream)
        )
        if failure is Failure.RESETS:
            await self._fail(writer, run.request_id, b"", failure)
            return
        run.end, run.ended_at = RunEnd.WHOLE, time.monotonic()
        if endless is Endless.SURPLUS:
            unread = asyncio.create_task(self._lose_request(reader))
            try:
                await self._write_endless(
                    reader, writer, endless, run, begins=False
                )
            finally:
                unread.cancel()

    async def _lose_request(self, reader: asyncio.StreamReader) -> None:
        """Record that a request gets bytes that are no response."""
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            headers = parse_headers(await reader.readuntil(b"\r\n\r\n"))
            request_id = headers.get(b"x-request-id", b"").decode()
            now = time.monotonic()
            self._answers.runs_by_id[request_id].append(
                Run(
                    request_id=request_id,
                    endpoint_id=self.endpoint_id,
                    began_at=now,
                    end=RunEnd.FAILED,
                    ended_at=now,
                )
            )

    async def _send_parts(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        parts: list[bytes],
        run: Run,
        *,
        begins_at: int,
    ) -> None:
        """Send a response.

        :param begins_at: the part with which it owns the caller's response
        """
        for number, part in enumerate(parts):
            half = len(part) // 2
            for data in (part[:half], part[half:]):
                await self._stay_silent(reader, writer)
                writer.write(data)
            await writer.drain()
            if number >= begins_at:
                run.last_wrote_at = time.monotonic()
                run.wrote_at = min(run.wrote_at, run.last_wrote_at)
            await asyncio.sleep(PART_INTERVAL_SECONDS)

    async def _stay_silent(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Wait until a pause is over.

        :raises ConnectionResetError: if the connection ends meanwhile
        """
        now = time.monotonic()
        if self.pauses:
            self._silent_until_by_writer[writer] = now + self.pauses.pop()
        while True:
            if reader.at_eof() or writer.is_closing():
                raise ConnectionResetError("closed by the entry")
            seconds = self._silence_left(writer)
            if seconds <= 0:
                return
            await asyncio.sleep(min(seconds, POLL_SECONDS))

    def _silence_left(self, writer: asyncio.StreamWriter) -> float:
        own = self._silent_until_by_writer.get(writer, 0.0)
        return max(self.silent_until, own) - time.monotonic()

    async def _write_endless(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        endless: Endless,
        run: Run,
        *,
        begins: bool,
    ) -> None:
        """Write until the connection ends.

        :param begins: whether a valid head begins the answer
        """
        begins = begins and endless in BEGINNING
        with _count_endless():
            for data in write_endless(endless, run.request_id):
                await self._stay_silent(reader, writer)
                writer.write(data)
                if begins:
                    run.wrote_at = min(run.wrote_at, time.monotonic())
                await writer.drain()
                await asyncio.sleep(ENDLESS_INTERVAL_SECONDS)


@contextlib.contextmanager
def _count_endless() -> Iterator[None]:
    """Count the connections of all endpoints that write without end."""
    PausingEndpoint.endless_now += 1
    PausingEndpoint.endless_peak = max(
        PausingEndpoint.endless_peak, PausingEndpoint.endless_now
    )
    try:
        yield
    finally:
        PausingEndpoint.endless_now -= 1


def _write_stream(request_id: str, first: int) -> Iterator[bytes]:
    yield (
        b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Request-Id: %s\r\n"
        b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        b"\r\n" % request_id.encode()
    )
    for number in range(first, EVENTS + 1):
        event = b"id: %d\ndata: %s\n\n" % (number, request_id.encode())
        yield b"%x\r\n%s\r\n" % (len(event), event)
    yield b"0\r\n\r\n"


def _write_whole(request_id: str, size: int) -> Iterator[bytes]:
    unit = request_id.encode() + b"."
    body = unit * (size // len(unit))
    yield (
        b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Request-Id: %s\r\n"
        b"Content-Length: %d\r\n\r\n" % (request_id.encode(), len(body))
    )
    step = len(body) // BODY_PARTS + 1
    for begin in range(0, len(body), step):
        yield body[begin : begin + step]

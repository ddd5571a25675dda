"""A simulated endpoint and a proxy that injects faults in front of it."""

import asyncio
from collections.abc import Callable
import contextlib
from dataclasses import dataclass
import enum
import random
import time

SLOTS = 8


@dataclass(kw_only=True)
class AnnouncedPeriod:
    """A time in which an endpoint announces the same limit.

    ``limit`` is in requests per second, None for no limit. ``heard_at`` is
    when a response with it first arrived. Times are monotonic.
    """

    limit: float | None
    heard_at: float | None = None
    ended_at: float | None = None


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """A request at an endpoint, by monotonic time.

    ``expected_id`` is the id of the endpoint that it was sent to.
    """

    at: float
    request_id: str
    expected_id: str


@dataclass(frozen=True, kw_only=True)
class Rejection:
    """A rejection that requested a backoff of so many seconds."""

    at: float
    endpoint_id: str
    seconds: float


class Endpoint:
    """Answers requests and counts the runs of each.

    A request under ``/once/`` must not run twice; one under ``/again/`` may.
    ``limits`` has the rate limits that it announced and when each began;
    ``arrivals`` are all requests. While ``backoff_seconds`` is set, it rejects
    requests and requests such a backoff, and adds ``rejections``. While
    ``is_draining``, it announces that, under its ``endpoint_id``;
    ``drained_at_by_id`` is when such a response first arrived. Times are
    monotonic.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        is_heard: Callable[[], bool] = lambda: True,
    ) -> None:
        """Create an endpoint that is not open.

        :param is_heard: returns whether its responses arrive
        """
        self.runs_by_id: dict[str, int] = {}
        self.arrivals: list[Arrival] = []
        self.rejections: list[Rejection] = []
        self.drained_at_by_id: dict[str, float] = {}
        self.backoff_seconds: float | None = None
        self.is_draining = False
        self.endpoint_id = ""
        self.software_version = "v1"
        self.limits: list[AnnouncedPeriod] = []
        self._is_heard = is_heard
        self.address = ""
        self._rng = rng
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Listen on a free port."""
        server = await self._listen("127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def _listen(self, host: str, port: int) -> asyncio.Server:
        """Serve connections until the endpoint is closed."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            # Accepted, but not served yet when the endpoint was closed.
            if self._server is not server:
                writer.transport.abort()
                return
            await self._serve(reader, writer)

        server = await asyncio.start_server(
            serve, host, port, start_serving=False
        )
        self._server = server
        await server.start_serving()
        return server

    def close(self) -> None:
        """Stop listening, and end with every connection."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in self._writers:
            writer.transport.abort()
        for task in self._tasks - {asyncio.current_task()}:
            task.cancel()

    def lose_connections(self) -> None:
        """Reset every connection, and go on to listen."""
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        # Injected faults drop connections; the end of a seed cancels the
        # tasks of those that are still open.
        with contextlib.suppress(
            asyncio.CancelledError, asyncio.IncompleteReadError, OSError
        ):
            while True:
                await self._answer(reader, writer)
        self._writers.discard(writer)
        writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        headers, body = await self._read_request(reader)
        if self._answer_health(headers, writer):
            return
        request_id = headers[b"x-request-id"].decode()
        expected_id = headers.get(b"x-expect-instance", b"").decode()
        self.arrivals.append(
            Arrival(
                at=time.monotonic(),
                request_id=request_id,
                expected_id=expected_id,
            )
        )
        if expected_id != self.endpoint_id:
            self._refuse(writer, b"421 Misdirected Request", request_id)
            return
        if self.backoff_seconds is not None:
            self._reject(writer, request_id, self.backoff_seconds)
            return
        await self._run(writer, request_id, body)

    async def _read_request(
        self, reader: asyncio.StreamReader
    ) -> tuple[dict[bytes, bytes], bytes]:
        head = await reader.readuntil(b"\r\n\r\n")
        headers = parse_headers(head)
        length = int(headers.get(b"content-length", b"0"))
        return headers, await reader.readexactly(length)

    def _answer_health(
        self, headers: dict[bytes, bytes], writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a request for the health, which has no id."""
        is_health = b"x-request-id" not in headers
        if is_health:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        return is_health

    async def _run(
        self, writer: asyncio.StreamWriter, request_id: str, body: bytes
    ) -> None:
        self.runs_by_id[request_id] = self.runs_by_id.get(request_id, 0) + 1
        await asyncio.sleep(self._rng.uniform(0.001, 0.05))
        answer = request_id.encode() + b":" + body
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n"
            + self._announce()
            + b"X-Request-Id: "
            + request_id.encode()
            + b"\r\nContent-Length: %d\r\n\r\n" % len(answer)
            + answer
        )

    def _reject(
        self, writer: asyncio.StreamWriter, request_id: str, seconds: float
    ) -> None:
        if self._is_heard():
            now = time.monotonic()
            self.rejections.append(
                Rejection(
                    at=now, endpoint_id=self.endpoint_id, seconds=seconds
                )
            )
        status = b"503 Service Unavailable\r\nRetry-After: %g" % seconds
        self._refuse(writer, status, request_id)

    def _refuse(
        self, writer: asyncio.StreamWriter, status: bytes, request_id: str
    ) -> None:
        writer.write(
            b"HTTP/1.1 %s\r\nX-Not-Run: 1\r\nX-Request-Id: %s\r\n"
            b"Content-Length: 0\r\n\r\n" % (status, request_id.encode())
        )

    def set_limit(self, limit: float | None) -> None:
        """Announce another limit from now on, or none."""
        now = time.monotonic()
        if self.limits:
            self.limits[-1].ended_at = now
        self.limits.append(AnnouncedPeriod(limit=limit))

    def _announce(self) -> bytes:
        return self._announce_limit() + self._announce_drain()

    def _announce_drain(self) -> bytes:
        if not self.is_draining:
            return b""
        if self._is_heard():
            now = time.monotonic()
            self.drained_at_by_id.setdefault(self.endpoint_id, now)
        return b"Server-Leaving: 1\r\n"

    def _announce_limit(self) -> bytes:
        period = self.limits[-1] if self.limits else None
        if period is None or period.limit is None:
            return b""
        if period.heard_at is None and self._is_heard():
            period.heard_at = time.monotonic()
        return b"Server-Limit: %g\r\n" % period.limit


def parse_headers(head: bytes) -> dict[bytes, bytes]:
    """Return the headers of a message head, with names in lower case."""
    pairs = [line.partition(b":") for line in head.split(b"\r\n")[1:]]
    return {name.lower(): value.strip() for name, _, value in pairs}


class Fault(enum.Enum):
    """A fault of the connections through a proxy."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    UNRESPONSIVE = "silent"
    RESPONSES_LOST = "answers lost"


class Proxy:
    """Forwards connections to an address under a configurable fault."""

    def __init__(self, *, rng: random.Random) -> None:
        """Create a proxy that is not open."""
        self.fault = Fault.NONE
        self.address = ""
        self._target = ""
        self._rng = rng
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self, target: str) -> None:
        """Listen on a free port in front of a target."""
        self._target = target
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def forwards_responses(self) -> bool:
        """Return whether responses arrive, though perhaps late."""
        return self.fault in (Fault.NONE, Fault.DELAY)

    def set_fault(self, fault: Fault) -> None:
        """Set the fault; RESET aborts all open connections."""
        self.fault = fault
        if fault is Fault.RESET:
            for writer in list(self._writers):
                writer.transport.abort()

    def close(self) -> None:
        """Stop listening and drop every connection."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._target.rpartition(":")
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.CancelledError):
            upstream = await asyncio.open_connection(host, int(port))
            self._writers.add(upstream[1])
            await asyncio.gather(
                self._copy(reader, upstream[1], is_response=False),
                self._copy(upstream[0], writer, is_response=True),
            )
        writer.transport.abort()
        self._writers.discard(writer)

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_response: bool,
    ) -> None:
        while data := await reader.read(65536):
            match self.fault:
                case Fault.DELAY:
                    await asyncio.sleep(self._rng.uniform(0.05, 0.4))
                case Fault.UNRESPONSIVE:
                    continue
                case Fault.RESPONSES_LOST if is_response:
                    writer.transport.abort()
                    return
            writer.write(data)
        writer.close()

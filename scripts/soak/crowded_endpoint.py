"""An endpoint with few slots, which rejects what its queue can't hold.

Some of its responses are spoiled, or followed by bytes of no request.
"""

import asyncio
from collections.abc import Iterator
import contextlib
from dataclasses import dataclass
import enum
import random
import time

from scripts.soak.endpoint import Endpoint
from scripts.soak.endpoint import parse_headers

SLOTS = 6
QUEUE = 24
MAX_CONNECTIONS = 96
RUN_SECONDS = (0.02, 0.15)
REJECTION = (
    b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n"
    b"%sContent-Length: 4\r\n\r\nfull"
)
BAD_REQUEST = (
    b"HTTP/1.1 400 Bad Request\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
)
# Until an endpoint has taken the body of a request for another one.
MISREAD_SECONDS = (0.0, 0.01)
ANSWER = (
    b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n"
    b"X-Request-Id: %s\r\nContent-Length: %d\r\n\r\n"
)


class Spoiled(enum.Enum):
    """What is wrong with a response."""

    NOT = "nothing"
    RESET_AFTER_RUN = "reset after the run"
    CLOSED_AFTER_RUN = "closed after the run"
    ERROR_AFTER_RUN = "error after the run"
    HANGS_AFTER_RUN = "nothing after the run"
    CUT = "cut"
    UNFRAMED = "ends with its connection"
    TWICE = "sent twice at once"
    TWICE_LATE = "sent again where the next one is due"
    REJECTION_LATE = "a rejection of nothing where the next one is due"
    MISDIRECTION_LATE = "a 421 of nothing where the next one is due"
    REJECTED_EARLY = "rejected before the body was read"
    REJECTED_AND_CLOSED = "rejected, then closed"
    REJECTED_UNREAD = "rejected, then its body taken for another request"


_REJECTED = (
    Spoiled.REJECTED_EARLY,
    Spoiled.REJECTED_AND_CLOSED,
    Spoiled.REJECTED_UNREAD,
)


@dataclass(kw_only=True)
class Handling:
    """A request at an endpoint, by monotonic time.

    ``began_at`` is when it began to run, None if it did not.
    """

    endpoint_id: str
    arrived_at: float
    began_at: float | None = None
    status: int = 0

    def describe(self) -> str:
        """Return it in words."""
        run = "-" if self.began_at is None else f"{self.began_at:.3f}"
        return (
            f"{self.endpoint_id} at {self.arrived_at:.3f} ran {run} "
            f"status {self.status}"
        )


class CrowdedEndpoint(Endpoint):
    """Runs a few requests at once and lets a few more wait.

    ``handled_by_id`` are all requests that it read, ``spoiled_fraction`` is
    how many of its responses are spoiled. It may stand still, and one that
    doesn't drop requests whose connection has ended runs those that it finds
    afterwards.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        zone: str,
        service: str,
        drops_ended: bool,
        handled_by_id: dict[str, list[Handling]],
    ) -> None:
        """Create an endpoint that is not open."""
        super().__init__(rng=rng)
        self.service = service
        self.zone = zone
        self.is_registered = True
        self.spoiled_fraction = 0.0
        self.starts = 0
        self._drops_ended = drops_ended
        self._is_awake = asyncio.Event()
        self._is_awake.set()
        self._handled_by_id = handled_by_id
        self._slots = asyncio.Semaphore(SLOTS)
        self._waiting = 0

    async def restart(self, seconds: float) -> None:
        """End with all connections, and start again under another id."""
        host, _, port = self.address.rpartition(":")
        self.is_registered = False
        self.close()
        await asyncio.sleep(seconds)
        self.starts += 1
        self.endpoint_id = (
            f"{self.endpoint_id.partition('-')[0]}-{self.starts}"
        )
        await self._listen(host, int(port))
        self.is_registered = True

    async def pause(self, seconds: float) -> None:
        """Stand still; what was sent meanwhile is read afterwards."""
        self._is_awake.clear()
        await asyncio.sleep(seconds)
        self._is_awake.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self._writers) >= MAX_CONNECTIONS:
            writer.transport.abort()
            return
        await super()._serve(reader, writer)

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        leftover = b""
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            await self._is_awake.wait()
            writer.write(leftover)
            leftover = await self._handle(head, reader, writer)

    async def _handle(
        self,
        head: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bytes:
        """Answer a request.

        :returns: what is sent once the next request arrives
        """
        headers = parse_headers(head)
        length = int(headers.get(b"content-length", b"0"))
        spoiled = Spoiled.NOT
        if self._rng.random() < self.spoiled_fraction:
            spoiled = self._rng.choice(list(Spoiled))
        if self._answer_health(headers, writer):
            return b""
        name = headers[b"x-request-id"]
        handling = Handling(
            endpoint_id=self.endpoint_id, arrived_at=time.monotonic()
        )
        self._handled_by_id.setdefault(name.decode(), []).append(handling)
        if headers.get(b"x-expect-instance") != self.endpoint_id.encode():
            handling.status = 421
            await reader.readexactly(length)
            self._refuse(writer, b"421 Misdirected Request", name.decode())
            return b""
        if spoiled in _REJECTED or self._waiting >= QUEUE:
            handling.status = 503
            return await self._turn_down(reader, writer, name, length, spoiled)
        await reader.readexactly(length)
        await self._occupy_slot(reader, writer, handling)
        if spoiled is Spoiled.HANGS_AFTER_RUN:
            await reader.read()
        return self._write_answer(writer, name, spoiled, handling)

    async def _turn_down(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        name: bytes,
        length: int,
        spoiled: Spoiled,
    ) -> bytes:
        """Reject a request before or after its body is read.

        :returns: what is sent once the next request arrives
        """
        rejection = REJECTION % (b"X-Request-Id: " + name + b"\r\n")
        if spoiled is Spoiled.REJECTED_EARLY:
            writer.write(rejection)
            await reader.readexactly(length)
            return b""
        await reader.readexactly(length)
        writer.write(rejection)
        match spoiled:
            case Spoiled.REJECTED_UNREAD:
                await asyncio.sleep(self._rng.uniform(*MISREAD_SECONDS))
                writer.write(BAD_REQUEST)
            case Spoiled.REJECTED_AND_CLOSED:
                writer.close()
            case Spoiled.TWICE_LATE:
                return rejection
        return b""

    async def _occupy_slot(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        handling: Handling,
    ) -> None:
        """Run a request once there is a slot.

        :raises ConnectionResetError: if its connection has ended before
        """
        with self._count_waiting():
            await self._slots.acquire()
        try:
            await self._is_awake.wait()
            has_ended = reader.at_eof() or writer.is_closing()
            if has_ended and self._drops_ended:
                raise ConnectionResetError("closed by the entry")
            handling.began_at = time.monotonic()
            await asyncio.sleep(self._rng.uniform(*RUN_SECONDS))
        finally:
            self._slots.release()

    def _write_answer(
        self,
        writer: asyncio.StreamWriter,
        name: bytes,
        spoiled: Spoiled,
        handling: Handling,
    ) -> bytes:
        body = name + b"." * 800
        answer = ANSWER % (name, len(body)) + body
        handling.status = 200
        match spoiled:
            case Spoiled.RESET_AFTER_RUN:
                writer.transport.abort()
            case Spoiled.CLOSED_AFTER_RUN:
                writer.close()
            case Spoiled.ERROR_AFTER_RUN:
                handling.status = 500
                writer.write(answer.replace(b"200 OK", b"500 Error", 1))
            case Spoiled.CUT:
                writer.write(answer[: self._rng.randrange(len(answer))])
                writer.close()
            case Spoiled.UNFRAMED:
                length = b"Content-Length: %d\r\n" % len(body)
                writer.write(answer.replace(length, b"", 1))
                writer.close()
            case Spoiled.TWICE:
                writer.write(answer + answer)
            case Spoiled.TWICE_LATE:
                writer.write(answer)
                return answer
            case Spoiled.REJECTION_LATE:
                writer.write(answer)
                return REJECTION % b""
            case Spoiled.MISDIRECTION_LATE:
                writer.write(answer)
                return b"HTTP/1.1 421 Misdirected Request\r\n\r\n"
            case _:
                writer.write(answer)
        return b""

    @contextlib.contextmanager
    def _count_waiting(self) -> Iterator[None]:
        self._waiting += 1
        try:
            yield
        finally:
            self._waiting -= 1

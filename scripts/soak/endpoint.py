"""A stand-in for an endpoint, and a proxy in front of it that misbehaves."""

import asyncio
import contextlib
import enum
import random

SLOTS = 8


class Endpoint:
    """Answer requests and count how often each has run.

    A request's path says what may be done with it: ``/once/`` must not run
    twice, ``/again/`` may.
    """

    def __init__(self, *, rng: random.Random) -> None:
        """Create an endpoint that is not open."""
        self.runs_by_id: dict[str, int] = {}
        self.address = ""
        self._rng = rng
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def close(self) -> None:
        """Stop listening and drop every connection."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        # Whoever drops a connection is one of the faults; at the end of a
        # seed the connections that are still open are cancelled.
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
        head = await reader.readuntil(b"\r\n\r\n")
        fields = read_fields(head)
        length = int(fields.get(b"content-length", b"0"))
        body = await reader.readexactly(length)
        request_id = fields[b"x-request-id"].decode()
        self.runs_by_id[request_id] = self.runs_by_id.get(request_id, 0) + 1
        await asyncio.sleep(self._rng.uniform(0.001, 0.05))
        answer = request_id.encode() + b":" + body
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Request-Id: "
            + request_id.encode()
            + b"\r\nContent-Length: %d\r\n\r\n" % len(answer)
            + answer
        )


def read_fields(head: bytes) -> dict[bytes, bytes]:
    """Return the headers of a raw head, names in lower case."""
    pairs = [line.partition(b":") for line in head.split(b"\r\n")[1:]]
    return {name.lower(): value.strip() for name, _, value in pairs}


class Fault(enum.Enum):
    """What a proxy does to the bytes that pass through it."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    ANSWERS_LOST = "answers lost"


class Proxy:
    """Pass connections on to an address, with a fault that can change."""

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

    def set_fault(self, fault: Fault) -> None:
        """Change the fault; a reset ends what is open."""
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
                self._copy(reader, upstream[1], is_answer=False),
                self._copy(upstream[0], writer, is_answer=True),
            )
        writer.transport.abort()
        self._writers.discard(writer)

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        while data := await reader.read(65536):
            match self.fault:
                case Fault.DELAY:
                    await asyncio.sleep(self._rng.uniform(0.05, 0.4))
                case Fault.SILENT:
                    continue
                case Fault.ANSWERS_LOST if is_answer:
                    writer.transport.abort()
                    return
            writer.write(data)
        writer.close()

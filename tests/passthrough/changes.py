"""Endpoints and callers for tests beside changes of the configuration."""

import asyncio
import time

from tests.http1.wire import header
from tests.http1.wire import read_request
from tests.http1.wire import ScriptedServer
from tests.passthrough.entries import event

EVENTS = 24
EVENT_SECONDS = 0.06
# Requests that an endpoint runs at once; it rejects others.
SLOTS = 2
ANSWER_SECONDS = 0.2
# Longer than any deadline.
READ_SECONDS = 15.0


class SilentAtTimes(ScriptedServer):
    """An endpoint whose writes wait while it is silent."""

    def __init__(self):
        """Create an endpoint; ``open`` starts to listen."""
        super().__init__(self._answer)
        self.silent_until = 0.0
        self.has_written = asyncio.Event()
        self._running = 0

    async def _answer(self, reader, writer):
        while True:
            head, _ = await read_request(reader)
            request_id = header(head, b"x-request-id") or b""
            first = b"HTTP/1.1 200 OK\r\nX-Endpoint: e\r\nX-Request-Id: "
            self._running += 1
            try:
                await self._respond(head, writer, first + request_id + b"\r\n")
            finally:
                self._running -= 1

    async def _respond(self, head, writer, first):
        if self._running > SLOTS:
            await self._write(
                writer,
                first.replace(b"200 OK", b"503 Full")
                + b"X-Not-Started: 1\r\nContent-Length: 0\r\n\r\n",
            )
        elif b"/stream" in head:
            begin = int(header(head, b"last-event-id") or 0) + 1
            await self._write(
                writer,
                first + b"Content-Type: text/event-stream\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n",
            )
            for number in range(begin, EVENTS + 1):
                await asyncio.sleep(EVENT_SECONDS)
                part = event(number)
                await self._write(writer, b"%x\r\n%s\r\n" % (len(part), part))
            await self._write(writer, b"0\r\n\r\n")
        else:
            await asyncio.sleep(ANSWER_SECONDS)
            await self._write(
                writer,
                first + b"Content-Length: 2\r\n\r\nok",
            )

    async def _write(self, writer, data):
        while (left := self.silent_until - time.monotonic()) > 0:
            await asyncio.sleep(left)
        if writer.transport.is_closing():
            raise ConnectionError("the entry has gone")
        writer.write(data)
        self.has_written.set()


class KeptCaller:
    """A caller that keeps its connection."""

    def __init__(self, address):
        """Create a caller of an entry."""
        self._host, _, self._port = address.rpartition(":")
        self._writer = None
        self.connections = 0

    async def call(self, request):
        """Send a request; return the status and the body, None if it broke.

        :returns: ``(status, body)``; the status is None if there was none
        """
        if self._writer is None:
            self.connections += 1
            self._reader, self._writer = await asyncio.open_connection(
                self._host, int(self._port)
            )
        status, body = None, None
        try:
            self._writer.write(request)
            async with asyncio.timeout(READ_SECONDS):
                head = await self._reader.readuntil(b"\r\n\r\n")
                status = int(head.split(b" ")[1])
                body = await self._read_body(head)
        except (ConnectionError, asyncio.IncompleteReadError):
            self.close()
            return status, None
        if header(head, b"connection") == b"close":
            self.close()
        return status, body

    async def _read_body(self, head):
        length = header(head, b"content-length")
        if length is not None:
            return await self._reader.readexactly(int(length))
        body = b""
        while True:
            size = int(await self._reader.readuntil(b"\r\n"), 16)
            body += (await self._reader.readexactly(size + 2))[:-2]
            if not size:
                return body

    def close(self):
        """Close the connection; the next request opens another one."""
        if self._writer is not None:
            self._writer.transport.abort()
            self._writer = None

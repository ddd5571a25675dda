"""Raw HTTP for tests, to send what client libraries reject."""

import asyncio

from burdockdrum.http1 import Limits
from burdockdrum.http1 import Listener


class ListenerCase:
    """A mixin with a listener on a free port and raw connections to it."""

    awake_seconds_since = None
    describe_refusal = None
    process_limits = None

    async def open(self, handle, **limits):
        """Open a listener that reads its limits from ``self.limits``."""
        self.limits = Limits(**limits)
        # The causes of ended connections.
        self.ends = []
        self.listener = Listener(
            address="127.0.0.1:0",
            handle=handle,
            read_limits=lambda: self.limits,
            awake_seconds_since=self.awake_seconds_since,
            on_end=lambda cause: self.ends.append(cause.value),
            describe_refusal=self.describe_refusal,
            process_limits=self.process_limits,
        )
        await self.listener.open()
        return self.listener

    async def connect(self):
        """Open a raw connection."""
        host, _, port = self.listener.address.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    async def send(self, data):
        """Send bytes on a new connection and return the response."""
        reader, writer = await self.connect()
        writer.write(data)
        async with asyncio.timeout(5):
            answer = await reader.read()
        writer.close()
        return answer


class ScriptedServer:
    """An endpoint that sends scripted bytes."""

    def __init__(self, script):
        """Create a server that runs ``script(reader, writer)``."""
        self.script = script
        self.connections = 0
        self.writers = []

    async def open(self):
        """Listen; return the address."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self.address

    async def close(self):
        """Stop listening and abort the connections."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.connections += 1
        self.writers.append(writer)
        try:
            await self.script(reader, writer)
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            # The client disconnected or the test has ended.
            writer.transport.abort()


async def read_request(reader):
    """Return the raw head and body of a request."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    return head, await reader.readexactly(length)


def header(head, name):
    """Return the value of a header in a raw head."""
    for line in head.split(b"\r\n")[1:]:
        known, _, value = line.partition(b":")
        if known.lower() == name:
            return value.strip()
    return None

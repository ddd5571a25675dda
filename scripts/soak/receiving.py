"""Callers that read one response from a connection of its own."""

import asyncio
import contextlib
from dataclasses import dataclass
from dataclasses import field

import httptools

from scripts.local_deployment import CALLERS_PORT

CONNECT_SECONDS = 1.0
MAX_BODY_BYTES = 4 * 1024 * 1024


@dataclass(kw_only=True)
class Received:
    """What came of a response.

    ``status`` is 0 if its head did not arrive. ``is_whole`` says that it
    arrived to its end, ``is_connected`` that there was a connection;
    ``retry_after`` is in seconds.
    """

    status: int = 0
    is_whole: bool = False
    is_connected: bool = False
    retry_after: float | None = None
    parts: list[bytes] = field(default_factory=list)

    @property
    def body(self) -> bytes:
        """Return the part of the body that arrived."""
        return b"".join(self.parts)

    def on_body(self, body: bytes) -> None:
        """Add a part of the body; called by the parser."""
        self.parts.append(body)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Read a header; called by the parser."""
        if name.lower() == b"retry-after":
            self.retry_after = float(value)

    def on_message_complete(self) -> None:
        """Record the end of the response; called by the parser."""
        self.is_whole = True


async def receive(
    ip: str, path: str, headers: dict[str, str], *, seconds: float
) -> Received:
    """Send a request without a body to an entry and read its response.

    :param seconds: how long to wait for the end of the response
    """
    received = Received()
    parser = httptools.HttpResponseParser(received)
    fields = {"Host": "h", "Content-Length": "0", **headers}
    lines = [f"POST {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    writer = None
    size = 0
    # What arrives before the connection ends is the result.
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(CONNECT_SECONDS):
            reader, writer = await asyncio.open_connection(ip, CALLERS_PORT)
        received.is_connected = True
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        async with asyncio.timeout(seconds):
            while not received.is_whole and size <= MAX_BODY_BYTES:
                data = await reader.read(65536)
                if not data:
                    break
                size += len(data)
                parser.feed_data(data)
                received.status = parser.get_status_code()
    if writer is not None:
        writer.close()
    return received

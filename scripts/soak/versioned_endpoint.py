"""An endpoint that streams events with its software version."""

import asyncio
from collections.abc import Sequence
import random

from burdockdrum.histories import CrashHistory
from scripts.soak.crashing_endpoint import CrashingEndpoint
from scripts.soak.endpoint import parse_headers

VERSIONS = ("v1", "v2", "v3")
EVENTS = 30
EVENT_INTERVAL_SECONDS = 0.04
_HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Request-Id: %s\r\n"
    b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)


class VersionedEndpoint(CrashingEndpoint):
    """Comes back at its address as another incarnation and version."""

    def __init__(
        self,
        *,
        rng: random.Random,
        service: str,
        zone: str,
        versions: Sequence[str] = VERSIONS,
    ) -> None:
        """Create an endpoint that is not open.

        :param versions: each incarnation has one of them
        """
        super().__init__(
            rng=rng, service=service, zone=zone, history=CrashHistory()
        )
        self._versions = versions
        self.software_version = rng.choice(versions)

    async def restart_as(self, version: str) -> None:
        """End with all connections; start at once under the same id."""
        host, _, port = self.address.rpartition(":")
        self.close()
        self.software_version = version
        await self._listen(host, int(port))

    async def _restart(self) -> None:
        self.software_version = self._rng.choice(self._versions)
        await super()._restart()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        headers = parse_headers(await reader.readuntil(b"\r\n\r\n"))
        await reader.readexactly(int(headers.get(b"content-length", b"0")))
        if self._answer_health(headers, writer):
            return
        request_id = headers[b"x-request-id"]
        expected = headers.get(b"x-expect-instance")
        if expected != self.endpoint_id.encode():
            self._refuse(
                writer, b"421 Misdirected Request", request_id.decode()
            )
            return
        version = self.software_version.encode()
        writer.write(_HEAD % request_id)
        first = int(headers.get(b"last-event-id", b"0")) + 1
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_INTERVAL_SECONDS)
            event = b"id: %d\ndata: %s\n\n" % (number, version)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

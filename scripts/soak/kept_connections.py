"""Callers that keep using their connections to entries."""

import asyncio
import collections
import contextlib
from dataclasses import dataclass

from scripts.soak.endpoint import parse_headers

CONNECT_TIMEOUT_SECONDS = 1.0
RESPONSE_TIMEOUT_SECONDS = 5.0

_Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@dataclass(frozen=True, kw_only=True)
class Response:
    """The status of a response, 0 if there was none, and its headers."""

    status: int
    headers: dict[bytes, bytes]


NO_RESPONSE = Response(status=0, headers={})


class KeptConnections:
    """Open connections to entries, used until the entry closes them."""

    def __init__(self) -> None:
        """Create it without connections."""
        self._idle_by_address: dict[tuple[str, int], list[_Connection]] = (
            collections.defaultdict(list)
        )

    async def post(
        self, ip: str, port: int, path: str, headers: dict[str, str]
    ) -> Response:
        """Send a request without a body on a kept connection."""
        address = (ip, port)
        try:
            connection = await self._connect(address)
        except (OSError, TimeoutError):
            return NO_RESPONSE
        response = NO_RESPONSE
        with contextlib.suppress(
            OSError, TimeoutError, asyncio.IncompleteReadError
        ):
            async with asyncio.timeout(RESPONSE_TIMEOUT_SECONDS):
                response = await _exchange(connection, path, headers)
        closes = response.headers.get(b"connection", b"").lower() == b"close"
        if response.status and not closes:
            self._idle_by_address[address].append(connection)
        else:
            connection[1].close()
        return response

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self._idle_by_address.values():
            for _, writer in connections:
                writer.close()
        self._idle_by_address.clear()

    async def _connect(self, address: tuple[str, int]) -> _Connection:
        idle = self._idle_by_address[address]
        while idle:
            reader, writer = idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
            writer.close()
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            return await asyncio.open_connection(*address)


async def _exchange(
    connection: _Connection, path: str, headers: dict[str, str]
) -> Response:
    reader, writer = connection
    lines = [f"POST {path} HTTP/1.1", "Content-Length: 0"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
    head = await reader.readuntil(b"\r\n\r\n")
    fields = parse_headers(head)
    await reader.readexactly(int(fields.get(b"content-length", b"0")))
    return Response(status=int(head.split(b" ")[1]), headers=fields)

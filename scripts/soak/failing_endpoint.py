"""An endpoint that fails a part of its requests in one of several ways."""

import asyncio
import enum
import random
import time

from burdockdrum.histories import RequestArrived
from burdockdrum.histories import RetryHistory
from scripts.soak.endpoint import Endpoint

SILENCE_SECONDS = 5.0


class Failure(enum.Enum):
    """What an endpoint does instead of serving a request."""

    NONE = "none"
    REJECTS = "rejects"
    MISDIRECTS = "misdirects"
    ERRORS = "errors"
    RESETS = "resets"
    CLOSES_UNREAD = "closes unread"
    SILENT = "silent"


class FailingEndpoint(Endpoint):
    """Records all arrivals, and fails ``fraction`` of the requests."""

    def __init__(
        self,
        *,
        rng: random.Random,
        service: str,
        zone: str,
        history: RetryHistory,
    ) -> None:
        """Create an endpoint that serves every request."""
        super().__init__(rng=rng)
        self.service = service
        self.zone = zone
        self.failure = Failure.NONE
        self.fraction = 1.0
        self.is_registered = True
        self._history = history

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        headers, body = await self._read_request(reader)
        if self._answer_health(headers, writer):
            return
        request_id = headers[b"x-request-id"].decode()
        self._history.arrived.append(
            RequestArrived(
                time=time.monotonic(),
                service=self.service,
                request_id=request_id,
            )
        )
        failure = Failure.NONE
        if self._rng.random() < self.fraction:
            failure = self.failure
        await self._fail(writer, request_id, body, failure)

    async def _fail(
        self,
        writer: asyncio.StreamWriter,
        request_id: str,
        body: bytes,
        failure: Failure,
    ) -> None:
        match failure:
            case Failure.NONE:
                await self._run(writer, request_id, body)
            case Failure.REJECTS:
                self._refuse(writer, b"503 Service Unavailable", request_id)
            case Failure.MISDIRECTS:
                self._refuse(writer, b"421 Misdirected Request", request_id)
            case Failure.ERRORS:
                writer.write(
                    b"HTTP/1.1 500 Internal Server Error\r\n"
                    b"X-Server-Stamp: s\r\nX-Request-Id: %s\r\n"
                    b"Content-Length: 0\r\n\r\n" % request_id.encode()
                )
            case Failure.RESETS:
                writer.transport.abort()
            case Failure.CLOSES_UNREAD:
                # Without a response, and with the next request unread.
                writer.close()
            case Failure.SILENT:
                await asyncio.sleep(SILENCE_SECONDS)

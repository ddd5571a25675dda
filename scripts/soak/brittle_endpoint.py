"""An endpoint that crashes if it must reject too many requests."""

import asyncio
import random
import time

from burdockdrum.histories import CrashHistory
from burdockdrum.histories import RejectionHistory
from scripts.soak.crashing_endpoint import CrashingEndpoint
from scripts.soak.endpoint import parse_headers

BRITTLE_SLOTS = 3
RUN_SECONDS = (0.2, 0.4)
# Requests that wait while the endpoint isn't brittle.
USUAL_QUEUE = 24
WINDOW_SECONDS = 1.0


class BrittleEndpoint(CrashingEndpoint):
    """Runs a few requests at once; the next wait or are rejected.

    While ``max_rejections`` is set, it announces that, and crashes if it
    rejects more in a second; ``queue`` is how many requests may wait.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        service: str,
        zone: str,
        history: RejectionHistory,
    ) -> None:
        """Create an endpoint that is not open and not brittle."""
        super().__init__(
            rng=rng, service=service, zone=zone, history=CrashHistory()
        )
        self.max_rejections: int | None = None
        self.queue = USUAL_QUEUE
        # Seconds in which it ran requests, over all slots.
        self.busy_seconds = 0.0
        self._rejections = history
        self._requests = 0
        self._recent: list[tuple[float, str]] = []
        self._slots = asyncio.Semaphore(BRITTLE_SLOTS)

    async def crash(self) -> None:
        """End with all connections; restart later."""
        self._recent.clear()
        self._requests = 0
        self._slots = asyncio.Semaphore(BRITTLE_SLOTS)
        await super().crash()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        headers = parse_headers(head)
        await reader.readexactly(int(headers.get(b"content-length", b"0")))
        if self._answer_health(headers, writer):
            return
        request_id = headers[b"x-request-id"].decode()
        if headers.get(b"x-expect-instance") != self.endpoint_id.encode():
            self._refuse(writer, b"421 Misdirected Request", request_id)
        elif self._requests >= BRITTLE_SLOTS + self.queue:
            await self._reject_full(writer, request_id)
        else:
            await self._run_in_slot(writer, request_id)

    async def _run_in_slot(
        self, writer: asyncio.StreamWriter, request_id: str
    ) -> None:
        slots = self._slots
        self._requests += 1
        try:
            async with slots:
                began = time.monotonic()
                await asyncio.sleep(self._rng.uniform(*RUN_SECONDS))
                await self._run(writer, request_id, b"")
                self.busy_seconds += time.monotonic() - began
        finally:
            if slots is self._slots:
                self._requests -= 1

    async def _reject_full(
        self, writer: asyncio.StreamWriter, request_id: str
    ) -> None:
        now = time.monotonic()
        since = now - WINDOW_SECONDS
        self._recent = [r for r in self._recent if r[0] > since]
        self._recent.append((now, request_id))
        limit = self.max_rejections
        if limit is not None and len(self._recent) > limit:
            self._rejections.record_crash(
                now, self.service, [name for _, name in self._recent]
            )
            await self.crash()
            return
        self._refuse(
            writer,
            b"503 Service Unavailable\r\n" + self._announce()[:-2],
            request_id,
        )

    def _announce(self) -> bytes:
        announced = super()._announce()
        if self.max_rejections is None:
            return announced
        return announced + b"Server-Brittle: %d\r\n" % self.max_rejections

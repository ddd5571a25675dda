"""An endpoint that crashes when it runs certain requests."""

import asyncio
import itertools
import random
import time

from burdockdrum.histories import CrashHistory
from burdockdrum.histories import CrashingArrival
from scripts.soak.endpoint import Endpoint
from scripts.soak.endpoint import parse_headers

CRASHING_PREFIX = "/again/crash-"
CRASHING_PART = "bad"
# How long a request runs before it crashes the endpoint, or completes.
RUN_SECONDS = (0.02, 0.3)
RESTART_SECONDS = (1.5, 3.5)
_incarnations = itertools.count()


class CrashingEndpoint(Endpoint):
    """Crashes under certain paths, and under a certain part of a prompt.

    It restarts after some seconds at the same address with another id.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        service: str,
        zone: str,
        history: CrashHistory,
    ) -> None:
        """Create an endpoint that is not open."""
        super().__init__(rng=rng)
        self.service = service
        self.zone = zone
        self.is_registered = True
        self._history = history
        self._restarts: set[asyncio.Task[None]] = set()

    async def crash(self) -> None:
        """End with all connections; restart later."""
        self.is_registered = False
        self.close()
        task = asyncio.create_task(self._restart())
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _restart(self) -> None:
        await asyncio.sleep(self._rng.uniform(*RESTART_SECONDS))
        host, _, port = self.address.rpartition(":")
        # Before it listens, else it accepts requests for the former one.
        self.endpoint_id = f"i{next(_incarnations)}"
        await self._listen(host, int(port))
        self.is_registered = True

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        headers = parse_headers(head)
        await reader.readexactly(int(headers.get(b"content-length", b"0")))
        if self._answer_health(headers, writer):
            return
        target = _name_cause(head.split(b" ")[1].decode(), headers)
        request_id = headers[b"x-request-id"].decode()
        if headers.get(b"x-expect-instance") != self.endpoint_id.encode():
            self._refuse(writer, b"421 Misdirected Request", request_id)
            return
        arrival = CrashingArrival(time=time.monotonic(), target=target)
        is_crashing = target.startswith((CRASHING_PREFIX, CRASHING_PART))
        if is_crashing:
            self._history.arrived.append(arrival)
        await asyncio.sleep(self._rng.uniform(*RUN_SECONDS))
        if not is_crashing:
            await self._run(writer, request_id, b"")
        elif self.is_registered:
            self._history.crashed.append(arrival)
            await self.crash()


def _name_cause(target: str, headers: dict[bytes, bytes]) -> str:
    """Return the crashing part of a request's prompt, else its path."""
    parts = headers.get(b"x-prompt-prefix", b"").decode().split(",")
    names = [part.partition(":")[0] for part in parts]
    return CRASHING_PART if CRASHING_PART in names[:-1] else target

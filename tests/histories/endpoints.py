"""Simulated endpoints, which record the requests that they receive."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from burdockdrum.emulator import Announcer
from burdockdrum.emulator import build_engine_application
from burdockdrum.emulator import build_plain_application
from burdockdrum.emulator import EmulatedEngine
from burdockdrum.emulator import EngineSettings
from burdockdrum.emulator import PlainService
from burdockdrum.endpoints import Announcement
from burdockdrum.histories import EndpointDraining
from burdockdrum.histories import History
from burdockdrum.histories import Ran
from burdockdrum.ports import UpstreamCall
from burdockdrum.testing import AsgiServer
from burdockdrum.testing import FakeAnswer
from burdockdrum.testing import serve_asgi
from burdockdrum.testing import VirtualClock
from burdockdrum.testing.vms import FakeCluster

ENGINES_A_REGION = 2
SLOTS = 8
TOKEN_SECONDS = 0.02
BOOKING_SECONDS = 0.8


@dataclass
class _RunningEndpoint:
    incarnation: int
    announcer: Announcer
    server: AsgiServer
    task: asyncio.Task[None]


class EndpointFleet:
    """Two engines and one booking service in each region."""

    def __init__(
        self,
        *,
        cluster: FakeCluster,
        history: History,
        regions: tuple[str, ...],
    ) -> None:
        """Create the fleet without starting its endpoints."""
        self._cluster = cluster
        self._history = history
        self._regions = regions
        self._incarnation = 0
        self._running_by_id: dict[str, _RunningEndpoint] = {}

    @property
    def endpoint_ids(self) -> list[str]:
        """Return the ids of all endpoints."""
        return [
            f"{region}-{name}"
            for region in self._regions
            for name in ("engine1", "engine2", "booking")
        ]

    def hosts_in(self, region: str) -> list[str]:
        """Return the hosts of a region's endpoints."""
        return [n for n in self.endpoint_ids if n.startswith(region)]

    async def start(self) -> None:
        """Start every endpoint."""
        for endpoint_id in self.endpoint_ids:
            await self.start_endpoint(endpoint_id)

    async def start_endpoint(self, endpoint_id: str) -> None:
        """Start an endpoint, or restart it as a new incarnation."""
        region = endpoint_id.split("-")[0]
        self._incarnation += 1
        clock = VirtualClock()
        engine: EmulatedEngine | None = None
        if endpoint_id.endswith("booking"):
            plain = PlainService(clock=clock, seconds=BOOKING_SECONDS)
            application = build_plain_application(plain)
        else:
            engine = EmulatedEngine(
                settings=EngineSettings(
                    service="planner",
                    slots=SLOTS,
                    token_seconds=TOKEN_SECONDS,
                ),
                clock=clock,
            )
            application = build_engine_application(engine)
        await application.start()
        url = self._url(endpoint_id)
        server = serve_asgi(application)
        recording = self._record_calls(endpoint_id, region, server)
        self._cluster.web.serve(url, endpoint_id, recording)

        def read_load() -> tuple[int, int]:
            return (engine.running, engine.waiting) if engine else (0, 0)

        announcer = Announcer(
            http=self._cluster.client(endpoint_id),
            clock=clock,
            entries=self._entry_urls(region),
            token="endpoint",
            announcement=Announcement(
                endpoint_id=endpoint_id,
                incarnation=self._incarnation,
                url=url,
                service="booking" if engine is None else "planner",
                slots=SLOTS,
            ),
            read_load=read_load,
        )
        task = asyncio.create_task(announcer.run())
        self._running_by_id[endpoint_id] = _RunningEndpoint(
            self._incarnation, announcer, server, task
        )

    async def crash_endpoint(self, endpoint_id: str) -> None:
        """Crash an endpoint."""
        running = self._running_by_id.pop(endpoint_id, None)
        if running is None:
            return
        self._cluster.web.stop(self._url(endpoint_id))
        running.server.abort()
        running.task.cancel()
        await asyncio.gather(running.task, return_exceptions=True)

    async def start_draining(self, endpoint_id: str) -> None:
        """Let an endpoint announce that it is draining."""
        running = self._running_by_id.get(endpoint_id)
        if running is None:
            return
        await running.announcer.leave()
        now = asyncio.get_running_loop().time()
        self._history.draining.append(
            EndpointDraining(
                time=now,
                endpoint_id=endpoint_id,
                incarnation=running.incarnation,
            )
        )

    async def stop(self) -> None:
        """Crash every endpoint."""
        for endpoint_id in list(self._running_by_id):
            await self.crash_endpoint(endpoint_id)

    def _record_calls(
        self,
        endpoint_id: str,
        region: str,
        server: Callable[[UpstreamCall], Awaitable[FakeAnswer]],
    ) -> Callable[[UpstreamCall], Awaitable[FakeAnswer]]:
        incarnation = self._incarnation

        async def recording(call: UpstreamCall) -> FakeAnswer:
            key = call.headers.get("idempotency-key")
            number = _read_number(call) if key is None else None
            if key is not None or number is not None:
                self._history.ran.append(
                    Ran(
                        time=asyncio.get_running_loop().time(),
                        endpoint_id=endpoint_id,
                        region=region,
                        number=number,
                        key=key,
                        incarnation=incarnation,
                    )
                )
            return await server(call)

        return recording

    def _entry_urls(self, region: str) -> list[str]:
        first = self._regions.index(region) * 2
        return [f"http://127.0.0.1:{2001 + first + i}" for i in (0, 1)]

    def _url(self, endpoint_id: str) -> str:
        return (
            f"http://127.0.0.1:{3001 + self.endpoint_ids.index(endpoint_id)}"
        )


def _read_number(call: UpstreamCall) -> int | None:
    if call.method != "POST" or "completions" not in call.url:
        return None
    content = msgspec.json.decode(call.body)["messages"][0]["content"]
    return int(content.removeprefix("request "))

"""Callers, an operator and a booking service for runs over real processes."""

import asyncio
import itertools
import json
import random
import time

from blacksheep import Application
from blacksheep.contents import Content
from blacksheep.messages import Request
from blacksheep.messages import Response
from blacksheep.server.routing import Router
import msgspec

from burdockdrum.client import ClientError
from burdockdrum.client import GatewayClient
from burdockdrum.emulator import Announcer
from burdockdrum.emulator import make_answer
from burdockdrum.endpoints import Announcement
from burdockdrum.histories import Ending
from burdockdrum.histories import History
from burdockdrum.histories import InForce
from burdockdrum.histories import Ran
from burdockdrum.histories import RecordingCaller
from burdockdrum.histories import Sort
from burdockdrum.ports import AnswerLost
from burdockdrum.ports import ConnectFailed
from burdockdrum.ports import read_whole
from burdockdrum.resources import hash_token
from burdockdrum.system_ports import PooledHttpClient
from burdockdrum.system_ports import SystemClock
from burdockdrum.web import bind
from burdockdrum.web import WebServer
from scripts.cluster import Cluster

CALLERS = 12
TOKEN_COUNTS = (5, 20, 60)
SET_UP_TIMEOUT_SECONDS = 30.0
SETTLE_DELAY_SECONDS = 4.0
SAMPLE_INTERVAL_SECONDS = 0.5
MAX_SEND_ATTEMPTS = 4
BOOKING_SLOTS = 64


class BookingService:
    """A plain service in this process that records the key of each run."""

    def __init__(self) -> None:
        """Create a service that is not started."""
        self.runs: list[tuple[float, str]] = []
        application = Application(router=Router())

        async def book(request: Request) -> Response:
            return await self._book(request)

        application.router.add_post("/*", book)
        listener = bind("127.0.0.1", 0)
        self.url = f"http://127.0.0.1:{listener.getsockname()[1]}"
        self._web = WebServer(application=application, listener=listener)
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> "BookingService":
        self._tasks.append(asyncio.create_task(self._web.run()))
        return self

    async def __aexit__(self, *exception: object) -> None:
        for task in self._tasks[1:]:
            task.cancel()
        self._web.stop()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def announce(self, *, region: str, entries: list[str], token: str) -> None:
        """Register this service at the entry VMs of a region."""
        announcer = Announcer(
            http=PooledHttpClient(),
            clock=SystemClock(),
            entries=entries,
            token=token,
            announcement=Announcement(
                endpoint_id=f"{region}-booking",
                incarnation=time.time_ns(),
                url=self.url,
                service="booking",
                slots=BOOKING_SLOTS,
            ),
            read_load=lambda: (0, 0),
        )
        self._tasks.append(asyncio.create_task(announcer.run()))

    async def _book(self, request: Request) -> Response:
        await request.read()
        key = request.get_first_header(b"idempotency-key") or b""
        self.runs.append((time.monotonic(), key.decode()))
        body = msgspec.json.encode({"booked": key.decode()})
        return Response(200, None, Content(b"application/json", body))


class RealLoad:
    """Closed-loop callers at all entry VMs that record a history."""

    def __init__(
        self, *, cluster: Cluster, booking: BookingService, rng: random.Random
    ) -> None:
        """Create a load that is not started."""
        self.history = History()
        self.problems: list[str] = []
        self._cluster = cluster
        self._booking = booking
        self._rng = rng
        self._started = time.monotonic()
        self._numbers = itertools.count(1)
        self._tokens_by_client: dict[str, str] = {}
        self._sampling: asyncio.Task[None] | None = None
        self._operator = GatewayClient(
            seeds=cluster.entry_urls,
            token=cluster.operator_token,
            clock=SystemClock(),
            rng=rng,
        )

    def now(self) -> float:
        """Return seconds since the load was created."""
        return time.monotonic() - self._started

    async def set_up(self, regions: tuple[str, ...]) -> None:
        """Write resources and wait until requests are answered."""
        self._booking.announce(
            region=regions[0],
            entries=self._cluster.entry_urls_in(regions[0]),
            token=self._cluster.endpoint_token,
        )
        for region in regions:
            await self._put("region", region, {})
            await self._put("data_centre", region, {"region": region})
        await self._put("service", "planner", {"regions": list(regions)})
        plain = {"type": "plain", "regions": list(regions)}
        await self._put("service", "booking", plain)
        for region in regions:
            client_id = f"home-{region}"
            self._tokens_by_client[client_id] = f"token of {client_id}"
            spec = {
                "home_region": region,
                "residency": list(regions),
                "token_hashes": [hash_token(f"token of {client_id}")],
            }
            await self._put("client", client_id, spec)
            residencies = self.history.residency_by_client
            residencies[client_id] = frozenset(regions)
        await asyncio.sleep(SETTLE_DELAY_SECONDS)
        self._sampling = asyncio.create_task(self._sample_revisions())

    async def send_for(self, seconds: float) -> None:
        """Let all callers send requests for a duration in seconds."""
        end = time.monotonic() + seconds
        async with asyncio.TaskGroup() as group:
            for _ in range(CALLERS):
                rng = random.Random(self._rng.random())
                group.create_task(self._send_until(end, rng))

    async def finish(self) -> None:
        """Wait for pending work and record the runs of the service."""
        await asyncio.sleep(SETTLE_DELAY_SECONDS)
        if self._sampling is not None:
            self._sampling.cancel()
        self.history.ended_at = self.now()
        for moment, key in self._booking.runs:
            self.history.ran.append(
                Ran(
                    time=moment - self._started,
                    endpoint_id="booking",
                    region=next(iter(self.history.residency_by_client))[5:],
                    number=None,
                    key=key,
                )
            )

    async def _send_until(self, end: float, rng: random.Random) -> None:
        http = PooledHttpClient()
        caller = RecordingCaller(
            history=self.history,
            http=http,
            now=self.now,
            entry_urls_by_vm_id=self._cluster.entry_urls_by_vm_id,
            numbers=self._numbers,
            answer_for=make_answer,
        )
        while time.monotonic() < end:
            client_id = rng.choice(sorted(self._tokens_by_client))
            region = client_id.split("-")[1]
            entry = f"{region}-{rng.choice((1, 2))}"
            sort = rng.choice(list(Sort))
            if sort is Sort.BOOKING:
                await self._book(caller, client_id, entry, rng)
            else:
                await caller.complete(
                    client_id=client_id,
                    token=self._tokens_by_client[client_id],
                    entry=entry,
                    sort=sort,
                    tokens=rng.choice(TOKEN_COUNTS),
                )
            await asyncio.sleep(rng.uniform(0, 0.1))
        await http.close()

    async def _book(
        self,
        caller: RecordingCaller,
        client_id: str,
        entry: str,
        rng: random.Random,
    ) -> None:
        key = f"key-{next(self._numbers)}"
        for _ in range(MAX_SEND_ATTEMPTS):
            ended = await caller.book(
                client_id=client_id,
                token=self._tokens_by_client[client_id],
                entry=entry,
                key=key,
            )
            if ended.ending is Ending.ANSWERED:
                return
            await asyncio.sleep(rng.uniform(0.1, 1))
            entry = rng.choice(sorted(self._cluster.entry_urls_by_vm_id))

    async def _put(self, kind: str, name: str, spec: dict) -> None:
        body = {"spec": spec, "change_id": f"set-up-{kind}-{name}"}
        deadline = time.monotonic() + SET_UP_TIMEOUT_SECONDS
        while True:
            path = f"/v1/resources/{kind}/{name}"
            encoded = msgspec.json.encode(body)
            try:
                reply = await self._operator.call("PUT", path, body=encoded)
                error_text = reply.body.decode()
            except ClientError as error:
                error_text = str(error)
            else:
                if reply.ok:
                    return
            if time.monotonic() > deadline:
                raise SystemExit(f"{kind} {name}: {error_text}")
            await asyncio.sleep(0.3)

    async def _sample_revisions(self) -> None:
        while True:
            for vm_id, url in self._cluster.entry_urls_by_vm_id.items():
                try:
                    answer = await self._operator.open(
                        url, "GET", "/v1/status"
                    )
                    body = await read_whole(answer)
                except (ConnectFailed, AnswerLost):
                    continue
                status = json.loads(body)
                self.history.in_force.append(
                    InForce(
                        time=self.now(),
                        vm_id=vm_id,
                        incarnation=status["vm"]["incarnation"],
                        revision=status["revision"],
                    )
                )
            await asyncio.sleep(SAMPLE_INTERVAL_SECONDS)

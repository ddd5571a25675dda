"""One seed of the soak of endpoints that are in slow start again and again.

An endpoint begins a slow start in the middle of its life, or as it starts anew
under the same id, and says so when it checks in, at any control VM. Processes
are killed, stopped and paused meanwhile. From the confirmed check-in on, all
entries together must send it few requests.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
import random
import time

from burdockdrum.histories import RequestArrived
from burdockdrum.histories import RetryHistory
from scripts.soak.failing_endpoint import FailingEndpoint
from scripts.soak.retries import RetrySoak

REQUEST_RATE = 90.0
# Endpoints of the only service in each zone.
ENDPOINTS = 2
SLOW_START_SECONDS = 3.0
COLD_REQUESTS_PER_SECOND = 3.3
# The platform's rule on the requests of a second in a slow start.
MAX_IN_A_SECOND = 1.5 * COLD_REQUESTS_PER_SECOND + 3
CHECK_IN_SECONDS = 0.6
# An endpoint tries another control VM after so long without a response.
RESPONSE_SECONDS = 1.0
UNTIL_SLOW_START_SECONDS = (0.2, 2.0)
DOWN_SECONDS = (0.2, 1.5)
MILLISECONDS = 1000


@dataclass(kw_only=True)
class SlowStart:
    """A slow start of an endpoint, by monotonic time.

    ``told_at`` is when a check-in that said so was confirmed.
    """

    began_at: float
    told_at: float | None = None

    @property
    def ends_at(self) -> float:
        """Return when it ends by itself."""
        return self.began_at + SLOW_START_SECONDS


@dataclass(frozen=True, kw_only=True)
class BusiestSecond:
    """The second of a slow start with most requests, by monotonic time."""

    endpoint_id: str
    slow_start: SlowStart
    since: float
    requests: int


class ColdEndpoint(FailingEndpoint):
    """Serves every request, and is in slow start at times.

    ``born_at`` is the start that it reports, ``sequence`` counts its
    check-ins.
    """

    def __init__(self, *, rng: random.Random, zone: str) -> None:
        """Create an endpoint that is warm."""
        super().__init__(
            rng=rng, service="s", zone=zone, history=RetryHistory()
        )
        self.slow_starts: list[SlowStart] = []
        self.sequence = 0
        self.born_at = int(time.time() * MILLISECONDS)

    @property
    def arrived(self) -> list[RequestArrived]:
        """Return the requests that it got."""
        return self._history.arrived

    def begin_slow_start(self) -> None:
        """Be in slow start from now on."""
        self.slow_starts.append(SlowStart(began_at=time.monotonic()))

    def seconds_left(self) -> float:
        """Return what is left of its slow start."""
        if not self.slow_starts:
            return 0.0
        return max(0.0, self.slow_starts[-1].ends_at - time.monotonic())

    async def restart(self, seconds: float) -> None:
        """End with all connections, and start again under the same id."""
        host, _, port = self.address.rpartition(":")
        self.is_registered = False
        self.close()
        await asyncio.sleep(seconds)
        self.born_at, self.sequence = int(time.time() * MILLISECONDS), 0
        self.begin_slow_start()
        await self._listen(host, int(port))
        self.is_registered = True


class SlowStartSoak(RetrySoak):
    """A deployment whose endpoints begin slow starts."""

    def __init__(self, seed: int, *, entries: int = 2) -> None:
        """Create a run that is not started.

        :param entries: the number of entries in each region
        """
        super().__init__(seed, entries=entries, rate=REQUEST_RATE)
        self._cold = [
            ColdEndpoint(rng=self.rng, zone=zone)
            for zone in self.deployment.zones
            for _ in range(ENDPOINTS)
        ]
        self.endpoints = self._cold
        self._weights = {"s": 1}
        self._sent_at_by_id: dict[str, float] = {}

    async def send_request(self) -> int:
        """Send a request to a random entry; return the status."""
        self._sent_at_by_id[f"r{self._number + 1}"] = time.monotonic()
        return await super().send_request()

    async def put_configuration(self) -> bool:
        """Send a new version; return whether it was acknowledged."""
        self._version += 1
        service = {
            "name": "s",
            "warmup_s": SLOW_START_SECONDS,
            "cold_per_s": COLD_REQUESTS_PER_SECOND,
        }
        document = {
            "version": self._version,
            "routes": self.list_routes(),
            "services": [service],
        }
        return await self._call_control("PUT", "/v1/config", document) == 200

    async def register_endpoints(self) -> None:
        """Let each endpoint check in by itself."""
        async with asyncio.TaskGroup() as group:
            for endpoint in self._cold:
                group.create_task(self._check_in_continuously(endpoint))

    async def _check_in_continuously(self, endpoint: ColdEndpoint) -> None:
        while True:
            if endpoint.is_registered and endpoint.endpoint_id:
                await self._check_in(endpoint)
            await asyncio.sleep(CHECK_IN_SECONDS)

    async def _check_in(self, endpoint: ColdEndpoint) -> None:
        endpoint.sequence += 1
        left = endpoint.seconds_left()
        registration = {
            "service": endpoint.service,
            "addr": endpoint.address,
            "zone": endpoint.zone,
            "slots": self.slots,
            "state": "ready",
            "seq": endpoint.sequence,
            "born": endpoint.born_at,
            "cold_left_ms": round(left * MILLISECONDS),
        }
        slow_start = endpoint.slow_starts[-1] if left else None
        status = 0
        try:
            async with asyncio.timeout(RESPONSE_SECONDS):
                status = await self._call_control(
                    "PUT",
                    f"/v1/instances/{endpoint.endpoint_id}",
                    registration,
                )
        except TimeoutError:
            return
        if status == 200 and slow_start is not None:
            slow_start.told_at = slow_start.told_at or time.monotonic()

    async def change_failures(self) -> None:
        """Let endpoints begin slow starts, alone and all of a zone."""
        while True:
            await asyncio.sleep(self.rng.uniform(*UNTIL_SLOW_START_SECONDS))
            endpoint = self.rng.choice(self._cold)
            match self.rng.randrange(3):
                case 0:
                    chosen = [e for e in self._cold if e.zone == endpoint.zone]
                    for other in chosen:
                        other.begin_slow_start()
                case 1:
                    await endpoint.restart(self.rng.uniform(*DOWN_SECONDS))
                case _:
                    endpoint.begin_slow_start()
            self._record(f"{endpoint.endpoint_id} begins a slow start")

    def list_faults(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the random faults, as often as each should come."""
        return [
            self.restart_all_entries,
            self.restart_entries_in_series,
            self.restart_one,
            self.restart_control,
            self.restart_everything,
            self.pause_entry,
            self.pause_control,
            self.pause_control,
        ]

    def check(self) -> list[str]:
        """Return what was violated."""
        return self.violations + [
            f"{second.endpoint_id} in slow start from "
            f"{second.slow_start.began_at:.2f}, told at "
            f"{second.slow_start.told_at:.2f}: {second.requests} requests in "
            f"the second from {second.since:.2f}, {MAX_IN_A_SECOND:.2f} are "
            "allowed"
            for second in self.list_busiest()
            if second.requests > MAX_IN_A_SECOND
        ]

    def summarize(self) -> str:
        """Return how many slow starts there were, and the busiest second."""
        busiest = self.list_busiest()
        most = max((second.requests for second in busiest), default=0)
        return (
            f"{len(busiest)} slow starts with requests, at most {most} in a "
            "second"
        )

    def list_busiest(self) -> list[BusiestSecond]:
        """Return the busiest second of each slow start with requests."""
        found = [
            _find_busiest(endpoint, slow_start, self._sent_at_by_id)
            for endpoint in self._cold
            for slow_start in endpoint.slow_starts
        ]
        return [second for second in found if second is not None]


def _find_busiest(
    endpoint: ColdEndpoint,
    slow_start: SlowStart,
    sent_at_by_id: dict[str, float],
) -> BusiestSecond | None:
    """Return the busiest second of a slow start, None without requests.

    Those count that callers sent and that arrived within it.
    """
    if slow_start.told_at is None:
        return None
    times = [
        (sent_at_by_id[arrival.request_id], arrival.time)
        for arrival in endpoint.arrived
        if arrival.time <= slow_start.ends_at
    ]
    seconds = [
        BusiestSecond(
            endpoint_id=endpoint.endpoint_id,
            slow_start=slow_start,
            since=since,
            requests=sum(
                sent_at >= since and at <= since + 1.0 for sent_at, at in times
            ),
        )
        for since, _ in times
        if since >= slow_start.told_at
    ]
    return max(seconds, key=lambda second: second.requests, default=None)

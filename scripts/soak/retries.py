"""One seed of the soak of the retry budget.

Endpoints fail most requests, so that entries retry as often as they may,
while processes are killed, stopped and paused, alone, in series and all at
once. What callers sent and endpoints got is compared in sliding windows.
"""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import json
import pathlib
import random
import signal
import time
from typing import Any
from typing import ClassVar

from burdockdrum.histories import RequestOffered
from burdockdrum.histories import RetryHistory
from burdockdrum.histories import RetryPeak
from scripts.local_deployment import call
from scripts.local_deployment import CALLERS_PORT
from scripts.local_deployment import CONTROL_PORT
from scripts.local_deployment import Deployment
from scripts.local_deployment import Machine
from scripts.local_deployment import until
from scripts.soak.crashing_endpoint import CrashingEndpoint
from scripts.soak.endpoint import SLOTS
from scripts.soak.failing_endpoint import FailingEndpoint
from scripts.soak.failing_endpoint import Failure
from scripts.soak.invariants import NOT_RUN_STATUSES
from scripts.soak.invariants import RETRY_BURST
from scripts.soak.invariants import RETRY_RATIO
from scripts.soak.invariants import RETRY_WINDOW_SECONDS
from scripts.soak.kept_connections import KeptConnections
from scripts.soak.run import Result
from scripts.soak.task_failures import find_task_failures

DEADLINE_MS = 2000
# Endpoints of each service in each zone.
ENDPOINTS = {"s": 2, "t": 1}
REQUEST_RATES = (8.0, 30.0, 90.0)
BUDGET = {
    "ratio": RETRY_RATIO,
    "burst": RETRY_BURST,
    "window_seconds": RETRY_WINDOW_SECONDS,
}


class RetrySoak:
    """A deployment whose endpoints fail while processes come and go."""

    # Fields of the route that differ from those of a plain one.
    route_fields: ClassVar[dict[str, Any]] = {}
    # Requests that each endpoint says it runs at once.
    slots = SLOTS
    # Between two random faults.
    fault_interval_seconds = (1.0, 5.0)

    def __init__(
        self, seed: int, *, entries: int = 2, rate: float | None = None
    ) -> None:
        """Create a run that is not started.

        :param entries: the number of entries in each region
        :param rate: requests per second; at random by default
        """
        self.seed = seed
        self.rng = random.Random(seed)
        self.deployment = Deployment(entries=entries)
        self.history = RetryHistory()
        self.faults: list[str] = []
        self.violations: list[str] = []
        self.counts_by_status: dict[int, int] = collections.Counter()
        self.rate = rate or self.rng.choice(REQUEST_RATES)
        self.endpoints: Sequence[FailingEndpoint | CrashingEndpoint] = [
            FailingEndpoint(
                rng=self.rng, service=service, zone=zone, history=self.history
            )
            for zone in self.deployment.zones
            for service, count in ENDPOINTS.items()
            for _ in range(count)
        ]
        self._connections = KeptConnections()
        self._weights = {"s": 3, "t": 1}
        self._version = 0
        self._number = 0
        self._sequence = 0
        self._began = time.monotonic()

    async def open(self) -> None:
        """Start endpoints and processes; wait until entries are ready."""
        for number, endpoint in enumerate(self.endpoints):
            await endpoint.open()
            endpoint.endpoint_id = f"e{number}"
        await self.deployment.start()
        await until(self.put_configuration, 30)
        await self.deployment.until_ready(seconds=40)

    async def close(self) -> None:
        """Stop all processes and endpoints."""
        await self.deployment.stop()
        self._connections.close()
        for endpoint in self.endpoints:
            endpoint.close()

    async def register_endpoints(self) -> None:
        """Register each endpoint periodically at a random control VM."""
        while True:
            self._sequence += 1
            await asyncio.gather(
                *(self._register(e) for e in self.endpoints if e.is_registered)
            )
            await asyncio.sleep(0.5)

    async def _register(
        self, endpoint: FailingEndpoint | CrashingEndpoint
    ) -> None:
        registration = {
            "service": endpoint.service,
            "addr": endpoint.address,
            "zone": endpoint.zone,
            "version": endpoint.software_version,
            "slots": self.slots,
            **self.describe(endpoint),
            "state": "ready",
            "seq": self._sequence,
        }
        await self._call_control(
            "PUT",
            f"/v1/instances/{endpoint.endpoint_id}",
            registration,
            self.choose_control(endpoint.zone),
        )

    def describe(self, endpoint: object) -> dict[str, Any]:
        """Return further fields of an endpoint's check-ins."""
        return {}

    def choose_control(self, zone: str) -> Machine:
        """Return the control VM at which an endpoint of a zone checks in."""
        return self.rng.choice(self.deployment.control)

    async def put_configuration(self) -> bool:
        """Send a new version; return whether it was acknowledged."""
        self._version += 1
        document = {
            "version": self._version,
            "routes": self.list_routes(),
            "services": [{"name": name} for name in self.list_services()],
        }
        return await self._call_control("PUT", "/v1/config", document) == 200

    def list_services(self) -> list[str]:
        """Return the services of the configuration."""
        return list(ENDPOINTS)

    def list_routes(self) -> list[dict[str, Any]]:
        """Return the routes of the configuration."""
        return [self.make_route("again", **self.route_fields)]

    def make_route(self, name: str, **fields: Any) -> dict[str, Any]:
        """Return a route, whose fields differ from those of a plain one."""
        backends = [
            {"service": service, "weight": weight}
            for service, weight in self._weights.items()
        ]
        return {
            "name": name,
            "host": "h",
            "path_prefix": f"/{name}/",
            "kind": "safe",
            "timeout_ms": DEADLINE_MS,
            "backends": backends,
            "attempts": 3,
            **fields,
        }

    async def send_continuously(self) -> None:
        """Send requests at the rate, whether or not they are answered."""
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self.send_request())
                await asyncio.sleep(self.rng.expovariate(self.rate))

    async def send_request(self) -> int:
        """Send a request to a random entry; return the status."""
        return await self.send_to("/again/x")

    async def send_to(self, target: str, entry: Machine | None = None) -> int:
        """Send a request to an entry; return the status.

        :param target: its path, which the route's prefix begins
        :param entry: a random one by default
        """
        self._number += 1
        request_id = f"r{self._number}"
        services = tuple(s for s, weight in self._weights.items() if weight)
        self.history.offered.append(
            RequestOffered(time=time.monotonic(), services=services)
        )
        entry = entry or self.rng.choice(self.deployment.entries)
        headers = {
            "Host": "h",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(DEADLINE_MS),
        }
        response = await self._connections.post(
            entry.ip, CALLERS_PORT, target, headers
        )
        self.counts_by_status[response.status] += 1
        is_refused = response.status in NOT_RUN_STATUSES
        if is_refused and b"retry-after" not in response.headers:
            self.violations.append(
                f"{request_id} to {target} refused without Retry-After"
            )
        return response.status

    async def inject_faults(self) -> None:
        """Inject random faults that overlap, until cancelled."""
        faults = self.list_faults()
        async with asyncio.TaskGroup() as group:
            group.create_task(self.change_failures())
            while True:
                await asyncio.sleep(
                    self.rng.uniform(*self.fault_interval_seconds)
                )
                group.create_task(self._inject(self.rng.choice(faults)))

    def list_faults(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the random faults, as often as each should come."""
        return [
            self.restart_all_entries,
            self.restart_entries_in_series,
            self.restart_one,
            self.restart_one,
            self.restart_control,
            self.restart_everything,
            self.pause_entry,
            self.pause_control,
            self.lose_endpoints,
            self.change_weights,
        ]

    async def _inject(self, fault: Callable[[], Awaitable[None]]) -> None:
        self._record(fault.__name__)
        await fault()

    async def change_failures(self) -> None:
        """Let endpoints fail, each in its own way."""
        failures = [f for f in Failure if f is not Failure.NONE]
        while True:
            # Most endpoints reject at most times, which is the cheapest.
            common = self.rng.choice([Failure.REJECTS, *failures])
            for endpoint in self._failing_endpoints():
                other = self.rng.choice(list(Failure))
                is_common = self.rng.random() < 0.7
                endpoint.failure = common if is_common else other
            self._record(f"endpoints mostly: {common.value}")
            await asyncio.sleep(self.rng.uniform(2.0, 8.0))

    async def restart_all_entries(self) -> None:
        """Kill all entries at once, and start them again."""
        await self._restart(self.deployment.entries)

    async def restart_everything(self) -> None:
        """Kill all processes at once, and start them again."""
        await self._restart(self.deployment.machines)

    async def restart_control(self) -> None:
        """Kill all control VMs at once, and start them again."""
        await self._restart(self.deployment.control)

    async def restart_one(self) -> None:
        """Kill or stop a process, and start it again."""
        number = self.rng.choice([signal.SIGKILL, signal.SIGTERM])
        await self._restart(
            [self.rng.choice(self.deployment.machines)], number
        )

    async def restart_entries_in_series(self) -> None:
        """Restart one entry after the other."""
        for entry in self.deployment.entries:
            await self._restart([entry], signal.SIGTERM)

    async def pause_entry(self) -> None:
        """Pause an entry for some seconds."""
        await self._pause(self.rng.choice(self.deployment.entries))

    async def pause_control(self) -> None:
        """Pause a control VM for some seconds."""
        await self._pause(self.rng.choice(self.deployment.control))

    async def lose_endpoints(self) -> None:
        """Leave a region without endpoints for some seconds."""
        zone = self.rng.choice(self.deployment.zones)
        await self.remove_endpoints(zone)
        await asyncio.sleep(self.rng.uniform(3.0, 10.0))
        for endpoint in self.endpoints:
            endpoint.is_registered |= endpoint.zone == zone

    async def remove_endpoints(self, zone: str) -> None:
        """End the registrations of the endpoints of a region."""
        for endpoint in self.endpoints:
            if endpoint.zone == zone:
                endpoint.is_registered = False
                await self._call_control(
                    "DELETE", f"/v1/instances/{endpoint.endpoint_id}", {}
                )

    def set_failure(self, failure: Failure) -> None:
        """Let all endpoints fail every request in the same way."""
        for endpoint in self._failing_endpoints():
            endpoint.failure = failure

    def _failing_endpoints(self) -> list[FailingEndpoint]:
        return [e for e in self.endpoints if isinstance(e, FailingEndpoint)]

    async def change_weights(self) -> None:
        """Lead requests to the services in another proportion."""
        self._weights = {"s": 1, "t": self.rng.choice([0, 1, 4])}
        await self.put_configuration()

    async def _restart(
        self, machines: list[Machine], number: int = signal.SIGKILL
    ) -> None:
        stopped = [m for m in machines if m.process and not m.is_stopping]
        for machine in stopped:
            machine.send_signal(signal.SIGCONT)
        try:
            await asyncio.gather(*(m.stop(number) for m in stopped))
            await asyncio.sleep(self.rng.uniform(0.1, 1.5))
        finally:
            # The time for faults may end meanwhile.
            for machine in stopped:
                await machine.wait_until_exited()
                if machine.process is None:
                    await machine.start()

    async def _pause(self, machine: Machine) -> None:
        process = machine.process
        if process is None or machine.is_stopping:
            return
        process.send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(self.rng.uniform(0.5, 4.0))
        finally:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)

    async def settle(self) -> None:
        """Check what must hold once the faults have ended."""

    def find_peaks(self) -> list[RetryPeak]:
        """Return the window of each service that has most retries."""
        return self.history.find_peaks(**BUDGET)

    def check(self) -> list[str]:
        """Return what was violated."""
        return self.violations + self.history.check(**BUDGET)

    def summarize(self) -> str:
        """Return a line on what happened, empty if there is none."""
        return ""

    def _record(self, description: str) -> None:
        now = time.monotonic()
        seconds = now - self._began
        self.faults.append(f"{seconds:6.2f} s ({now:.2f})  {description}")

    async def _call_control(
        self,
        method: str,
        path: str,
        document: dict,
        machine: Machine | None = None,
    ) -> int:
        machine = machine or self.rng.choice(self.deployment.control)
        body = json.dumps(document).encode()
        status, _ = await call(machine.ip, CONTROL_PORT, method, path, body)
        return status


async def run_soak(
    soak: RetrySoak,
    *,
    seconds: float,
    logs: pathlib.Path | None = None,
    faults: Callable[[Any], Awaitable[None]] | None = None,
) -> Result:
    """Run a soak.

    :param seconds: how long endpoints fail and faults come
    :param logs: folder to copy the logs to, or None
    :param faults: what happens to the soak instead of random faults
    """
    tasks = [asyncio.create_task(soak.register_endpoints())]
    try:
        await soak.open()
        tasks.append(asyncio.create_task(soak.send_continuously()))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await (faults(soak) if faults else soak.inject_faults())
        await soak.settle()
        failures = find_task_failures(soak.deployment)
        if logs is not None:
            soak.deployment.copy_logs(logs)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await soak.close()
    for peak in soak.find_peaks():
        soak.faults.append(
            f"service {peak.service}: at most {peak.used_fraction:.2f} of the "
            f"allowed retries ({peak.retries} of {peak.allowed:.1f}), until "
            f"{peak.ends_at:.2f}"
        )
    return Result(
        seed=soak.seed,
        violations=soak.check() + failures,
        counts_by_status=dict(soak.counts_by_status),
        faults=soak.faults,
        summary=soak.summarize(),
    )

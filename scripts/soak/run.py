"""One seed of the soak test: load, random faults, then recovery."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
from dataclasses import dataclass
import itertools
import json
import pathlib
import random
import shutil
import signal
import time

from scripts.local_deployment import call
from scripts.local_deployment import CALLERS_PORT
from scripts.local_deployment import CONTROL_PORT
from scripts.local_deployment import Deployment
from scripts.local_deployment import Machine
from scripts.local_deployment import until
from scripts.soak.endpoint import Endpoint
from scripts.soak.endpoint import Fault
from scripts.soak.endpoint import Proxy
from scripts.soak.endpoint import SLOTS
from scripts.soak.invariants import Disturbance
from scripts.soak.invariants import InvariantChecker
from scripts.soak.invariants import RequestRecord
from scripts.soak.task_failures import find_task_failures

SERVICE = "s"
CALLERS = 6
DEADLINE_MS = 2500
# Covers several elections, repairs and registrations.
RECOVERY_SECONDS = 25.0
SETTLE_DELAY_SECONDS = 3.0
# Requests per second that endpoints announce, and for how long.
ANNOUNCED_LIMITS = (None, 1.0, 2.0, 5.0)
LIMIT_SECONDS = (2.0, 8.0)
# How long endpoints reject requests, and the backoffs that they request.
REJECTION_SECONDS = (0.5, 3.0)
BACKOFF_SECONDS = (0.3, 3.0)
# Until a drain ends with another incarnation, and how long this one serves.
DRAIN_SECONDS = (1.0, 4.0)
SERVING_SECONDS = (1.0, 5.0)


@dataclass(frozen=True, kw_only=True)
class Result:
    """The result of a seed."""

    seed: int
    violations: list[str]
    counts_by_status: dict[int, int]
    faults: list[str]
    summary: str = ""

    def format_result(self) -> str:
        """Return a summary line, then violations and faults if any."""
        counts = ", ".join(
            f"{status or 'none'}: {count}"
            for status, count in sorted(self.counts_by_status.items())
        )
        verdict = "BROKEN" if self.violations else "held"
        head = f"seed {self.seed}: {verdict}; {counts}; "
        lines = [head + f"{len(self.faults)} faults"]
        if self.summary:
            lines.append(f"  {self.summary}")
        if self.violations:
            lines += [f"  {line}" for line in self.violations[:20]]
            lines += [f"  fault: {fault}" for fault in self.faults]
        return "\n".join(lines)


class SoakRun:
    """A deployment under load and faults."""

    def __init__(self, seed: int, *, entries: int = 1) -> None:
        """Create a run that is not started.

        :param entries: the number of entries in each region
        """
        self.rng = random.Random(seed)
        # Apart, so that what endpoints announce does not change the faults.
        self.signal_rng = random.Random(seed)
        self.deployment = Deployment(entries=entries)
        self.invariants = InvariantChecker()
        self.faults: list[str] = []
        self.proxies = [Proxy(rng=self.rng) for _ in "abc"]
        self.endpoints = [
            Endpoint(rng=self.rng, is_heard=proxy.forwards_responses)
            for proxy in self.proxies
        ]
        self.version = 1
        self._number = 0
        self._sequence = 0
        self._began = time.monotonic()
        self._down: set[str] = set()
        self._disturbances_by_zone: dict[str, list[Disturbance]] = {
            zone: [] for zone in self.deployment.zones
        }
        for number, endpoint in enumerate(self.endpoints):
            endpoint.endpoint_id = f"e{number}"

    async def open(self) -> None:
        """Start all processes and wait until entries are ready."""
        for endpoint, proxy in zip(self.endpoints, self.proxies, strict=True):
            await endpoint.open()
            await proxy.open(endpoint.address)
        await self.deployment.start()
        await until(self.put_configuration, 25)
        await self.deployment.until_ready(seconds=25)

    async def close(self) -> None:
        """Stop all processes, proxies and endpoints."""
        await self.deployment.stop()
        for proxy in self.proxies:
            proxy.close()
        for endpoint in self.endpoints:
            endpoint.close()

    def runs_by_id(self) -> dict[str, int]:
        """Return the number of runs of each request at all endpoints."""
        runs: dict[str, int] = {}
        for endpoint in self.endpoints:
            for request_id, count in endpoint.runs_by_id.items():
                runs[request_id] = runs.get(request_id, 0) + count
        return runs

    async def register_endpoints(self) -> None:
        """Register each endpoint periodically at a random control VM."""
        while True:
            self._sequence += 1
            for number, proxy in enumerate(self.proxies):
                endpoint_id = self.endpoints[number].endpoint_id
                registration = {
                    "service": SERVICE,
                    "addr": proxy.address,
                    "zone": self.deployment.zones[number],
                    "slots": SLOTS,
                    "state": "ready",
                    "seq": self._sequence,
                }
                await self._call_control(
                    "PUT",
                    f"/v1/instances/{endpoint_id}",
                    json.dumps(registration),
                )
            await asyncio.sleep(0.5)

    async def run_caller(self) -> None:
        """Send requests in sequence, each to a random entry."""
        while True:
            await self.send_request()
            await asyncio.sleep(self.rng.uniform(0.0, 0.05))

    async def send_request(self) -> int:
        """Send a request and record its response."""
        self._number += 1
        request_id = f"r{self._number}"
        path = self.rng.choice(["/once/x", "/again/x"])
        entry = self.rng.choice(self.deployment.entries)
        body = str(self.rng.random()).encode()
        began = time.monotonic()
        self.invariants.record_offered(began, SERVICE)
        status, answer = await call(
            entry.ip,
            CALLERS_PORT,
            "POST",
            path,
            body,
            (
                "Host: h",
                f"X-Request-Id: {request_id}",
                f"X-Deadline-Ms: {DEADLINE_MS}",
            ),
        )
        self.invariants.record_answer(
            RequestRecord(
                request_id=request_id,
                path=path,
                body=body,
                status=status,
                answer=answer,
                seconds=time.monotonic() - began,
            )
        )
        return status

    async def put_configuration(self) -> bool:
        """Send a new version; return whether it was acknowledged."""
        self.version += self.rng.randint(1, 3)
        version = self.version
        routes = [
            {
                "name": name,
                "host": "h",
                "path_prefix": f"/{name}/",
                "kind": kind,
                "timeout_ms": DEADLINE_MS,
                "service": SERVICE,
                "attempts": 1 if kind == "unsafe" else 2,
            }
            for name, kind in (("once", "unsafe"), ("again", "safe"))
        ]
        document = {
            "version": version,
            "routes": routes,
            "services": [{"name": SERVICE}],
        }
        status, _ = await self._call_control(
            "PUT", "/v1/config", json.dumps(document)
        )
        if status == 200:
            self.invariants.record_acknowledged(version)
        return status == 200

    async def run_operator(self) -> None:
        """Change and read the configuration repeatedly."""
        while True:
            await self.put_configuration()
            await self.read_configuration()
            await asyncio.sleep(self.rng.uniform(0.1, 1.0))

    async def read_configuration(self) -> int | None:
        """Read the configuration at a random control VM; None on failure."""
        acknowledged = self.invariants.newest_acknowledged
        status, body = await self._call_control("GET", "/v1/config")
        if status != 200:
            return None
        version = int(json.loads(body)["version"])
        self.invariants.record_read(version, acknowledged)
        return version

    async def inject_faults(
        self, *, has_limits: bool = False, has_signals: bool = False
    ) -> None:
        """Inject random faults that may overlap, and change signals."""
        async with asyncio.TaskGroup() as group:
            if has_limits:
                group.create_task(self.change_limits())
            if has_signals:
                for endpoint in self.endpoints:
                    group.create_task(self.reject_at_times(endpoint))
                    group.create_task(self.drain_at_times(endpoint))
            while True:
                await asyncio.sleep(self.rng.uniform(0.5, 3.0))
                group.create_task(self._inject_fault())

    async def change_limits(self) -> None:
        """Change the rate limits of random endpoints."""
        while True:
            endpoint = self.signal_rng.choice(self.endpoints)
            limit = self.signal_rng.choice(ANNOUNCED_LIMITS)
            endpoint.set_limit(limit)
            self._record_fault(f"endpoint {endpoint.address} limit {limit}")
            await asyncio.sleep(self.signal_rng.uniform(*LIMIT_SECONDS))

    async def reject_at_times(self, endpoint: Endpoint) -> None:
        """Let an endpoint reject requests and request backoffs."""
        rng = self.signal_rng
        while True:
            await asyncio.sleep(rng.uniform(*SERVING_SECONDS))
            seconds = round(rng.uniform(*BACKOFF_SECONDS), 2)
            endpoint.backoff_seconds = seconds
            self._record_fault(f"{endpoint.endpoint_id} backoff {seconds} s")
            await asyncio.sleep(rng.uniform(*REJECTION_SECONDS))
            endpoint.backoff_seconds = None

    async def drain_at_times(self, endpoint: Endpoint) -> None:
        """Let an endpoint announce a drain, and restart under another id."""
        rng = self.signal_rng
        name = endpoint.endpoint_id
        for number in itertools.count(1):
            await asyncio.sleep(rng.uniform(*SERVING_SECONDS))
            endpoint.is_draining = True
            self._record_fault(f"{endpoint.endpoint_id} drains")
            try:
                await asyncio.sleep(rng.uniform(*DRAIN_SECONDS))
            finally:
                # Also if the faults end now: a drain is never taken back.
                endpoint.is_draining = False
                endpoint.endpoint_id = f"{name}-{number}"

    def check_signals(self) -> None:
        """Check that what endpoints announced was kept to."""
        for endpoint, zone in zip(
            self.endpoints, self.deployment.zones, strict=True
        ):
            arrived_at = [arrival.at for arrival in endpoint.arrivals]
            self.invariants.check_limits(
                endpoint.address, endpoint.limits, arrived_at
            )
            disturbed = self._disturbances_by_zone[zone]
            self.invariants.check_backoffs(endpoint, disturbed)
            self.invariants.check_drains(endpoint, disturbed)

    async def recover(self) -> None:
        """End all faults and wait until all entries serve requests."""
        for proxy in self.proxies:
            proxy.set_fault(Fault.NONE)
        for endpoint in self.endpoints:
            endpoint.set_limit(None)
            endpoint.backoff_seconds = None
            endpoint.is_draining = False
        for machine in self.deployment.machines:
            await self._restore_machine(machine)
        try:
            await until(self.serves, RECOVERY_SECONDS)
            await until(self._reads_configuration, RECOVERY_SECONDS)
        except AssertionError:
            self.invariants.violations.append(
                f"no recovery within {RECOVERY_SECONDS} s after the faults"
            )

    async def _restore_machine(self, machine: Machine) -> None:
        if machine.is_stopping:
            # The end of the faults cancelled its restart. Without waiting,
            # it would exit later and never be restarted.
            await machine.wait_until_exited()
        if machine.process is None or machine.process.returncode is not None:
            machine.process = None
            await machine.start()
        else:
            machine.send_signal(signal.SIGCONT)

    async def serves(self) -> bool:
        """Return whether every entry answers requests."""
        for entry in self.deployment.entries:
            self._number += 1
            status, _ = await call(
                entry.ip,
                CALLERS_PORT,
                "POST",
                "/again/x",
                b"",
                ("Host: h", f"X-Request-Id: recovered-{self._number}"),
            )
            if status != 200:
                return False
        return True

    async def _reads_configuration(self) -> bool:
        version = await self.read_configuration()
        return (
            version is not None
            and version >= self.invariants.newest_acknowledged
        )

    async def _inject_fault(self) -> None:
        actions = [
            self._kill,
            self._pause,
            self._stop,
            self._inject_proxy_fault,
            self._inject_proxy_fault,
            self._erase_log,
        ]
        await self.rng.choice(actions)()

    async def _kill(self) -> None:
        machine = self._pick_machine(self.deployment.machines)
        if machine is not None:
            await self.restart(machine, signal.SIGKILL, "killed")

    async def _stop(self) -> None:
        machine = self._pick_machine(self.deployment.machines)
        if machine is not None:
            await self.restart(machine, signal.SIGTERM, "stopped")

    async def _erase_log(self) -> None:
        machine = self._pick_machine(self.deployment.control)
        if machine is None:
            return

        def erase_log() -> None:
            shutil.rmtree(machine.folder / "log", ignore_errors=True)

        await self.restart(machine, signal.SIGKILL, "emptied", erase_log)

    async def _pause(self) -> None:
        machine = self._pick_machine(self.deployment.machines)
        if machine is None:
            return
        seconds = self.rng.uniform(0.5, 4.0)
        self._record_fault(f"{machine.name} paused for {seconds:.1f} s")
        with self._disturb_machine(machine):
            machine.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            machine.send_signal(signal.SIGCONT)
        self._down.discard(machine.name)

    async def _inject_proxy_fault(self) -> None:
        proxy = self.rng.choice(self.proxies)
        fault = self.rng.choice(list(Fault))
        seconds = self.rng.uniform(0.5, 4.0)
        self._record_fault(
            f"endpoint {proxy.address}: {fault.value}, {seconds:.1f} s"
        )
        zone = self.deployment.zones[self.proxies.index(proxy)]
        with self._disturb(zone):
            proxy.set_fault(fault)
            await asyncio.sleep(seconds)
            proxy.set_fault(Fault.NONE)

    async def restart(
        self,
        machine: Machine,
        number: int,
        action: str,
        between: Callable[[], None] | None = None,
    ) -> None:
        """Stop a process by a signal and restart it after a delay."""
        self._record_fault(f"{machine.name} {action}")
        with self._disturb_machine(machine):
            await machine.stop(number)
            if between is not None:
                between()
            await asyncio.sleep(self.rng.uniform(0.1, 3.0))
            await machine.start()
        # A control VM counts as down until it has caught up.
        await asyncio.sleep(6.0 if machine.is_control else 0.0)
        self._down.discard(machine.name)

    def _pick_machine(self, machines: list[Machine]) -> Machine | None:
        """Pick a process to fail, with at most one control VM down."""
        is_control_down = any(
            m.name in self._down for m in self.deployment.control
        )
        candidates = [
            machine
            for machine in machines
            if machine.name not in self._down
            and not (machine.is_control and is_control_down)
        ]
        if not candidates:
            return None
        machine = self.rng.choice(candidates)
        self._down.add(machine.name)
        return machine

    def _disturb_machine(
        self, machine: Machine
    ) -> contextlib.AbstractContextManager[None]:
        if machine.is_control:
            return contextlib.nullcontext()
        return self._disturb(machine.zone)

    @contextlib.contextmanager
    def _disturb(self, zone: str) -> Iterator[None]:
        """Record a disturbance of a zone's entry or its link."""
        began_at = time.monotonic()
        try:
            yield
        finally:
            self._disturbances_by_zone[zone].append(
                Disturbance(began_at=began_at, ended_at=time.monotonic())
            )

    def _record_fault(self, description: str) -> None:
        seconds = time.monotonic() - self._began
        self.faults.append(f"{seconds:6.2f} s  {description}")

    async def _call_control(
        self, method: str, path: str, body: str = ""
    ) -> tuple[int, bytes]:
        machine = self.rng.choice(self.deployment.control)
        return await call(
            machine.ip, CONTROL_PORT, method, path, body.encode()
        )


async def run_seed(
    seed: int,
    *,
    seconds: float,
    logs: pathlib.Path | None,
    has_limits: bool = False,
    has_signals: bool = False,
) -> Result:
    """Run one seed.

    :param seconds: duration of the fault injection
    :param has_limits: whether endpoints announce rate limits, to two entries
        in each region
    :param has_signals: whether endpoints request backoffs and announce drains
    :param logs: folder to copy the logs to, or None
    """
    soak_run = SoakRun(seed, entries=2 if has_limits else 1)
    try:
        registering = asyncio.create_task(soak_run.register_endpoints())
        await soak_run.open()
        await until(soak_run.serves, RECOVERY_SECONDS)
        load = [
            asyncio.create_task(soak_run.run_caller()) for _ in range(CALLERS)
        ]
        load.append(asyncio.create_task(soak_run.run_operator()))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await soak_run.inject_faults(
                    has_limits=has_limits, has_signals=has_signals
                )
        await soak_run.recover()
        for task in load:
            task.cancel()
        await asyncio.gather(*load, return_exceptions=True)
        await asyncio.sleep(SETTLE_DELAY_SECONDS)
        soak_run.invariants.check_runs(soak_run.runs_by_id(), settled=True)
        soak_run.check_signals()
        soak_run.invariants.check_retries(soak_run.endpoints, SERVICE)
        soak_run.invariants.violations += find_task_failures(
            soak_run.deployment
        )
        registering.cancel()
        if logs is not None:
            soak_run.deployment.copy_logs(logs)
    finally:
        await soak_run.close()
    return Result(
        seed=seed,
        violations=soak_run.invariants.violations,
        counts_by_status=soak_run.invariants.counts_by_status,
        faults=soak_run.faults,
    )

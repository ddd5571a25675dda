"""One seed of the soak of control VMs whose disks refuse writes.

Disks refuse in series and together, beside processes that are killed, stopped
and paused, while an operator changes the configuration and entries restart.
"""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import functools
import random
import signal
import time
from typing import Any

from scripts.local_deployment import Machine
from scripts.local_deployment import until
from scripts.soak.config_operator import ConfigurationOperator
from scripts.soak.config_operator import Routes
from scripts.soak.control_disks import ControlDisks
from scripts.soak.invariants import NOT_RUN_STATUSES
from scripts.soak.retries import DEADLINE_MS
from scripts.soak.retries import ENDPOINTS
from scripts.soak.retries import RetrySoak

REQUEST_RATE = 30.0
# The platform's bounds: until a change is confirmed and read back; until
# entries obey it, with what disturbed control VMs add; until an entry that
# started counts; and until everything serves after all were killed.
CONFIRM_SECONDS = 6.0
APPLY_SECONDS = 3.0 + 8.0
CONTACT_SECONDS = 5.0
RECOVERY_SECONDS = 12.0
START_SECONDS = 30.0
HOLD_SECONDS = (0.2, 3.0)
STEP_SECONDS = (0.1, 1.5)
STEPS = 8
MAX_ENDS = 3
ENTRY_RESTART_SECONDS = (2.0, 6.0)
END_SIGNALS = (signal.SIGKILL, signal.SIGTERM)


class DiskSoak(RetrySoak):
    """A deployment whose control VMs have disks that refuse writes."""

    def __init__(self, seed: int, *, entries: int = 1) -> None:
        """Create a run that is not started.

        :param entries: the number of entries in each region
        """
        super().__init__(seed, entries=entries, rate=REQUEST_RATE)
        # Apart, so that the load doesn't change the faults.
        self._fault_rng = random.Random(seed)
        self.disks = ControlDisks(
            machines=self.deployment.control, record=self._record
        )
        self.operator = ConfigurationOperator(
            rng=random.Random(seed),
            disks=self.disks,
            make_document=self._make_document,
        )
        # How often changes and reads had to go on, and did.
        self.progress = 0
        self._status_by_id: dict[str, int] = {}
        # Infinite while an entry restarts.
        self._ready_at_by_entry: dict[str, float] = {}
        self._restarting = asyncio.Lock()

    def _make_document(self, version: int, routes: Routes) -> dict[str, Any]:
        routes_now = [
            self.make_route(name, timeout_ms=timeout_ms, kind="unsafe")
            for name, timeout_ms in routes.items()
        ]
        services = [{"name": service} for service in ENDPOINTS]
        return {"version": version, "routes": routes_now, "services": services}

    def _record(self, description: str) -> None:
        super()._record(f"{time.time():.3f}  {description}")

    async def put_configuration(self) -> bool:
        """Send a version until it is acknowledged."""
        async with asyncio.timeout(START_SECONDS):
            await self.operator.change()
        return True

    async def send_continuously(self) -> None:
        """Send requests beside the operator, and keep control VMs running."""
        async with asyncio.TaskGroup() as group:
            for coroutine in (
                super().send_continuously(),
                self.operator.run(),
                self.operator.read_in_turn(),
                *map(self.disks.supervise, self.disks.machines),
            ):
                group.create_task(coroutine)

    async def send_request(self) -> int:
        """Send a request on a confirmed route, and judge its response."""
        route = self.rng.choice(list(self.operator.confirmed_at_by_route))
        entry = self.rng.choice(self.deployment.entries)
        request_id, sent_at = f"r{self._number + 1}", time.monotonic()
        known_at = max(
            self.operator.confirmed_at_by_route[route],
            self.disks.find_unwell_time(),
            self._ready_at_by_entry.get(entry.name, 0.0) + CONTACT_SECONDS,
        )
        status = await self.send_to(f"/{route}/x", entry)
        self._status_by_id[request_id] = status
        is_down = sent_at < self._ready_at_by_entry.get(entry.name, 0.0)
        is_late = time.monotonic() - sent_at >= DEADLINE_MS / 1000
        allowed = {200, *NOT_RUN_STATUSES}
        allowed |= {0} if is_down else set()
        allowed |= {504} if is_late else set()
        allowed |= {404} if sent_at < known_at + APPLY_SECONDS else set()
        if status not in allowed:
            self._violate(f"{request_id} on {route}: status {status}")
        return status

    async def inject_faults(self) -> None:
        """Let disks refuse beside other faults, until cancelled."""
        faults: list[Callable[[], Awaitable[None]]] = [
            self.refuse_in_series,
            self.refuse_together,
            self.end_while_refusing,
            self.change_at_random,
        ]
        async with asyncio.TaskGroup() as group:
            group.create_task(self.restart_entries())
            while True:
                await self._inject(self._fault_rng.choice(faults))

    async def refuse_in_series(self) -> None:
        """Let one disk after the other refuse writes."""
        for machine in self._sample(len(self.disks.machines)):
            self.disks.refuse(machine)
            await self.require_progress()
            await self._hold()
            self.disks.accept(machine)
            if self._fault_rng.random() < 0.5:
                await self.require_progress()

    async def refuse_together(self) -> None:
        """Let two or all disks refuse writes, perhaps beside new entries."""
        machines = self._sample(self._fault_rng.randint(2, 3))
        for machine in machines:
            self.disks.refuse(machine)
            await asyncio.sleep(self._fault_rng.choice([0.0, 0.0, 0.5]))
        async with asyncio.TaskGroup() as group:
            if self._fault_rng.random() < 0.5:
                group.create_task(self._restart(self.deployment.entries))
            await self._hold()
            for machine in self._fault_rng.sample(machines, len(machines)):
                self.disks.accept(machine)
                await self.require_progress()

    async def end_while_refusing(self) -> None:
        """End a process whose disk refuses, also in series, then another."""
        rng, disks = self._fault_rng, self.disks
        machine, other = self._sample(2)
        disks.refuse(machine)
        for _ in range(rng.randint(1, MAX_ENDS)):
            await self._hold()
            rng.choice((disks.kill, disks.terminate))(machine)
            await self.require_progress()
            rng.choice((disks.accept, disks.refuse))(machine)
            disks.start(machine)
        await self._hold()
        disks.accept(machine)
        await self._require("control VMs", disks.all_answer, START_SECONDS)
        disks.kill(other)
        await self.require_progress()
        disks.start(other)

    async def change_at_random(self) -> None:
        """Change random control VMs, whatever state they are in."""
        rng, disks = self._fault_rng, self.disks
        ends = (disks.kill, disks.terminate, disks.start)
        stalls = (disks.pause, disks.resume)
        refusals = (disks.refuse, disks.refuse, disks.accept)
        for _ in range(STEPS):
            rng.choice(ends + stalls + refusals)(rng.choice(disks.machines))
            await asyncio.sleep(rng.uniform(*STEP_SECONDS))
            await self.require_progress()
        disks.restore()

    def _sample(self, count: int) -> list[Machine]:
        return self._fault_rng.sample(list(self.disks.machines), count)

    async def _hold(self) -> None:
        await asyncio.sleep(self._fault_rng.uniform(*HOLD_SECONDS))

    async def require_progress(self) -> None:
        """Require two confirmed changes and reads while a quorum is well."""
        operator, disks = self.operator, self.disks
        began_at = time.monotonic()
        confirmed, read = operator.confirmed + 2, operator.read + 2
        while operator.confirmed < confirmed or operator.read < read:
            well = [machine.name for machine in disks.list_well()]
            if len(well) < disks.quorum:
                return
            since = max(began_at, disks.changed_at)
            if time.monotonic() > since + CONFIRM_SECONDS:
                self._violate(f"no changes or reads in time: {well} were well")
                return
            await asyncio.sleep(0.01)
        self.progress += 1

    def _violate(self, description: str) -> None:
        self._record(f"BROKEN: {description}")
        self.violations.append(description)

    async def _require(
        self, name: str, check: Callable[[], Awaitable[bool]], seconds: float
    ) -> None:
        try:
            await until(check, seconds)
        except AssertionError:
            self._violate(f"not within {seconds:g} s: {name}")

    async def restart_entries(self) -> None:
        """Restart random entries until cancelled."""
        while True:
            await asyncio.sleep(self.rng.uniform(*ENTRY_RESTART_SECONDS))
            entry = self.rng.choice(self.deployment.entries)
            await self._restart([entry], self.rng.choice(END_SIGNALS))

    async def _restart(
        self, machines: list[Machine], number: int = signal.SIGKILL
    ) -> None:
        async with self._restarting:
            names = [machine.name for machine in machines]
            self._ready_at_by_entry |= dict.fromkeys(names, float("inf"))
            await super()._restart(machines, number)
            await self.deployment.until_ready(machines, START_SECONDS)
            self._ready_at_by_entry |= dict.fromkeys(names, time.monotonic())

    async def settle(self) -> None:
        """Check that all take part, and that a kill of all loses nothing."""
        disks, control = self.disks, self.disks.machines
        disks.restore()
        for entry in self.deployment.entries:
            # The end of the faults cancelled its restart.
            if entry.is_stopping:
                await entry.wait_until_exited()
            if entry.process is None:
                await entry.start()
        await self._require("control VMs", disks.all_answer, START_SECONDS)
        await self.require_progress()
        for machine in self._sample(len(control)):
            disks.pause(machine)
            await self.require_progress()
            disks.resume(machine)
        for machine in control:
            disks.kill(machine)
        disks.restore()
        await self._require("control VMs", disks.all_answer, START_SECONDS)
        for machine in control:
            read = functools.partial(self.operator.read_from, machine)
            await self._require(
                f"control {machine.name}", read, CONFIRM_SECONDS
            )
        await self.require_progress()
        for entry in self.deployment.entries:
            serves = functools.partial(self._serves_all, entry)
            await self._require(
                f"all of {entry.name}", serves, RECOVERY_SECONDS
            )
        await asyncio.sleep(DEADLINE_MS / 1000)

    async def _serves_all(self, entry: Machine) -> bool:
        routes = list(self.operator.confirmed_at_by_route)
        statuses = [await self.send_to(f"/{r}/x", entry) for r in routes]
        return set(statuses) == {200}

    def check(self) -> list[str]:
        """Return what was violated."""
        runs: collections.Counter[str] = collections.Counter()
        for endpoint in self._failing_endpoints():
            runs.update(endpoint.runs_by_id)
        for request_id, status in self._status_by_id.items():
            count = runs[request_id]
            is_run_often = count > (status not in NOT_RUN_STATUSES)
            if is_run_often or (status == 200 and not count):
                self._violate(f"{request_id}: {status}, ran {count} times")
        self.violations += self.disks.violations + self.operator.violations
        return super().check()

    def summarize(self) -> str:
        """Return how many changes and reads there were."""
        changes, reads = self.operator.confirmed, self.operator.read
        return f"{changes} changes, {reads} reads, {self.progress} judged"

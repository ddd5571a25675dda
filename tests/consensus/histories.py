"""Random histories of clients and faults, reproducible by seed."""

import asyncio
from dataclasses import dataclass
from dataclasses import field
import random

from burdockdrum.consensus import NotAccepted
from burdockdrum.consensus import NotCurrent
from burdockdrum.consensus import OutcomeUnknown
from burdockdrum.consensus import ReplicatedLog
from burdockdrum.consensus import Role
from burdockdrum.testing import run_virtual
from tests.consensus.checker import History
from tests.consensus.checker import Operation
from tests.consensus.checker import Violation
from tests.consensus.cluster import Cluster
from tests.consensus.cluster import ListMachine

CLIENTS = 4
MONITOR_INTERVAL_SECONDS = 0.03
CLOCK_DRIFT = 0.01
FAULTS = (
    "cut_off",
    "cut_one_way",
    "split",
    "heal",
    "crash",
    "power_loss",
    "power_loss_everywhere",
    "start",
    "start",
    "slow_disk",
    "failing_disk",
    "full_disk",
    "working_disk",
    "transfer_leadership",
    "replace",
    "bad_links",
    "good_links",
)
# Disks that misbehave in series and over several members, also while their
# processes are killed and started.
DISK_FAULTS = (
    *FAULTS,
    "unreadable_disk",
    "stuck_folder",
    "stalled_disk",
    "failing_disk",
    "full_disk",
    "working_disk",
    "working_disk",
    "kill",
    "kill",
    "power_cycle",
    "power_cycle_everywhere",
    "power_cycle_everywhere",
    "kill_after_failed_syncs",
    "kill_after_failed_syncs",
    "kill_after_failed_syncs",
)


@dataclass(frozen=True, kw_only=True)
class Plan:
    """The parameters of one history; CI runs the defaults."""

    seed: int
    size: int = 3
    seconds: float = 12.0
    faults: tuple[str, ...] = FAULTS
    settings: dict = field(default_factory=dict)


class CheckedMachine(ListMachine):
    """A state machine that records each applied command."""

    def __init__(self, *, vm_id: str, history: History) -> None:
        super().__init__()
        self._vm_id = vm_id
        self._history = history

    def apply(self, index: int, command: bytes) -> bytes:
        self._history.record_applied(self._vm_id, index, command)
        return super().apply(index, command)


class HistoryRun:
    """One cluster under load and injected faults."""

    def __init__(
        self, *, plan: Plan, cluster_type: type[Cluster] = Cluster
    ) -> None:
        """Create the cluster from the seed of a plan."""
        self._plan = plan
        self._rng = random.Random(plan.seed)
        rates = [
            self._rng.choice((1 - CLOCK_DRIFT, 1, 1 + CLOCK_DRIFT))
            for _ in range(plan.size)
        ]
        settings = {
            "snapshot_every_entries": 25,
            "keep_entries": 5,
            "segment_bytes": 2000,
            "max_clock_drift": CLOCK_DRIFT,
        }
        self.cluster = cluster_type(
            size=plan.size,
            seed=self._rng.randrange(1 << 30),
            rates=rates,
            **{**settings, **plan.settings},
        )
        self.history = History()
        self.cluster.make_machine = lambda vm_id: CheckedMachine(
            vm_id=vm_id, history=self.history
        )
        self._replacing: str | None = None
        self._next_command = 0
        self._background: set[asyncio.Task] = set()

    async def run(self) -> History:
        """Run the plan and check the recorded history.

        :raises Violation: if the log broke a promise
        """
        cluster = self.cluster
        self._set_links(bad=False)
        await cluster.start_all()
        monitor_task = asyncio.create_task(self._monitor())
        try:
            await cluster.wait_for_leader(seconds=60)
            async with asyncio.TaskGroup() as group:
                for _ in range(CLIENTS):
                    group.create_task(self._run_client())
                group.create_task(self._inject_faults())
            await self._recover()
        finally:
            monitor_task.cancel()
            await asyncio.wait({monitor_task})
            for task in self._background:
                task.cancel()
            await cluster.stop_all()
        if not monitor_task.cancelled() and monitor_task.exception():
            raise monitor_task.exception()  # type: ignore[misc]
        self.history.check()
        return self.history

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def _run_client(self) -> None:
        end = self._now() + self._plan.seconds
        while self._now() < end:
            logs = self.cluster.logs
            if logs:
                log = self._rng.choice(logs)
                if self._rng.random() < 0.4:
                    await self._read(log)
                else:
                    timeout = self._rng.uniform(0.3, 3)
                    await self._write(log, timeout=timeout)
            await asyncio.sleep(self._rng.uniform(0, 0.2))

    async def _write(self, log: ReplicatedLog, *, timeout: float) -> bool:
        self._next_command += 1
        command = f"{self._next_command}".encode()
        operation = Operation(command=command, began=self._now())
        self.history.operations.append(operation)
        try:
            applied = await log.propose(command, timeout=timeout)
        except NotAccepted:
            operation.refused = True
            return False
        except OutcomeUnknown:
            return False
        operation.index = applied.index
        operation.ended = self._now()
        return True

    async def _read(self, log: ReplicatedLog) -> None:
        operation = Operation(command=None, began=self._now())
        self.history.operations.append(operation)
        try:
            index = await log.read_barrier(timeout=1.0)
        except NotCurrent:
            return
        operation.index = index
        operation.ended = self._now()

    async def _monitor(self) -> None:
        while True:
            for log in self.cluster.logs:
                if log.role is Role.LEADER:
                    vm_id = self.cluster.vm_of(log).vm_id
                    self.history.record_leader(vm_id, log.term)
            self.history.check_leases(
                [
                    self.cluster.vm_of(log).vm_id
                    for log in self.cluster.logs
                    if log.is_leader
                ]
            )
            await asyncio.sleep(MONITOR_INTERVAL_SECONDS)

    async def _inject_faults(self) -> None:
        end = self._now() + self._plan.seconds
        while self._now() < end:
            await asyncio.sleep(self._rng.uniform(0.2, 1.5))
            fault = self._rng.choice(self._plan.faults)
            vm_id = self._rng.choice(sorted(self.cluster.vms))
            await self._inject_fault(fault, vm_id)

    async def _inject_fault(self, fault: str, vm_id: str) -> None:
        cluster = self.cluster
        vm = cluster.vms[vm_id]
        match fault:
            case "cut_off":
                cluster.cut_off(vm_id)
            case "cut_one_way":
                cluster.cut_off(vm_id, both=False)
            case "split":
                names = sorted(cluster.vms)
                half = self._rng.sample(names, len(names) // 2)
                rest = [name for name in names if name not in half]
                cluster.network.cut(half, rest)
            case "heal":
                cluster.heal()
            case "crash":
                await cluster.stop(vm_id)
            case "power_loss":
                await cluster.stop(vm_id, power_loss=True)
            case "power_loss_everywhere":
                await cluster.stop_all(power_loss=True)
            case "start":
                await self._start_all()
            case "slow_disk":
                vm.disk.sync_seconds = self._rng.uniform(0, 0.3)
            case "stalled_disk":
                vm.disk.sync_seconds = self._rng.uniform(1.0, 8.0)
            case "failing_disk":
                vm.disk.fail_syncs = True
            case "full_disk":
                vm.disk.full = True
            case "unreadable_disk":
                vm.disk.fail_reads = True
            case "stuck_folder":
                vm.disk.fail_changes = True
            case "working_disk":
                vm.disk.mend()
                if vm.disk.sync_seconds >= 1.0:
                    vm.disk.sync_seconds = 0.0
            case "kill":
                await cluster.stop(vm_id)
                await cluster.start(vm_id)
            case "power_cycle":
                await cluster.stop(vm_id, power_loss=True)
                await cluster.start(vm_id)
            case "power_cycle_everywhere":
                await cluster.stop_all(power_loss=True)
                await cluster.start_all()
            case "kill_after_failed_syncs":
                await self._kill_after_failed_syncs()
            case "transfer_leadership":
                if vm.task:
                    self._spawn(vm.running.transfer_leadership())
            case "replace":
                if self._replacing is None:
                    self._replacing = vm_id
                    self._spawn(self._replace(vm_id))
            case "bad_links":
                self._set_links(bad=True)
            case "good_links":
                self._set_links(bad=False)

    def _spawn(self, coroutine: object) -> None:
        task = asyncio.ensure_future(coroutine)  # type: ignore[call-overload]
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def _set_links(self, *, bad: bool) -> None:
        self.cluster.network.set_default(
            delay=self._rng.choice((0.001, 0.02, 0.055)),
            jitter=self._rng.choice((0.001, 0.1)) if bad else 0.001,
            loss=self._rng.choice((0.0, 0.05, 0.2)) if bad else 0.0,
            duplicate=self._rng.choice((0.0, 0.2)) if bad else 0.0,
        )

    async def _start_all(self) -> None:
        for vm in self.cluster.vms.values():
            if vm.task is None:
                await self.cluster.start(vm.vm_id)

    async def _kill_after_failed_syncs(self) -> None:
        """Kill most members before they repeat what a sync has dropped.

        Their disks accept writes when they start again.
        """
        names = sorted(self.cluster.vms)
        chosen = self._rng.sample(names, len(names) // 2 + 1)
        for vm_id in chosen:
            self.cluster.vms[vm_id].disk.fail_syncs = True
        await asyncio.sleep(self._rng.uniform(0.05, 0.4))
        for vm_id in chosen:
            await self.cluster.stop(vm_id)
            self.cluster.vms[vm_id].disk.mend()
            await self.cluster.start(vm_id)

    async def _replace(self, vm_id: str) -> None:
        """Wipe one VM's disk, remove the old member and add the new one.

        Only one at a time: losing the disks of a quorum loses its data.
        """
        cluster = self.cluster
        vm = cluster.vms[vm_id]
        await cluster.stop(vm_id)
        vm.disk.wipe()
        if vm.task is None:
            await cluster.start(vm_id)
        while not await self._try_to_add(vm_id):
            await asyncio.sleep(0.3)
        self._replacing = None

    async def _try_to_add(self, vm_id: str) -> bool:
        cluster = self.cluster
        leader = next((log for log in cluster.logs if log.is_leader), None)
        vm = cluster.vms[vm_id]
        if leader is None or vm.task is None:
            return False
        disk_id = vm.running.disk_id
        if disk_id is None:
            return False
        known = next((m for m in leader.members if m.vm_id == vm_id), None)
        try:
            if known is None:
                await leader.add_member(vm_id, vm.address, disk_id, timeout=2)
            elif known.disk_id != disk_id:
                await leader.remove_member(vm_id, timeout=2)
            else:
                return known.voter and leader.commit_index > 0
        except (NotAccepted, OutcomeUnknown):
            pass
        return False

    async def _recover(self) -> None:
        """Remove all faults and check that the cluster works again."""
        cluster = self.cluster
        cluster.heal()
        self._set_links(bad=False)
        for vm in cluster.vms.values():
            vm.disk.mend()
            vm.disk.sync_seconds = 0.0
            if vm.task and vm.running.role is Role.HALTED:
                raise Violation(f"{vm.vm_id}: {vm.running.halt_reason}")
        await self._start_all()
        await cluster.wait_until(lambda: self._replacing is None, seconds=60)
        log = await cluster.wait_for_leader(seconds=60)
        for _ in range(5):
            if await self._write(log, timeout=10):
                break
        else:
            raise Violation("no command gets through once all is mended")
        await cluster.wait_until_applied(seconds=60)
        commands = [vm.machine.commands for vm in cluster.vms.values()]
        if any(other != commands[0] for other in commands):
            raise Violation("members end with different states")
        self.history.check_final(commands[0])


def run_history(
    plan: Plan, cluster_type: type[Cluster] = Cluster
) -> HistoryRun:
    """Run one history under virtual time and check it.

    :raises Violation: if the log broke a promise
    """
    run = HistoryRun(plan=plan, cluster_type=cluster_type)
    run_virtual(run.run())
    return run

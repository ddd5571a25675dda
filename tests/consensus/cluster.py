"""Control VMs in memory, with simulated clocks, disks and network."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import random
import string
from typing import Any

from burdockdrum.consensus import LogSettings
from burdockdrum.consensus import ReplicatedLog
from burdockdrum.metrics import Metrics
from burdockdrum.peers import PayloadAuthenticator
from burdockdrum.peers import Peers
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Disk
from burdockdrum.testing import FakeDisk
from burdockdrum.testing import FakeNetwork
from burdockdrum.testing import VirtualClock
from burdockdrum.timeline import HybridClock
from burdockdrum.timeline import Timeline

POLL_INTERVAL_SECONDS = 0.05


class ListMachine:
    """A state machine that is the list of its commands."""

    def __init__(self) -> None:
        """Start empty."""
        self.commands: list[bytes] = []

    def apply(self, index: int, command: bytes) -> bytes:
        """Append a command and return the number of commands."""
        self.commands.append(command)
        return str(len(self.commands)).encode()

    def snapshot(self) -> bytes:
        """Return the commands, one a line."""
        return b"\n".join(self.commands)

    def restore(self, snapshot: bytes) -> None:
        """Replace the commands by those of a snapshot."""
        self.commands = snapshot.split(b"\n") if snapshot else []


class Vm:
    """One control VM, with the state that survives its restarts."""

    def __init__(
        self, *, vm_id: str, address: str, rng: random.Random, rate: float
    ) -> None:
        """Create a VM that is not started."""
        self.vm_id = vm_id
        self.address = address
        self.rng = rng
        self.disk: Any = FakeDisk(rng=random.Random(rng.random()))
        self.clock = VirtualClock(rate=rate)
        self.incarnation = 0
        self.task: asyncio.Task | None = None
        self.log: ReplicatedLog | None = None
        self.machine = ListMachine()
        self.timeline: Timeline | None = None
        self.metrics = Metrics()

    @property
    def running(self) -> ReplicatedLog:
        """Return the log of a VM that was started."""
        assert self.log is not None
        return self.log


class Cluster:
    """Control VMs on one network."""

    def __init__(
        self,
        *,
        size: int = 3,
        seed: int = 1,
        rates: Iterable[float] = (),
        make_disk: Callable[[FakeDisk], Disk] | None = None,
        **settings: Any,
    ) -> None:
        """Create VMs a, b, c and so on, none of them started."""
        self.rng = random.Random(seed)
        self.network = FakeNetwork(rng=random.Random(self.rng.random()))
        self.settings = settings
        self.vms: dict[str, Vm] = {}
        self.errors: list[BaseException] = []
        self.make_disk = make_disk
        self.make_machine: Callable[[str], ListMachine] = lambda vm_id: (
            ListMachine()
        )
        drift = list(rates)
        for place in range(size):
            self.add_vm(rate=drift[place] if place < len(drift) else 1.0)
        self.founders = {vm.vm_id: vm.address for vm in self.vms.values()}

    def add_vm(self, *, rate: float = 1.0) -> Vm:
        """Add a VM that is no founder."""
        vm_id = string.ascii_lowercase[len(self.vms)]
        vm = Vm(
            vm_id=vm_id,
            address=f"tcp://10.0.0.{len(self.vms) + 1}:7000",
            rng=random.Random(self.rng.random()),
            rate=rate,
        )
        self.vms[vm_id] = vm
        return vm

    @property
    def logs(self) -> list[ReplicatedLog]:
        """Return the logs of the running VMs."""
        return [vm.running for vm in self.vms.values() if vm.task]

    async def start(self, vm_id: str) -> ReplicatedLog:
        """Start a VM."""
        vm = self.vms[vm_id]
        assert vm.task is None
        vm.incarnation += 1
        mailbox = await self.network.host(vm_id).open(vm.address)
        hybrid = HybridClock(clock=vm.clock)
        vm.metrics = Metrics()
        vm.timeline = Timeline(
            process=vm_id, incarnation=vm.incarnation, clock=hybrid
        )
        peers = Peers(
            identity=VmIdentity(
                vm_id=vm_id,
                incarnation=vm.incarnation,
                region="r",
                data_centre="d",
                control_address=vm.address,
                http_address="",
            ),
            mailbox=mailbox,
            clock=vm.clock,
            hybrid_clock=hybrid,
            rng=random.Random(vm.rng.random()),
            authenticator=PayloadAuthenticator(secret=b"s"),
            metrics=vm.metrics,
        )
        vm.machine = self.make_machine(vm_id)
        vm.log = ReplicatedLog(
            peers=peers,
            disk=self.make_disk(vm.disk) if self.make_disk else vm.disk,
            clock=vm.clock,
            rng=random.Random(vm.rng.random()),
            timeline=vm.timeline,
            metrics=vm.metrics,
            state_machine=vm.machine,
            settings=LogSettings(
                vm_id=vm_id,
                bootstrap_addresses_by_id=(
                    self.founders if vm_id in self.founders else {}
                ),
                **self.settings,
            ),
        )
        vm.task = asyncio.create_task(self._run(peers, vm.log))
        return vm.log

    async def start_all(self) -> None:
        """Start every VM that is not running."""
        for vm in self.vms.values():
            if vm.task is None:
                await self.start(vm.vm_id)

    async def stop(self, vm_id: str, *, power_loss: bool = False) -> None:
        """Stop a VM abruptly."""
        vm = self.vms[vm_id]
        if vm.task is None:
            return
        task = vm.task
        vm.task = None
        task.cancel()
        await asyncio.wait({task})
        if power_loss:
            vm.disk.lose_power()

    async def stop_all(self, *, power_loss: bool = False) -> None:
        """Stop every VM abruptly."""
        for vm_id in self.vms:
            await self.stop(vm_id, power_loss=power_loss)

    async def restart(self, vm_id: str, *, power_loss: bool = False) -> None:
        """Stop a VM abruptly and start it again."""
        await self.stop(vm_id, power_loss=power_loss)
        await self.start(vm_id)

    async def wait_for_leader(self, *, seconds: float = 30.0) -> ReplicatedLog:
        """Wait for a leader with a valid lease and return its log."""
        await self.wait_until(
            lambda: any(log.is_leader for log in self.logs), seconds=seconds
        )
        return next(log for log in self.logs if log.is_leader)

    def vm_of(self, log: ReplicatedLog) -> Vm:
        """Return the VM of a log."""
        return next(vm for vm in self.vms.values() if vm.log is log)

    async def wait_until(
        self, condition: Callable[[], Any], *, seconds: float = 30.0
    ) -> None:
        """Wait until a condition is true."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while not condition():
            if self.errors:
                raise self.errors[0]
            if loop.time() > end:
                raise AssertionError("waited in vain")
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def wait_until_applied(self, *, seconds: float = 30.0) -> None:
        """Wait until every running VM has applied all committed entries."""
        leader = await self.wait_for_leader(seconds=seconds)
        await self.wait_until(
            lambda: all(
                log.applied_index >= leader.commit_index for log in self.logs
            ),
            seconds=seconds,
        )

    def cut_off(self, vm_id: str, *, both: bool = True) -> None:
        """Drop all messages from a VM and, if ``both``, to it."""
        others = [other for other in self.vms if other != vm_id]
        self.network.cut([vm_id], others, both=both)

    def heal(self) -> None:
        """Reconnect all VMs."""
        names = list(self.vms)
        self.network.heal(names, names)

    async def _run(self, peers: Peers, log: ReplicatedLog) -> None:
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(peers.run())
                group.create_task(log.run())
        except* Exception as error:
            self.errors.append(error)
        finally:
            await peers.close()


async def with_cluster(
    cluster: Cluster, use: Callable[[Cluster], Awaitable[None]]
) -> None:
    """Start all VMs, run a test on them and stop them."""
    await cluster.start_all()
    try:
        await use(cluster)
        if cluster.errors:
            raise cluster.errors[0]
    finally:
        await cluster.stop_all()

"""Injects the faults of a plan into a simulated run."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from burdockdrum.histories import FaultSpan
from tests.histories.faults import CrashEndpoint
from tests.histories.faults import CrashVm
from tests.histories.faults import CutOneWay
from tests.histories.faults import DrainVm
from tests.histories.faults import Isolate
from tests.histories.faults import LeaveEndpoint
from tests.histories.faults import LosePower
from tests.histories.faults import Lossy
from tests.histories.faults import Planned

if TYPE_CHECKING:
    from tests.histories.world import World


class Injector:
    """Runs a task for each fault, from its start to its end."""

    def __init__(self, *, world: "World", plan: list[Planned]) -> None:
        """Create an injector for a plan."""
        self._world = world
        self._plan = plan

    async def run(self) -> None:
        """Inject every fault and undo it at its end."""
        async with asyncio.TaskGroup() as group:
            for planned in self._plan:
                group.create_task(self._inject(planned))

    async def _inject(self, planned: Planned) -> None:
        await asyncio.sleep(planned.start)
        name, hosts = self._describe(planned)
        start = self._world.now()
        if name:
            self._world.history.faults.append(
                FaultSpan(
                    start=start,
                    end=start + planned.seconds,
                    name=name,
                    hosts=frozenset(hosts),
                )
            )
        await self._begin(planned)
        await asyncio.sleep(planned.seconds)
        await self._end(planned)

    def _describe(self, planned: Planned) -> tuple[str, list[str]]:
        world = self._world
        match planned.fault:
            case Isolate(region=region):
                return f"isolate {region}", world.hosts_in(region)
            case CutOneWay(source=source, target=target):
                hosts = world.hosts_in(source) + world.hosts_in(target)
                return "cut one way", hosts
            case Lossy():
                return "lossy", world.vm_ids
            case CrashVm(vm_id=vm_id):
                return "crash", [vm_id]
            case LosePower(region=region):
                return "lose power", world.hosts_in(region)
            case CrashEndpoint(endpoint_id=endpoint_id):
                return "crash endpoint", [endpoint_id]
            case _:
                return "", []

    async def _begin(self, planned: Planned) -> None:
        world = self._world
        network = world.cluster.network
        match planned.fault:
            case (Isolate() | CutOneWay()) as fault:
                self._change_links(fault, network.cut)
            case Lossy(loss=loss):
                self._set_loss(loss)
            case CrashVm(vm_id=vm_id):
                await world.crash_vm(vm_id)
            case LosePower(region=region):
                for vm_id in self._vms_in(region):
                    await world.crash_vm(vm_id)
                    world.lose_unsynced_writes(vm_id)
            case CrashEndpoint(endpoint_id=endpoint_id):
                await world.fleet.crash_endpoint(endpoint_id)
            case LeaveEndpoint(endpoint_id=endpoint_id):
                await world.fleet.start_draining(endpoint_id)
            case DrainVm(vm_id=vm_id):
                await world.drain_vm(vm_id)

    async def _end(self, planned: Planned) -> None:
        world = self._world
        network = world.cluster.network
        match planned.fault:
            case (Isolate() | CutOneWay()) as fault:
                self._change_links(fault, network.heal)
            case Lossy():
                self._set_loss(0.0)
            case CrashVm(vm_id=vm_id, lose_disk=lose_disk):
                if lose_disk:
                    world.lose_disk(vm_id)
                await world.start_vm(vm_id)
            case LosePower(region=region):
                for vm_id in self._vms_in(region):
                    await world.start_vm(vm_id)
            case CrashEndpoint(endpoint_id=endpoint_id):
                await world.fleet.start_endpoint(endpoint_id)
            case DrainVm(vm_id=vm_id):
                await world.start_vm(vm_id)

    def _change_links(
        self, fault: Isolate | CutOneWay, change: Callable[..., None]
    ) -> None:
        """Cut or heal the links that a fault affects."""
        match fault:
            case Isolate(region=region):
                change(
                    self._world.hosts_in(region), self._hosts_outside(region)
                )
            case CutOneWay(source=source, target=target):
                sources = self._world.hosts_in(source)
                targets = self._world.hosts_in(target)
                change(sources, targets, both=False)

    def _hosts_outside(self, region: str) -> list[str]:
        inside = set(self._world.hosts_in(region))
        return [host for host in self._world.hosts() if host not in inside]

    def _vms_in(self, region: str) -> list[str]:
        return [v for v in self._world.vm_ids if v.startswith(region)]

    def _set_loss(self, loss: float) -> None:
        for source in self._world.vm_ids:
            for target in self._world.vm_ids:
                if source != target:
                    self._world.cluster.network.set_link(
                        source, target, both=False, loss=loss, duplicate=loss
                    )

"""Test harness: complete VMs in several data centres."""

import asyncio

from burdockdrum.configuration import ConfigurationService
from burdockdrum.consensus import ReplicatedLog
from burdockdrum.leases import LeaseService
from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.resources import ChangeResult
from burdockdrum.resources import Delete
from burdockdrum.resources import hash_token
from burdockdrum.resources import parse_spec
from burdockdrum.resources import Put
from burdockdrum.settings import read_settings
from burdockdrum.testing.vms import FakeCluster
from burdockdrum.vms import VmDirectory

_SETTINGS = """
[vm]
id = "{vm_id}"
region = "{region}"
data_centre = "{data_centre}"
[listen]
control = "tcp://127.0.0.1:{port}"
http = "http://127.0.0.1:{http}"
[cluster]
secret = "sixteen characters and more"
join = {join}
[configuration]
residency_lease_seconds = {lease}
[control]
{data}
[control.members]
{members}
[operators]
token_hashes = ["{operator}"]
"""

OPERATOR_TOKEN = "operator"


class Deployment:
    """VMs whose ids name their region, data centre and number.

    ``"n1.2"`` is the second VM of data centre ``n1`` of region ``n``.
    """

    def __init__(
        self,
        *,
        seed: int,
        vm_ids: list[str],
        control_ids: list[str],
        lease_seconds: float = 30.0,
    ) -> None:
        self.cluster = FakeCluster(seed=seed)
        self.vm_ids = vm_ids
        self._control_ids = control_ids
        self._lease_seconds = lease_seconds
        self._ports = {vm_id: 1001 + i for i, vm_id in enumerate(vm_ids)}
        self._next_change = 0

    async def start(self) -> None:
        """Start all VMs and wait until they are synchronized."""
        for vm_id in self.vm_ids:
            await self.start_vm(vm_id)
        while not all(self.configuration(v).known for v in self.vm_ids):
            await asyncio.sleep(0.1)

    async def start_vm(self, vm_id: str) -> None:
        """Start a VM, or start it again."""
        await self.cluster.start_vm(read_settings(self.settings(vm_id)))

    async def crash(self, vm_id: str, *, power: bool = False) -> None:
        """Crash a VM; with ``power`` its disk loses all unsynced writes."""
        await self.cluster.crash_vm(vm_id)
        if power and vm_id in self.cluster.disks_by_vm_id:
            self.cluster.disks_by_vm_id[vm_id].lose_power()

    async def restart(self, vm_id: str, *, power: bool = False) -> None:
        """Crash a VM and start it again."""
        await self.crash(vm_id, power=power)
        await self.start_vm(vm_id)

    async def stop(self) -> None:
        """Stop all VMs and raise the first exception of a failed VM."""
        failed = [
            vm.task.exception()
            for vm in self.cluster.vms_by_id.values()
            if vm.task is not None and vm.task.done()
        ]
        await self.cluster.stop()
        if failed:
            raise failed[0]

    def cut(self, vm_ids: list[str]) -> None:
        """Partition some VMs from all others; messages are dropped."""
        self.cluster.network.cut(vm_ids, self._others(vm_ids))

    def heal(self, vm_ids: list[str]) -> None:
        """Undo a partition."""
        self.cluster.network.heal(vm_ids, self._others(vm_ids))

    def configuration(self, vm_id: str) -> ConfigurationService:
        """Return a VM's configuration."""
        return self._find(vm_id, "configuration", ConfigurationService)

    def leases(self, vm_id: str) -> LeaseService:
        """Return a VM's leases."""
        return self._find(vm_id, "leases", LeaseService)

    def log(self, vm_id: str) -> ReplicatedLog:
        """Return a control VM's log."""
        return self._find(vm_id, "log", ReplicatedLog)

    def send(self, source: str, target: str, message: Message) -> None:
        """Send a message from one VM to another."""
        peers = self._find(source, "peers", Peers)
        peers.send(self._address(target), message)

    def url(self, vm_id: str) -> str:
        """Return the URL at which a VM serves."""
        return f"http://127.0.0.1:{self._ports[vm_id] + 10_000}"

    def relay(self, vm_id: str) -> str:
        """Return the id of the relay of a VM's data centre, as it sees it."""
        directory = self._find(vm_id, "vms", VmDirectory)
        relay = directory.relay_of(data_centre_of(vm_id))
        return relay.identity.vm_id

    def leader(self) -> str | None:
        """Return the id of the control VM that leads, if any."""
        for vm_id in self._control_ids:
            if vm_id in self.cluster.vms_by_id and self.log(vm_id).is_leader:
                return vm_id
        return None

    async def put(
        self,
        vm_id: str,
        kind: str,
        name: str,
        fields: dict,
        *,
        version: int = 0,
        change_id: str | None = None,
    ) -> ChangeResult:
        """Put a resource through a VM."""
        change = Put(
            change_id=change_id or self._make_id(),
            kind=kind,
            name=name,
            expected_version=version,
            spec=parse_spec(kind, fields),
        )
        return await self.configuration(vm_id).change(change)

    async def delete(
        self, vm_id: str, kind: str, name: str, version: int
    ) -> ChangeResult:
        """Delete a resource through a VM."""
        change = Delete(
            change_id=self._make_id(),
            kind=kind,
            name=name,
            expected_version=version,
        )
        return await self.configuration(vm_id).change(change)

    async def wait_for(self, revision: int, *vm_ids: str) -> float:
        """Wait until VMs have a revision in force.

        :returns: the seconds until then
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        for vm_id in vm_ids or self.vm_ids:
            while self.configuration(vm_id).current.revision < revision:
                if loop.time() > started + 120:
                    raise AssertionError(
                        f"{vm_id} did not reach revision {revision}"
                    )
                await asyncio.sleep(0.01)
        return loop.time() - started

    def _find(self, vm_id: str, name: str, expected: type):
        return self.cluster.vms_by_id[vm_id].kernel.find(name, expected)

    def _others(self, vm_ids: list[str]) -> list[str]:
        return [vm_id for vm_id in self.vm_ids if vm_id not in vm_ids]

    def _make_id(self) -> str:
        self._next_change += 1
        return f"change-{self._next_change}"

    def settings(self, vm_id: str) -> str:
        """Return a VM's settings file."""
        members = "\n".join(
            f'"{member}" = "{self._address(member)}"'
            for member in self._control_ids
        )
        is_control = vm_id in self._control_ids
        return _SETTINGS.format(
            vm_id=vm_id,
            region=vm_id[0],
            data_centre=data_centre_of(vm_id),
            port=self._ports[vm_id],
            http=self._ports[vm_id] + 10_000,
            join=[self._address(member) for member in self.vm_ids[:2]],
            lease=self._lease_seconds,
            data='data_folder = "unused"' if is_control else "",
            members=members,
            operator=hash_token(OPERATOR_TOKEN),
        )

    def _address(self, vm_id: str) -> str:
        return f"tcp://127.0.0.1:{self._ports[vm_id]}"


def data_centre_of(vm_id: str) -> str:
    """Return the data centre that a VM id names."""
    return vm_id.split(".")[0]

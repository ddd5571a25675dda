"""Whole VMs of a control plane under virtual time, to be measured."""

import asyncio
import collections
import functools
import random

from burdockdrum.configuration import ConfigurationService
from burdockdrum.configuration import ControlState
from burdockdrum.configuration import propose_lease_command
from burdockdrum.consensus import LogSettings
from burdockdrum.consensus import ReplicatedLog
from burdockdrum.leases import LeaseManager
from burdockdrum.leases import LeaseService
from burdockdrum.metrics import Metrics
from burdockdrum.peers import PayloadAuthenticator
from burdockdrum.peers import Peers
from burdockdrum.peers import VmIdentity
from burdockdrum.resources import Configuration
from burdockdrum.testing import FakeDisk
from burdockdrum.testing import FakeNetwork
from burdockdrum.testing import VirtualClock
from burdockdrum.timeline import HybridClock
from burdockdrum.timeline import Timeline
from scripts.bench.fixed_directory import FixedDirectory

REGION_DELAY = 0.055
LOCAL_DELAY = 0.001
CONTROL = 3


class Vm:
    """The services of one VM that have to do with configuration."""

    def __init__(
        self,
        *,
        identity: VmIdentity,
        network: FakeNetwork,
        members: dict[str, str],
        directory: FixedDirectory,
    ) -> None:
        self.identity = identity
        host = network.host(identity.vm_id)
        self._host = host
        self._members = members
        self._directory = directory
        self.in_force_at: dict[int, float] = {}

    async def start(self, group: asyncio.TaskGroup) -> None:
        """Build the services and run them in a group."""
        clock = VirtualClock()
        rng = random.Random(self.identity.vm_id)
        hybrid_clock = HybridClock(clock=clock)
        metrics = Metrics()
        peers = Peers(
            identity=self.identity,
            mailbox=await self._host.open(self.identity.control_address),
            clock=clock,
            hybrid_clock=hybrid_clock,
            rng=rng,
            authenticator=PayloadAuthenticator(secret=b"sixteen characters"),
            metrics=metrics,
        )
        timeline = Timeline(
            process=self.identity.vm_id,
            incarnation=1,
            clock=hybrid_clock,
            capacity=10,
        )
        state: ControlState | None = None
        self.state = ControlState()
        self.log: ReplicatedLog | None = None
        services: list = [peers]
        if self.identity.vm_id in self._members:
            state = self.state
            self.log = ReplicatedLog(
                peers=peers,
                disk=FakeDisk(rng=rng),
                clock=clock,
                rng=rng,
                timeline=timeline,
                metrics=metrics,
                state_machine=state,
                settings=LogSettings(
                    vm_id=self.identity.vm_id,
                    bootstrap_addresses_by_id=self._members,
                ),
            )
            manager = LeaseManager(
                peers=peers,
                clock=clock,
                rng=rng,
                table=state.leases,
                leadership=self.log,
                propose=functools.partial(propose_lease_command, self.log),
            )
            services += [self.log, manager]
        self.configuration = ConfigurationService(
            peers=peers,
            clock=clock,
            timeline=timeline,
            directory=lambda: self._directory,
            control_addresses=self._members,
            residency_lease_seconds=300.0,
            state=state,
            log=self.log,
        )
        self.configuration.add_listener(self._note)
        self.leases = LeaseService(
            peers=peers,
            clock=clock,
            rng=rng,
            timeline=timeline,
            read_control_addresses=lambda: self._members,
        )
        for service in (*services, self.configuration, self.leases):
            group.create_task(service.run())

    def _note(self, configuration: Configuration) -> None:
        now = asyncio.get_running_loop().time()
        self.in_force_at[configuration.revision] = now


class Plane:
    """All VMs of one size."""

    def __init__(self, *, vms: int, data_centres: int) -> None:
        self.network = FakeNetwork(rng=random.Random(1))
        identities = [
            VmIdentity(
                vm_id=f"vm-{number:04}",
                incarnation=1,
                region=f"region-{number % data_centres % 33}",
                data_centre=f"dc-{number % data_centres}",
                control_address=f"tcp://10.0.0.0:{number + 1}",
                http_address=f"http://10.0.0.0:{number + 1}",
            )
            for number in range(vms)
        ]
        members = {
            identity.vm_id: identity.control_address
            for identity in identities[:CONTROL]
        }
        directory = FixedDirectory(identities)
        self.vms = [
            Vm(
                identity=identity,
                network=self.network,
                members=members,
                directory=directory,
            )
            for identity in identities
        ]
        self.network.set_default(delay=REGION_DELAY)
        by_region = collections.defaultdict(list)
        for identity in identities:
            by_region[identity.region].append(identity.vm_id)
        for vm_ids in by_region.values():
            for index, vm_id in enumerate(vm_ids):
                for other in vm_ids[:index]:
                    self.network.set_link(vm_id, other, delay=LOCAL_DELAY)
        self.relay_ids = {
            directory.relay_of(i.data_centre).identity.vm_id
            for i in identities
        }

    @property
    def leader(self) -> Vm:
        """Return the control VM that leads."""
        return next(vm for vm in self.vms if vm.log and vm.log.is_leader)

    def role(self, vm: Vm) -> str:
        """Return leader, control, relay or member."""
        if vm is self.leader:
            return "leader"
        if vm.log is not None:
            return "control"
        is_relay = vm.identity.vm_id in self.relay_ids
        return "relay" if is_relay else "member"

    def bytes_by_role(self, before: dict[str, int]) -> dict[str, float]:
        """Return the most bytes sent by a VM of each role since before."""
        most: dict[str, float] = {}
        for vm in self.vms:
            vm_id = vm.identity.vm_id
            sent = self.network.bytes_by_host.get(vm_id, 0)
            role = self.role(vm)
            number = sent - before.get(vm_id, 0)
            most[role] = max(most.get(role, 0), number)
        return most

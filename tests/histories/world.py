"""Simulates three regions with VMs, endpoints, callers and an operator.

The VMs run the services of the daemon on top of fakes. Everything that callers
and endpoints observe is recorded in a history.
"""

import asyncio
from collections.abc import Callable
import itertools
import random

import msgspec

from burdockdrum.configuration import ConfigurationService
from burdockdrum.histories import Drained
from burdockdrum.histories import History
from burdockdrum.histories import InForce
from burdockdrum.histories import RequestForwarded
from burdockdrum.peers import Seal
from burdockdrum.ports import UpstreamCall
from burdockdrum.requests import FORWARD_HEADER
from burdockdrum.requests import open_header
from burdockdrum.resources import hash_token
from burdockdrum.settings import read_settings
from burdockdrum.settings import Settings
from burdockdrum.testing import FakeAnswer
from burdockdrum.testing.vms import FakeCluster
from burdockdrum.vms import Drain
from tests.histories.callers import Caller
from tests.histories.endpoints import EndpointFleet
from tests.histories.faults import Planned
from tests.histories.injection import Injector
from tests.histories.operators import HOST as OPERATOR_HOST
from tests.histories.operators import Operator

REGIONS = ("dunantul", "alfold", "eszak")
SECRET = "sixteen characters and more"
SAMPLE_SECONDS = 0.5
WARM_UP_SECONDS = 8.0
REGION_DELAY = 0.055
SETTINGS = """
[vm]
id = "{vm_id}"
region = "{region}"
data_centre = "{region}"
[listen]
control = "{control}"
http = "{http}"
[cluster]
secret = "{secret}"
join = ["{join_a}", "{join_b}"]
[control]
{data}
[control.members]
{members}
[claims.keepers]
{keepers}
[operators]
token_hashes = ["{operator}"]
[endpoints]
token_hashes = ["{endpoint}"]
"""

BugInjection = Callable[["World"], None]


class World:
    """A simulated run; the same seed and plan give the same history."""

    def __init__(
        self,
        *,
        seed: int,
        plan: list[Planned],
        seconds: float = 20.0,
        requests: int = 40,
        inject_bug: BugInjection | None = None,
    ) -> None:
        """Create a run.

        :param seconds: how long callers send requests after the warm-up
        :param inject_bug: injects a deliberate bug after the warm-up
        """
        self.rng = random.Random(seed)
        self.history = History()
        self.cluster = FakeCluster(seed=seed)
        self.fleet = EndpointFleet(
            cluster=self.cluster, history=self.history, regions=REGIONS
        )
        self.seconds = seconds
        self._requests = requests
        self._plan = plan
        self._inject_bug = inject_bug
        self.operator = Operator(world=self)
        self.numbers = itertools.count(1)
        self.entry_urls_by_vm_id = {v: self.entry_url(v) for v in self.vm_ids}
        self._seal = Seal(secret=SECRET.encode())

    @property
    def vm_ids(self) -> list[str]:
        """Return the ids of all VMs, running or not."""
        return [f"{region}-{i}" for region in REGIONS for i in (1, 2)]

    def now(self) -> float:
        """Return the loop's time in seconds."""
        return asyncio.get_running_loop().time()

    async def run(self) -> History:
        """Run the system, its load and the faults; return the history."""
        self._set_links()
        for vm_id in self.vm_ids:
            await self.start_vm(vm_id)
        await self.fleet.start()
        sampling = asyncio.create_task(self._sample())
        await asyncio.sleep(WARM_UP_SECONDS)
        await self.operator.set_up()
        await asyncio.sleep(WARM_UP_SECONDS)
        if self._inject_bug is not None:
            self._inject_bug(self)
        injector = Injector(world=self, plan=self._plan)
        async with asyncio.TaskGroup() as group:
            group.create_task(injector.run())
            group.create_task(self.operator.make_changes())
            for _ in range(self._requests):
                caller = Caller(
                    world=self, rng=random.Random(self.rng.random())
                )
                group.create_task(caller.run())
        await asyncio.sleep(WARM_UP_SECONDS)
        self.history.ended_at = self.now()
        sampling.cancel()
        await self.fleet.stop()
        await self.cluster.stop()
        return self.history

    def entry_url(self, vm_id: str) -> str:
        """Return a VM's HTTP address."""
        return f"http://127.0.0.1:{2001 + self.vm_ids.index(vm_id)}"

    async def start_vm(self, vm_id: str) -> None:
        """Start a VM unless it runs; record requests forwarded to it."""
        if vm_id in self.cluster.vms_by_id:
            return
        vm = await self.cluster.start_vm(self._settings(vm_id))
        url = self.entry_url(vm_id)
        found = self.cluster.web.find(url)
        assert found is not None
        host, server = found
        data_centre = vm.identity.data_centre

        async def recording(call: UpstreamCall) -> FakeAnswer:
            if call.url.endswith("/v1/forward"):
                self._record_forward(call, data_centre)
            return await server(call)

        self.cluster.web.serve(url, host, recording)

    def hosts_in(self, region: str) -> list[str]:
        """Return the hosts of a region: VMs, endpoints and callers."""
        hosts = [vm_id for vm_id in self.vm_ids if vm_id.startswith(region)]
        hosts += self.fleet.hosts_in(region)
        return [*hosts, f"{region}-caller"]

    def hosts(self) -> list[str]:
        """Return every host, including the operator's."""
        inside = [host for region in REGIONS for host in self.hosts_in(region)]
        return [*inside, OPERATOR_HOST]

    async def crash_vm(self, vm_id: str) -> None:
        """Crash a VM if it runs."""
        if vm_id in self.cluster.vms_by_id:
            await self.cluster.crash_vm(vm_id)

    def lose_unsynced_writes(self, vm_id: str) -> None:
        """Simulate a power loss of a VM's disk, if it has one."""
        disk = self.cluster.disks_by_vm_id.get(vm_id)
        if disk is not None:
            disk.lose_power()

    def lose_disk(self, vm_id: str) -> None:
        """Wipe the disk of a stopped VM."""
        self.cluster.disks_by_vm_id[vm_id].wipe()

    async def drain_vm(self, vm_id: str) -> None:
        """Drain a VM and wait until it has exited."""
        vm = self.cluster.vms_by_id.get(vm_id)
        if vm is None:
            return
        start = self.now()
        drain = vm.kernel.find("drain", Drain)
        drain.begin()
        done = asyncio.create_task(drain.done.wait())
        assert vm.task is not None
        await asyncio.wait(
            {done, vm.task}, return_when=asyncio.FIRST_COMPLETED
        )
        done.cancel()
        if vm.task.done():
            # The VM crashed while draining.
            return
        self.history.drained.append(
            Drained(time=start, until=self.now(), vm_id=vm_id)
        )
        await self.crash_vm(vm_id)

    def _record_forward(self, call: UpstreamCall, data_centre: str) -> None:
        text = call.headers.get(FORWARD_HEADER, "")
        header = open_header(self._seal, text, call.body)
        assert header is not None
        self.history.forwarded.append(
            RequestForwarded(
                time=self.now(),
                data_centre=data_centre,
                request_id=header.request_id,
                hops=tuple(header.hops),
            )
        )

    async def _sample(self) -> None:
        while True:
            for vm_id, vm in sorted(self.cluster.vms_by_id.items()):
                service = vm.kernel.find("configuration", ConfigurationService)
                current = service.current
                values = tuple(
                    (f"{key.kind}/{key.name}", _encode_spec(resource.spec))
                    for key, resource in current.resources_by_key.items()
                    if key.kind == "priority_class"
                )
                self.history.in_force.append(
                    InForce(
                        time=self.now(),
                        vm_id=vm_id,
                        incarnation=vm.identity.incarnation,
                        revision=current.revision,
                        values=values,
                    )
                )
            await asyncio.sleep(SAMPLE_SECONDS)

    def _set_links(self) -> None:
        for region in REGIONS:
            for other in REGIONS:
                if region == other:
                    continue
                for source in self.hosts_in(region):
                    for target in self.hosts_in(other):
                        self.cluster.network.set_link(
                            source, target, both=False, delay=REGION_DELAY
                        )

    def _settings(self, vm_id: str) -> Settings:
        region = vm_id.split("-")[0]
        members = {
            f"{name}-1": self._control_address(f"{name}-1") for name in REGIONS
        }
        is_member = vm_id in members
        # The VM with a disk stores the claims of its region.
        keeper = f"{region}-1"
        keepers = {keeper: members[keeper]}
        return read_settings(
            SETTINGS.format(
                vm_id=vm_id,
                region=region,
                control=self._control_address(vm_id),
                http=self.entry_url(vm_id),
                secret=SECRET,
                join_a=self._control_address("dunantul-1"),
                join_b=self._control_address("alfold-1"),
                data='data_folder = "unused"' if is_member else "",
                members=_format_table(members),
                keepers=_format_table(keepers),
                operator=hash_token("operator"),
                endpoint=hash_token("endpoint"),
            )
        )

    def _control_address(self, vm_id: str) -> str:
        return f"tcp://127.0.0.1:{1001 + self.vm_ids.index(vm_id)}"


def _format_table(addresses: dict[str, str]) -> str:
    return "\n".join(f'{k} = "{v}"' for k, v in addresses.items())


def _encode_spec(spec: object) -> str:
    return msgspec.json.encode(spec).decode()

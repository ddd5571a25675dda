"""A harness of VMs that only run membership, over a fake network."""

import asyncio
from collections.abc import Callable
import random

from burdockdrum.endpoints import Announcement
from burdockdrum.endpoints import EndpointRegistry
from burdockdrum.endpoints import Report
from burdockdrum.endpoints import REPORT_INTERVAL_SECONDS
from burdockdrum.metrics import Metrics
from burdockdrum.peers import PayloadAuthenticator
from burdockdrum.peers import Peers
from burdockdrum.peers import VmIdentity
from burdockdrum.testing import FakeNetwork
from burdockdrum.testing import VirtualClock
from burdockdrum.timeline import HybridClock
from burdockdrum.timeline import Timeline
from burdockdrum.vms import EndpointSharing
from burdockdrum.vms import ServiceSummary
from burdockdrum.vms import VmDirectory


class HarnessVm:
    """A VM without a web server, which can be started and crashed."""

    def __init__(
        self,
        *,
        network: FakeNetwork,
        vm_id: str,
        data_centre: str,
        incarnation: int,
        join: list[str],
        seed: int,
        services: int = 1,
        address: str | None = None,
    ) -> None:
        self.clock = VirtualClock()
        self.metrics = Metrics()
        mailbox = network.open(vm_id, address or f"tcp://{vm_id}")
        self.identity = VmIdentity(
            vm_id=vm_id,
            incarnation=incarnation,
            region=data_centre,
            data_centre=data_centre,
            control_address=mailbox.address,
            http_address=f"http://{vm_id}",
        )
        self.timeline = Timeline(
            process=vm_id,
            incarnation=incarnation,
            clock=HybridClock(clock=self.clock),
        )
        self.peers = Peers(
            identity=self.identity,
            mailbox=mailbox,
            clock=self.clock,
            hybrid_clock=self.timeline.clock,
            rng=random.Random(seed),
            authenticator=PayloadAuthenticator(secret=b"secret"),
            metrics=self.metrics,
        )
        self.registry = EndpointRegistry(
            clock=self.clock, timeline=self.timeline
        )
        self.services = services
        self._rng = random.Random(seed)
        self.vms = VmDirectory(
            peers=self.peers,
            clock=self.clock,
            timeline=self.timeline,
            rng=random.Random(seed + 1),
            join=join,
            read_revision=lambda: 1,
            read_services=self.summarize,
        )
        self.sharing = EndpointSharing(
            clock=self.clock, group=self.vms.group, registry=self.registry
        )
        self.task: asyncio.Task | None = None

    def summarize(self) -> list[ServiceSummary]:
        live = self.registry.candidates("planner")
        room = sum(e.slots - e.running for e in live)
        if self.services > 1:
            # Several services simulate a loaded data centre.
            room = self._rng.randrange(1000)
        return [
            ServiceSummary(
                service=f"planner-{number}",
                endpoints=len(live),
                slots=8 * len(live),
                room=room,
                queue_seconds=0.0,
            )
            for number in range(self.services)
        ]

    def start(self) -> None:
        self.task = asyncio.create_task(self._run())

    async def crash(self) -> None:
        assert self.task is not None
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        await self.peers.close()

    def knows(self, vm_id: str) -> bool:
        """Return whether a VM is live and not suspected in this VM's view."""
        return any(
            view.identity.vm_id == vm_id and not view.suspected
            for view in self.vms.live_vms()
        )

    def offers(self, endpoint_id: str) -> bool:
        """Return whether an endpoint may get new requests from this VM."""
        return any(
            endpoint.endpoint_id == endpoint_id
            for endpoint in self.registry.candidates("planner")
        )

    async def _run(self) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(self.peers.run())
            group.create_task(self.vms.run())


class HarnessEndpoint:
    """An endpoint that reports to one VM, and to another when it fails."""

    def __init__(
        self,
        *,
        harness: "MembershipHarness",
        endpoint_id: str,
        reporter: str,
        seed: int,
    ) -> None:
        self.harness = harness
        self.announcement = Announcement(
            endpoint_id=endpoint_id,
            incarnation=1,
            url=f"http://{endpoint_id}",
            service="planner",
            slots=8,
        )
        self.reporter = reporter
        self.changes_load = True
        self._rng = random.Random(seed)
        self._sequence = 0
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        self.task = asyncio.create_task(self._run())

    def die(self) -> None:
        assert self.task is not None
        self.task.cancel()

    def leave(self, vm_id: str) -> None:
        self.harness.vms_by_id[vm_id].registry.start_draining(
            self.announcement.endpoint_id, self.announcement.incarnation
        )

    async def _run(self) -> None:
        known = False
        # Endpoints do not report at the same moments.
        await asyncio.sleep(self._rng.random() * REPORT_INTERVAL_SECONDS)
        while True:
            vm = self.harness.vms_by_id.get(self.reporter)
            if vm is None:
                await asyncio.sleep(2.0)
                self.reporter = self._rng.choice(
                    sorted(self.harness.vms_by_id)
                )
                known = False
                continue
            if not known:
                known = vm.registry.announce(self.announcement).known
            else:
                known = self._report(vm)
            await asyncio.sleep(REPORT_INTERVAL_SECONDS)

    def _report(self, vm: HarnessVm) -> bool:
        self._sequence += 1
        running = self._rng.randrange(9) if self.changes_load else 0
        report = Report(
            incarnation=self.announcement.incarnation,
            sequence=self._sequence,
            running=running,
            memory_used=running / 8,
        )
        name = self.announcement.endpoint_id
        return vm.registry.report(name, report).known


class MembershipHarness:
    """Starts and crashes VMs and endpoints on one network."""

    def __init__(self, *, seed: int) -> None:
        self.network = FakeNetwork(rng=random.Random(seed))
        self.vms_by_id: dict[str, HarnessVm] = {}
        self._seed = seed
        self.incarnation = 0

    def start_vm(
        self,
        vm_id: str,
        *,
        data_centre: str = "dc",
        join: list[str] | None = None,
        services: int = 1,
        address: str | None = None,
    ) -> HarnessVm:
        self.incarnation += 1
        self._seed += 7
        vm = HarnessVm(
            network=self.network,
            vm_id=vm_id,
            data_centre=data_centre,
            incarnation=self.incarnation,
            join=["tcp://vm0", "tcp://vm1"] if join is None else join,
            seed=self._seed,
            services=services,
            address=address,
        )
        self.vms_by_id[vm_id] = vm
        vm.start()
        return vm

    def start_vms(self, count: int) -> list[HarnessVm]:
        return [self.start_vm(f"vm{number}") for number in range(count)]

    async def crash_vm(self, vm_id: str) -> None:
        await self.vms_by_id.pop(vm_id).crash()

    def start_endpoint(
        self, endpoint_id: str, reporter: str
    ) -> HarnessEndpoint:
        self._seed += 3
        endpoint = HarnessEndpoint(
            harness=self,
            endpoint_id=endpoint_id,
            reporter=reporter,
            seed=self._seed,
        )
        endpoint.start()
        return endpoint

    async def wait_until(
        self, condition: Callable[[], bool], *, limit: float
    ) -> float:
        """Wait until a condition holds; return the seconds that it took.

        :raises AssertionError: if it does not hold within the limit
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        while not condition():
            if loop.time() - started > limit:
                raise AssertionError(f"not within {limit} s")
            await asyncio.sleep(0.02)
        return loop.time() - started

    def everywhere(self, condition: Callable[[HarnessVm], bool]) -> bool:
        return all(condition(vm) for vm in self.vms_by_id.values())

    def nobody_offers(self, endpoint_id: str) -> bool:
        """Return whether no VM gives an endpoint new requests."""
        return not any(
            vm.offers(endpoint_id) for vm in self.vms_by_id.values()
        )

    async def stop(self) -> None:
        for vm_id in list(self.vms_by_id):
            await self.crash_vm(vm_id)

"""Data centres with entry VMs and engines, in memory.

The routing, the admission and the engines are the product's own. What is
replaced is named here: summaries and reports are handed over directly with
the delays of the links, and there is no configuration.
"""

import asyncio
from dataclasses import dataclass
import random
from typing import Any

from burdockdrum.admission import AdmissionControl
from burdockdrum.emulator import EmulatedEngine
from burdockdrum.emulator import EngineSettings
from burdockdrum.emulator import Fault
from burdockdrum.endpoints import Announcement
from burdockdrum.endpoints import EndpointRegistry
from burdockdrum.endpoints import Report
from burdockdrum.endpoints import REPORT_INTERVAL_SECONDS
from burdockdrum.peers import VmIdentity
from burdockdrum.settings import PolicySettings
from burdockdrum.testing import VirtualClock
from burdockdrum.timeline import HybridClock
from burdockdrum.timeline import Timeline
from burdockdrum.vms import ServiceSummary
from burdockdrum.vms import VmView
from scripts.experiment.policies import Policy
from scripts.experiment.scenarios import Event
from scripts.experiment.workload import User

LOCAL_SECONDS = 0.001
WIDE_AREA_SECONDS = 0.055
CALLER_SECONDS = 0.003
SUMMARY_SECONDS = 0.5
ENTRIES_A_REGION = 2


@dataclass(frozen=True, kw_only=True)
class Directory:
    """The VMs as one entry VM sees them; filled by the world."""

    identity: VmIdentity
    others: dict[str, VmView]

    def live_vms(self) -> list[VmView]:
        """Return this VM first, then the others."""
        own = VmView(
            identity=self.identity,
            draining=False,
            revision=1,
            services=(),
            heard_at=0.0,
        )
        return [own, *self.others.values()]


@dataclass(frozen=True, kw_only=True)
class Entry:
    """One entry VM."""

    identity: VmIdentity
    registry: EndpointRegistry
    directory: Directory
    router: Any
    admission: Any


class Host:
    """One endpoint and its announcements."""

    def __init__(
        self,
        *,
        endpoint_id: str,
        settings: EngineSettings,
        registries: list[EndpointRegistry],
        rng: random.Random,
    ) -> None:
        """Create an endpoint of a data centre."""
        self.endpoint_id = endpoint_id
        self.registries = registries
        self.incarnation = 1
        self.engine = EmulatedEngine(
            settings=settings, clock=VirtualClock(), rng=rng
        )

    async def run(self) -> None:
        """Announce and report until cancelled."""
        self.announce()
        sequence = 0
        while True:
            await asyncio.sleep(REPORT_INTERVAL_SECONDS)
            if self.engine.died.is_set():
                continue
            sequence += 1
            running, waiting = self.engine.read_reported_load()
            report = Report(
                incarnation=self.incarnation,
                sequence=sequence,
                running=running,
                waiting=waiting,
                age_seconds=self.engine.settings.report_lag,
                cache_events=self.engine.cache.take_events(),
                cache_sequence=self.engine.cache.sequence,
            )
            for registry in self.registries:
                registry.report(self.endpoint_id, report)

    def announce(self) -> None:
        """Offer the engine to each entry VM of its data centre."""
        settings = self.engine.settings
        announcement = Announcement(
            endpoint_id=self.endpoint_id,
            incarnation=self.incarnation,
            url=self.endpoint_id,
            service=settings.service,
            slots=settings.slots,
        )
        for registry in self.registries:
            registry.announce(announcement)

    def strike(self, event: Event) -> None:
        """Let something happen to the engine."""
        match event.kind:
            case "lose":
                self.engine.crash()
            case "return":
                self.engine.restart()
                self.incarnation += 1
                self.announce()
            case name:
                self.engine.fault = Fault(name)


class World:
    """All data centres of a user under one policy."""

    def __init__(
        self,
        *,
        user: User,
        policy: Policy,
        seed: int,
        entries_a_region: int = ENTRIES_A_REGION,
    ) -> None:
        """Create entries and endpoints."""
        self._rng = random.Random(seed)
        self.user = user
        self.entries_by_region: dict[str, list[Entry]] = {}
        self.hosts_by_id: dict[str, Host] = {}
        for index, region in enumerate(user.regions):
            entries = [
                self._make_entry(region, number, policy)
                for number in range(entries_a_region)
            ]
            self.entries_by_region[region] = entries
            registries = [entry.registry for entry in entries]
            for service, counts in user.runners.items():
                for number in range(counts[index]):
                    name = f"{region}-{service}-{number}"
                    self.hosts_by_id[name] = Host(
                        endpoint_id=name,
                        settings=user.engines[service],
                        registries=registries,
                        rng=random.Random(self._rng.random()),
                    )

    @property
    def entries(self) -> list[Entry]:
        """Return every entry VM."""
        return [e for es in self.entries_by_region.values() for e in es]

    async def run(self, events: tuple[Event, ...]) -> None:
        """Run reports, summaries and events until cancelled."""
        async with asyncio.TaskGroup() as group:
            for host in self.hosts_by_id.values():
                group.create_task(host.run())
            for entry in self.entries:
                group.create_task(self._summarize(entry))
                group.create_task(entry.admission.run())
            for event in events:
                group.create_task(self._strike(event))

    def _make_entry(self, region: str, number: int, policy: Policy) -> Entry:
        identity = VmIdentity(
            vm_id=f"{region}-{number}",
            incarnation=1,
            region=region,
            data_centre=region,
            control_address=f"{region}-{number}",
            http_address=f"{region}-{number}",
        )
        clock = VirtualClock()
        timeline = Timeline(
            process=identity.vm_id,
            incarnation=1,
            clock=HybridClock(clock=clock),
        )
        registry = EndpointRegistry(clock=clock, timeline=timeline)
        directory = Directory(identity=identity, others={})
        settings: PolicySettings = policy.settings_for(self.user)
        router = policy.router(
            clock=clock,
            rng=random.Random(self._rng.random()),
            endpoints=registry,
            vms=directory,
            policy=settings,
        )
        admission: AdmissionControl = policy.admission(
            clock=clock,
            configuration=None,
            router=router,
            policy=settings,
        )
        return Entry(
            identity=identity,
            registry=registry,
            directory=directory,
            router=router,
            admission=admission,
        )

    async def _summarize(self, entry: Entry) -> None:
        # Entries do not tick together.
        await asyncio.sleep(self._rng.random() * SUMMARY_SECONDS)
        while True:
            services = tuple(
                summary
                for service in self.user.runners
                if (summary := _summary(entry, service)) is not None
            )
            asyncio.get_running_loop().call_later(
                WIDE_AREA_SECONDS, self._spread, entry, services
            )
            await asyncio.sleep(SUMMARY_SECONDS)

    def _spread(
        self, entry: Entry, services: tuple[ServiceSummary, ...]
    ) -> None:
        now = asyncio.get_running_loop().time()
        for other in self.entries:
            if other is not entry:
                other.directory.others[entry.identity.vm_id] = VmView(
                    identity=entry.identity,
                    draining=False,
                    revision=1,
                    services=services,
                    heard_at=now,
                )

    async def _strike(self, event: Event) -> None:
        await asyncio.sleep(event.at)
        main = next(iter(self.user.runners))
        prefix = self.user.regions[0]
        if not event.all_of_them:
            prefix = f"{prefix}-{main}-0"
        for name, host in self.hosts_by_id.items():
            if name.startswith(prefix):
                host.strike(event)


def _summary(entry: Entry, service: str) -> ServiceSummary | None:
    live = entry.registry.candidates(service)
    if not live:
        return None
    return ServiceSummary(
        service=service,
        endpoints=len(live),
        slots=sum(endpoint.slots for endpoint in live),
        room=int(entry.router.free_capacity(service)),
        queue_seconds=entry.admission.queue_seconds(service),
    )

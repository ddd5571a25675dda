"""Simulated regions with entries, engines and their messages."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import functools
import random

from burdockdrum.fairness import FairShares
from burdockdrum.holdings import PrefixCacheChange
from burdockdrum.holdings import PrefixCacheTable
from burdockdrum.passthrough.selection import Fleet
from burdockdrum.passthrough.selection import TargetSelector
from burdockdrum.passthrough.selection import TeamShares
from burdockdrum.passthrough.waiting import LineDispatcher
from burdockdrum.passthrough.waiting import WaitingLine
from burdockdrum.peers import VmIdentity
from burdockdrum.registrations import Load
from burdockdrum.registrations import PlacedPrefix
from burdockdrum.registrations import RankLoad
from burdockdrum.registrations import RegisteredEndpoint
from burdockdrum.registrations import RegistrationState
from burdockdrum.registrations import ServiceCapacity
from burdockdrum.registrations import SpeedNews
from burdockdrum.registrations import SpeedSum
from burdockdrum.registrations import sum_work
from burdockdrum.registrations import WorkByKey
from burdockdrum.resources import Backend
from burdockdrum.resources import Engine
from scripts.experiment.passed.engine import SimulatedEngine
from scripts.experiment.passed.loads import Incident
from scripts.experiment.passed.loads import REGIONS
from scripts.experiment.passed.schedule import Schedule
from scripts.experiment.passed.shapes import Shape
from scripts.experiment.passed.variants import BaselineSelector
from scripts.experiment.passed.variants import PolicyVariant
from scripts.experiment.passed.variants import Selector

SERVICE = "model"
ENTRIES_PER_REGION = 2
ENGINES_BY_REGION = {"east": 4, "north": 3, "west": 2}
# The intervals of the product's messages, and the delays of the links within
# a region and between two.
LOAD_REPORT_INTERVAL_SECONDS = 0.1
CAPACITY_INTERVAL_SECONDS = 0.5
CACHE_REPORT_INTERVAL_SECONDS = 1.0
LOCAL_DELAY_SECONDS = 0.001
# Entries with waiting requests check for capacity this often.
RECHECK_INTERVAL_SECONDS = 0.05
CROSS_REGION_DELAY_SECONDS = 0.055
# Delay of a fetch from another region in addition to its transfer.
CROSS_REGION_FETCH_DELAY_SECONDS = 0.22
# Time after which entries notice a missed heartbeat.
LOSS_DETECTION_DELAY_SECONDS = 1.0
_BITS_PER_TOKEN = 8 * 100_000


def weight_of(team: str) -> float:
    """Return what a team is granted: its usual load, relative to others'."""
    return 1 / (int(team.rpartition("-")[2]) + 1)


@dataclass(kw_only=True, eq=False)
class Entry:
    """One entry, with the loads reported by others of its region."""

    identity: VmIdentity
    rng: random.Random
    is_up: bool = True
    fleet: Fleet = field(init=False)
    selector: Selector = field(init=False)
    schedule: Schedule
    dispatcher: LineDispatcher | None = None
    is_watching: bool = False
    prefix_cache_table: PrefixCacheTable = field(init=False)
    loads_by_vm: dict[str, dict[str, list[RankLoad]]] = field(
        default_factory=dict
    )
    capacities: list[ServiceCapacity] = field(default_factory=list)
    speed_news: SpeedNews = field(default_factory=SpeedNews)
    work_by_vm: dict[str, WorkByKey] = field(default_factory=dict)
    shares: FairShares = field(init=False)

    def check_line(self) -> None:
        """Send the waiting requests for which there is capacity."""
        while self.dispatcher is not None and self.dispatcher.line.has(
            SERVICE
        ):
            if not self.dispatcher.check(SERVICE):
                return

    def watch_line(self) -> None:
        """Check the line at intervals until it is empty."""
        if self.is_watching or self.dispatcher is None:
            return
        self.is_watching = True
        self.schedule.after(RECHECK_INTERVAL_SECONDS, self._recheck)

    def _recheck(self) -> None:
        self.is_watching = False
        self.check_line()
        if self.dispatcher is not None and self.dispatcher.line.has(SERVICE):
            self.watch_line()

    def load_of(self, endpoint_id: str) -> Load:
        """Return the load of the other entries at an endpoint."""
        load = Load()
        for ranks_by_id in self.loads_by_vm.values():
            load.merge(Load.from_ranks(ranks_by_id.get(endpoint_id, [])))
        return load


class World:
    """All regions under one policy."""

    def __init__(
        self,
        *,
        shape: Shape,
        variant: PolicyVariant,
        schedule: Schedule,
        seed: int,
        time_scale: float = 1.0,
    ) -> None:
        """Create entries and engines without state.

        :param time_scale: factor of all times
        """
        self.schedule = schedule
        self.shape = shape
        self.time_scale = time_scale
        self._variant = variant
        self._rng = random.Random(seed)
        self.backend = Backend(
            name=SERVICE,
            engine=Engine(
                slots=shape.slots,
                memory_tokens=shape.memory_tokens,
                bytes_a_token=_BITS_PER_TOKEN // 8,
                link_megabits=_BITS_PER_TOKEN
                / 1e6
                / shape.fetch_token_seconds,
                tokens_an_event=shape.tokens_an_event,
            ),
        )
        self.engines_by_id: dict[str, SimulatedEngine] = {}
        self._endpoints_by_region: dict[str, dict[str, RegisteredEndpoint]] = {
            region: {} for region in REGIONS
        }
        for region in REGIONS:
            for number in range(ENGINES_BY_REGION[region]):
                self._add_engine(region, f"{region}-{number}")
        self.entries = [
            self._make_entry(region, number)
            for region in REGIONS
            for number in range(ENTRIES_PER_REGION)
        ]
        self.entries_by_address = {
            entry.identity.http_address: entry for entry in self.entries
        }

    @property
    def engines(self) -> list[SimulatedEngine]:
        """Return all engines."""
        return list(self.engines_by_id.values())

    def live_entries(self, region: str) -> list[Entry]:
        """Return the entries of a region that accept requests."""
        return [
            entry
            for entry in self.entries
            if entry.identity.region == region and entry.is_up
        ]

    def start(self, incidents: tuple[Incident, ...]) -> None:
        """Start the periodic messages and schedule the incidents."""
        repeat_every = self.schedule.repeat_every
        for entry in self.entries:
            delay = (
                self._rng.random()
                * LOAD_REPORT_INTERVAL_SECONDS
                * self.time_scale
            )
            self.schedule.after(delay, self._make_load_sender(entry))
        repeat_every(
            CAPACITY_INTERVAL_SECONDS * self.time_scale, self._send_capacities
        )
        repeat_every(
            CACHE_REPORT_INTERVAL_SECONDS * self.time_scale,
            self._send_cached_prefixes,
        )
        for incident in incidents:
            start_incident = functools.partial(self._start_incident, incident)
            self.schedule.at(incident.at, start_incident)

    def _add_engine(self, region: str, name: str) -> None:
        speeds = self.shape.speeds
        self.engines_by_id[name] = SimulatedEngine(
            endpoint_id=name,
            shape=self.shape,
            schedule=self.schedule,
            speed=speeds[len(self.engines_by_id) % len(speeds)],
        )
        self._endpoints_by_region[region][name] = RegisteredEndpoint(
            endpoint_id=name,
            service=SERVICE,
            address=name,
            data_centre=region,
            slots=self.shape.slots,
            sequence=1,
            state=RegistrationState.READY,
            slow_start_until=0.0,
            ends_at=None,
        )

    def _make_entry(self, region: str, number: int) -> Entry:
        name = f"entry-{region}-{number}"
        entry = Entry(
            identity=VmIdentity(
                vm_id=name,
                incarnation=1,
                region=region,
                data_centre=region,
                control_address=name,
                http_address=f"http://{name}",
            ),
            rng=random.Random(self._rng.random()),
            schedule=self.schedule,
        )
        self._start_entry(entry)
        return entry

    def _start_entry(self, entry: Entry) -> None:
        """Start or restart an entry with empty state."""
        region = entry.identity.region
        endpoints = self._endpoints_by_region[region]
        entry.prefix_cache_table = PrefixCacheTable()
        entry.loads_by_vm = {}
        entry.work_by_vm = {}
        entry.shares = FairShares(
            clock=self.schedule,
            rng=entry.rng,
            read_others_work=lambda: sum_work(*entry.work_by_vm.values()),
            read_weight=weight_of,
        )
        entry.capacities = []
        entry.fleet = Fleet(
            clock=self.schedule,
            rng=entry.rng,
            read_endpoints=lambda: endpoints,
            read_load=entry.load_of,
            read_load_age=lambda: (
                LOAD_REPORT_INTERVAL_SECONDS * self.time_scale
            ),
            prefix_cache_table=entry.prefix_cache_table,
            read_region=lambda name: name,
            mechanisms=self._variant.mechanisms,
        )
        entry.speed_news = SpeedNews()
        entry.speed_news.pop_own = entry.fleet.speeds.pop_news
        entry.speed_news.read_all = entry.fleet.speeds.read_all
        entry.speed_news.receive = entry.fleet.speeds.receive
        if self._variant.pick is not None:
            entry.selector = BaselineSelector(
                pick=self._variant.pick,
                rng=entry.rng,
                fleet=entry.fleet,
                read_endpoints=lambda: endpoints,
                read_load=entry.load_of,
            )
            return
        selector = TargetSelector(
            clock=self.schedule,
            rng=entry.rng,
            fleet=entry.fleet,
            region=region,
            read_capacities=lambda: entry.capacities,
            read_entries=lambda: [
                other.identity for other in self.entries if other.is_up
            ],
            read_closed_data_centres=frozenset,
            hop_address=lambda identity: identity.http_address,
            mechanisms=self._variant.mechanisms,
            team_shares=TeamShares(
                clock=self.schedule,
                fleet=entry.fleet,
                shares=entry.shares,
                mechanisms=self._variant.mechanisms,
            ),
        )
        entry.selector = selector
        entry.dispatcher = LineDispatcher(
            clock=self.schedule,
            selector=selector,
            line=WaitingLine(),
            read_endpoints_per_entry=lambda service: (
                len(endpoints) / ENTRIES_PER_REGION
            ),
            mechanisms=self._variant.mechanisms,
            is_line_enabled=self._variant.has_line,
        )

    def _make_load_sender(self, entry: Entry) -> Callable[[], None]:
        def send() -> None:
            self._send_load(entry)
            self.schedule.after(
                LOAD_REPORT_INTERVAL_SECONDS * self.time_scale, send
            )

        return send

    def _send_load(self, entry: Entry) -> None:
        if not entry.is_up:
            return
        load = entry.fleet.read_own_load()
        work = entry.shares.read_own_work()
        placed = entry.fleet.prefix_cache_view.pop_notices()
        speeds = entry.speed_news.pop_for_all(self.schedule.now)
        for other in self.live_entries(entry.identity.region):
            if other is not entry:
                deliver = functools.partial(
                    self._receive_load,
                    other,
                    entry,
                    load,
                    work,
                    placed,
                    speeds,
                )
                self.schedule.after(
                    LOCAL_DELAY_SECONDS * self.time_scale, deliver
                )

    def _receive_load(
        self,
        other: Entry,
        entry: Entry,
        load: dict[str, list[RankLoad]],
        work: WorkByKey,
        placed: list[PlacedPrefix],
        speeds: list[SpeedSum],
    ) -> None:
        other.loads_by_vm[entry.identity.vm_id] = load
        other.speed_news.record(entry.identity.vm_id, speeds)
        other.work_by_vm[entry.identity.vm_id] = work
        other.fleet.prefix_cache_view.record_notices(placed)
        other.check_line()

    def _send_capacities(self) -> None:
        capacities = [self._sum_capacity(region) for region in REGIONS]

        def deliver() -> None:
            for entry in self.entries:
                entry.capacities = capacities

        self.schedule.after(
            CROSS_REGION_DELAY_SECONDS * self.time_scale, deliver
        )

    def _sum_capacity(self, region: str) -> ServiceCapacity:
        load = Load()
        for entry in self.live_entries(region):
            for ranks in entry.fleet.read_own_load().values():
                load.merge(Load.from_ranks(ranks))
        endpoints = self._endpoints_by_region[region]
        return ServiceCapacity(
            region,
            SERVICE,
            len(endpoints),
            len(endpoints) * self.shape.slots,
            load.ranks(),
        )

    def _send_cached_prefixes(self) -> None:
        """Send the cached prefixes of each engine to all entries."""
        if not self._variant.mechanisms.endpoint_holdings:
            return
        for region, endpoints in self._endpoints_by_region.items():
            for endpoint in endpoints.values():
                change = self._read_change(endpoint)
                for entry in self.entries:
                    is_local = entry.identity.region == region
                    seconds = (
                        LOCAL_DELAY_SECONDS
                        if is_local
                        else CROSS_REGION_DELAY_SECONDS
                    )
                    apply_change = functools.partial(
                        self._apply_change, entry, change
                    )
                    self.schedule.after(
                        seconds * self.time_scale, apply_change
                    )

    def _apply_change(self, entry: Entry, change: PrefixCacheChange) -> None:
        entry.prefix_cache_table.apply(change, self.schedule.now)

    def _read_change(self, endpoint: RegisteredEndpoint) -> PrefixCacheChange:
        engine = self.engines_by_id[endpoint.endpoint_id]
        return PrefixCacheChange(
            endpoint_id=endpoint.endpoint_id,
            address=endpoint.address,
            data_centre=endpoint.data_centre,
            epoch=1,
            number=engine.events,
            tokens_by_part={
                part_id: tokens
                for part_id, tokens in engine.tokens_by_part.items()
                if not part_id.startswith("own-")
            },
            is_snapshot=True,
        )

    def _start_incident(self, incident: Incident) -> None:
        match incident.kind:
            case "crash":
                self._crash(incident.count)
            case "restart":
                self._stop_entries()
                self.schedule.after(incident.seconds, self._restart_entries)

    def _crash(self, count: int) -> None:
        region = REGIONS[0]
        endpoints = self._endpoints_by_region[region]
        for name in list(endpoints)[:count]:
            self.engines_by_id[name].crash()
            remove_endpoint = functools.partial(
                self._remove_endpoint, region, name
            )
            self.schedule.after(
                LOSS_DETECTION_DELAY_SECONDS * self.time_scale, remove_endpoint
            )

    def _remove_endpoint(self, region: str, name: str) -> None:
        self._endpoints_by_region[region].pop(name, None)

    def _stop_entries(self) -> None:
        for entry in self.entries:
            entry.is_up = False

    def _restart_entries(self) -> None:
        for entry in self.entries:
            self._start_entry(entry)
            entry.is_up = True

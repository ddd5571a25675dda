"""Shares the load of endpoints among the entries of a region.

Without it, an entry would route to endpoints that only seem idle. A few
entries broadcast their loads. As the messages grow with the square of the
number of entries, larger groups choose one aggregator in each data centre: it
receives reports, replies with the sum, and exchanges sums with the other
aggregators of the region.
"""

from collections.abc import Callable
from collections.abc import Iterable

import msgspec

from burdockdrum.logs import log_decision
from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock
from burdockdrum.registrations.load_sums import decode_loads
from burdockdrum.registrations.load_sums import encode_loads
from burdockdrum.registrations.load_sums import LoadById
from burdockdrum.registrations.load_sums import LoadSums
from burdockdrum.registrations.load_sums import sum_loads
from burdockdrum.registrations.loads import Load
from burdockdrum.registrations.messages import DataCentreLoad
from burdockdrum.registrations.messages import LoadReport
from burdockdrum.registrations.messages import PlacedPrefix
from burdockdrum.registrations.messages import RegionLoad
from burdockdrum.registrations.messages import ServiceCapacity
from burdockdrum.registrations.placement_log import PlacementLog
from burdockdrum.registrations.speed_news import SpeedNews
from burdockdrum.registrations.team_work import add_work
from burdockdrum.registrations.team_work import encode_work
from burdockdrum.registrations.team_work import sum_work
from burdockdrum.registrations.team_work import TeamWorkSums
from burdockdrum.registrations.team_work import Work
from burdockdrum.registrations.team_work import WorkByKey
from burdockdrum.registrations.team_work import WorkKey
from burdockdrum.vms import AggregatorSelector
from burdockdrum.vms import RemoteAggregators

REPORT_INTERVAL_SECONDS = 0.1
# With more other entries, an aggregator needs fewer messages.
MAX_DIRECT_PEERS = 4
# Limits an aggregator to 40 reports a second, whatever the number of entries.
REPORT_INTERVAL_PER_ENTRY_SECONDS = 0.025
BROADCAST_INTERVAL_SECONDS = 0.25
# Unchanged loads are resent before the receivers expire them.
RESEND_INTERVAL_SECONDS = 0.5
MAX_AGE_SECONDS = 1.5


class LoadSharing:
    """The load of the other entries of this region, by endpoint."""

    is_restartable = True

    def __init__(
        self,
        *,
        peers: Peers,
        clock: Clock,
        read_entries: Callable[[], Iterable[VmIdentity]],
        read_draining: Callable[[], bool] = bool,
        read_load: Callable[[], LoadById] = dict,
        read_capacities: Callable[[], list[ServiceCapacity]] = list,
    ) -> None:
        """Register the message handlers; sending starts with ``run``.

        :param read_entries: returns the other entries of this region
        :param read_draining: returns whether this VM is draining
        :param read_load: returns this VM's own load, by endpoint
        :param read_capacities: returns the capacity of each region that
            control VMs reported to this VM
        """
        self.read_load = read_load
        self.pop_placed: Callable[[], list[PlacedPrefix]] = list
        self.receive_placed: Callable[[list[PlacedPrefix]], None] = _ignore
        self.speed_news = SpeedNews()
        # Called when loads of other entries were received.
        self.on_loads: Callable[[], None] = _do_nothing
        # Returns the work that teams requested of this entry.
        self.read_team_work: Callable[[], WorkByKey] = dict
        self._own = peers.identity
        self._peers = peers
        self._clock = clock
        self._read_entries = read_entries
        self._read_draining = read_draining
        self._read_capacities = read_capacities
        self._aggregator_selector = AggregatorSelector(own=self._own)
        self._aggregator: VmIdentity | None = None
        # The number of sources that this entry expects reports from.
        self._expected_sources = 0
        self._interval = REPORT_INTERVAL_SECONDS
        self._reply_received_at = float("-inf")
        self._remote_aggregators = RemoteAggregators(
            own=self._own, keep_seconds=MAX_AGE_SECONDS
        )
        self._local_loads = LoadSums()
        self._remote_loads = LoadSums()
        self._local_work = TeamWorkSums()
        self._remote_work = TeamWorkSums()
        self._reply_source: str | None = None
        self._placements = PlacementLog()
        self._sent_load: LoadById = {}
        self._sent_at = float("-inf")
        self._capacities: list[ServiceCapacity] = []
        peers.register(LoadReport, self._receive_report)
        peers.register(RegionLoad, self._receive_region_load)
        peers.register(DataCentreLoad, self._receive_data_centre_load)

    @property
    def is_aggregator(self) -> bool:
        """Return whether this entry aggregates for its data centre."""
        return self._aggregator == self._own

    @property
    def capacities(self) -> list[ServiceCapacity]:
        """Return the capacity and load of each region, as last received."""
        if (
            self._clock.monotonic() - self._reply_received_at
            <= MAX_AGE_SECONDS
        ):
            return self._capacities
        return self._read_capacities()

    @property
    def load_age_seconds(self) -> float:
        """Return the average age of the other entries' loads, in seconds.

        It is the time since the aggregator's last reply, and half an interval
        for which a load waits at its entry.
        """
        if not self._expected_sources:
            return 0.0
        if self._aggregator is None:
            return REPORT_INTERVAL_SECONDS
        if self.is_aggregator:
            return self._interval
        age = self._clock.monotonic() - self._reply_received_at
        return min(MAX_AGE_SECONDS, age + self._interval / 2)

    @property
    def unreported_entries(self) -> int:
        """Return how many entries of this region have no current report.

        They are assumed to send what this entry sends. Otherwise, after a
        restart of all entries, all would fill the first known endpoints.
        """
        if self._aggregator is None or self.is_aggregator:
            return max(
                0, self._expected_sources - self._local_loads.source_count
            )
        has_reply = self._local_loads.source_count > 0
        return 0 if has_reply else self._expected_sources

    def load_of(self, endpoint_id: str) -> Load:
        """Return the load of the other entries at an endpoint."""
        local = self._local_loads.load_of(endpoint_id)
        remote = self._remote_loads.load_of(endpoint_id)
        if not remote.sums_by_rank:
            return local
        load = Load()
        load.merge(local)
        load.merge(remote)
        return load

    def read_others_work(self) -> WorkByKey:
        """Return the work of the other entries of this region."""
        if not self._remote_work.sums:
            return self._local_work.sums
        return sum_work(self._local_work.sums, self._remote_work.sums)

    def read_report(self) -> LoadById | None:
        """Return the load to report to control VMs.

        None if the aggregator reports it.
        """
        if self._aggregator is None:
            return self.read_load()
        return encode_loads(self._sum_local()) if self.is_aggregator else None

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            await self._clock.sleep(self._send_reports())

    def _send_reports(self) -> float:
        """Send due reports; return the seconds until the next call."""
        now = self._clock.monotonic()
        others = list(self._read_entries())
        self._expected_sources = self._count_sources(others)
        self._local_loads.prune(now - MAX_AGE_SECONDS)
        self._remote_loads.prune(now - MAX_AGE_SECONDS)
        self._local_work.prune(now - MAX_AGE_SECONDS)
        self._remote_work.prune(now - MAX_AGE_SECONDS)
        self._set_aggregator(self._choose_aggregator(others, now))
        if self._aggregator is None:
            self._send_report(
                [e.control_address for e in others], now, wants_reply=False
            )
            return REPORT_INTERVAL_SECONDS
        neighbours = sum(self._is_neighbour(entry) for entry in others)
        interval = REPORT_INTERVAL_PER_ENTRY_SECONDS * (neighbours + 1)
        self._interval = max(REPORT_INTERVAL_SECONDS, interval)
        if self.is_aggregator:
            self._send_to_data_centres(others, now)
            return BROADCAST_INTERVAL_SECONDS
        if self._send_report(
            [self._aggregator.control_address], now, wants_reply=True
        ):
            self._aggregator_selector.record_report(
                self._aggregator.vm_id, now
            )
        return self._interval

    def _choose_aggregator(
        self, others: list[VmIdentity], now: float
    ) -> VmIdentity | None:
        if len(others) <= MAX_DIRECT_PEERS:
            return None
        neighbours = [e for e in others if self._is_neighbour(e)]
        is_eligible = not self._read_draining()
        return self._aggregator_selector.choose(
            neighbours, now, is_eligible=is_eligible
        )

    def _count_sources(self, others: list[VmIdentity]) -> int:
        """Return the number of entries that reports are expected from."""
        local = sum(self._is_neighbour(entry) for entry in others)
        return local if self.is_aggregator else len(others)

    def _set_aggregator(self, aggregator: VmIdentity | None) -> None:
        if aggregator == self._aggregator:
            return
        self._aggregator = aggregator
        # The new aggregator has no report yet, so the next one is due at once.
        self._sent_at = float("-inf")
        log_decision(
            "loads.keeper_chosen",
            about_vm=aggregator.vm_id if aggregator is not None else None,
        )

    def _is_neighbour(self, entry: VmIdentity) -> bool:
        return entry.data_centre == self._own.data_centre

    def _send_report(
        self, addresses: list[str], now: float, *, wants_reply: bool
    ) -> bool:
        load = self.read_load()
        placed = self.pop_placed()
        speeds = self.speed_news.pop_for_all(now)
        is_unchanged = load == self._sent_load and not placed and not speeds
        if (
            is_unchanged
            and not wants_reply
            and now - self._sent_at < RESEND_INTERVAL_SECONDS
        ):
            return False
        self._sent_load, self._sent_at = load, now
        report = LoadReport(
            load_by_id=load,
            placed=placed,
            wants_reply=wants_reply,
            speeds=speeds,
            knows_speeds=self.speed_news.is_informed,
            team_work=encode_work(self.read_team_work()),
        )
        for address in addresses:
            self._peers.send(address, report)
        return True

    def _send_to_data_centres(
        self, others: list[VmIdentity], now: float
    ) -> None:
        self._placements.add(self._own.vm_id, self.pop_placed())
        address_by_data_centre = self._remote_aggregators.find_addresses(
            others, now
        )
        load = encode_loads(self._sum_local())
        team_work = encode_work(
            sum_work(self._local_work.sums, self.read_team_work())
        )
        remote_sources = frozenset(
            map(_data_centre_source, address_by_data_centre)
        )
        for name, address in address_by_data_centre.items():
            source = _data_centre_source(name)
            message = DataCentreLoad(
                data_centre=self._own.data_centre,
                aggregator_address=self._own.control_address,
                load_by_id=load,
                placed=self._placements.read_unsent(
                    source, excluded_sources=remote_sources
                ),
                speeds=self.speed_news.pop_for(source, now),
                team_work=team_work,
            )
            self._peers.send(address, message)

    def _remote_sources(self) -> frozenset[str]:
        """Return the sources of the other data centres' loads."""
        return frozenset(self._remote_loads.sources)

    def _sum_local(self) -> dict[str, Load]:
        """Return the load of this data centre's entries, by endpoint."""
        return sum_loads(
            self._local_loads.sums_by_id, decode_loads(self.read_load())
        )

    async def _receive_report(
        self, sender: Sender, message: LoadReport
    ) -> Message | None:
        now = self._clock.monotonic()
        if message.wants_reply and self._reply_source is not None:
            # The former aggregator's reply covers the loads that entries now
            # report one by one; they must not be counted twice.
            self._local_loads.drop(self._reply_source)
            self._local_work.drop(self._reply_source)
            self._reply_source = None
        self._local_loads.put(sender.vm_id, message.load_by_id, now)
        self._local_work.put(sender.vm_id, message.team_work, now)
        self.receive_placed(message.placed)
        self._placements.add(sender.vm_id, message.placed)
        self.speed_news.record(sender.vm_id, message.speeds)
        self.on_loads()
        if message.wants_reply:
            reply = self._make_reply(
                sender.vm_id, now, knows_speeds=message.knows_speeds
            )
            self._peers.send(sender.address, reply)
        elif not message.knows_speeds:
            self._tell_speeds(sender)
        return None

    def _tell_speeds(self, sender: Sender) -> None:
        """Tell an entry that has just started what this one knows."""
        speeds = self.speed_news.read_all()
        if not speeds:
            return
        report = LoadReport(
            load_by_id=self.read_load(),
            speeds=speeds,
            knows_speeds=self.speed_news.is_informed,
            team_work=encode_work(self.read_team_work()),
        )
        self._peers.send(sender.address, report)

    def _make_reply(
        self, requester: str, now: float, *, knows_speeds: bool
    ) -> RegionLoad:
        loads_by_id = sum_loads(
            self._local_loads.sums_by_id,
            self._remote_loads.sums_by_id,
            decode_loads(self.read_load()),
        )
        for endpoint_id, load in self._local_loads.loads_of_source(
            requester
        ).items():
            loads_by_id[endpoint_id].subtract(load)
        self._placements.add(self._own.vm_id, self.pop_placed())
        return RegionLoad(
            load_by_id=encode_loads(loads_by_id),
            placed=self._placements.read_unsent(requester),
            capacities=self.capacities,
            speeds=self.speed_news.pop_for(
                requester, now, is_informed=knows_speeds
            ),
            team_work=encode_work(self._sum_work_for(requester)),
        )

    def _sum_work_for(self, requester: str) -> dict[WorkKey, Work]:
        """Return the work of the region without that of one entry."""
        sums = sum_work(
            self._local_work.sums,
            self._remote_work.sums,
            self.read_team_work(),
        )
        add_work(sums, self._local_work.work_of_source(requester), -1)
        return sums

    async def _receive_region_load(
        self, sender: Sender, message: RegionLoad
    ) -> Message | None:
        now = self._clock.monotonic()
        self._aggregator_selector.record_reply(sender.vm_id)
        if self._aggregator is None or sender.vm_id != self._aggregator.vm_id:
            return None
        self._local_loads.put(sender.vm_id, message.load_by_id, now)
        self._local_loads.keep_only(sender.vm_id)
        self._local_work.put(sender.vm_id, message.team_work, now)
        self._local_work.keep_only(sender.vm_id)
        self._reply_source = sender.vm_id
        self._remote_loads.prune(float("inf"))
        self._remote_work.prune(float("inf"))
        self._capacities, self._reply_received_at = message.capacities, now
        self.receive_placed(message.placed)
        self.speed_news.record(sender.vm_id, message.speeds)
        self.on_loads()
        return None

    async def _receive_data_centre_load(
        self, sender: Sender, message: DataCentreLoad
    ) -> Message | None:
        if (
            not self.is_aggregator
            and self._aggregator
            and not message.is_forwarded
        ):
            forwarded = msgspec.structs.replace(message, is_forwarded=True)
            self._peers.send(self._aggregator.control_address, forwarded)
            return None
        source = _data_centre_source(message.data_centre)
        now = self._clock.monotonic()
        self._remote_aggregators.record(
            message.data_centre, message.aggregator_address, now
        )
        self._remote_loads.put(source, message.load_by_id, now)
        self._remote_work.put(source, message.team_work, now)
        self.receive_placed(message.placed)
        self._placements.add(source, message.placed)
        self.speed_news.record(
            source, message.speeds, excluded=self._remote_sources()
        )
        self.on_loads()
        return None


def _data_centre_source(name: str) -> str:
    """Return the source id of a data centre, distinct from any VM id."""
    return f"data_centre:{name}"


def _ignore(placed: list[PlacedPrefix]) -> None:
    """Ignore placements; the default handler."""


def _do_nothing() -> None:
    """Ignore received loads; the default handler."""

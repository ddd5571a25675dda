"""Publishes a control VM's registrations to entries.

Pushes each change at once, resends what was not acknowledged, and answers the
polls of entries.
"""

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from burdockdrum.crashes import CrashLedger
from burdockdrum.crashes import CrashRecord
from burdockdrum.logs import log_decision
from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender
from burdockdrum.ports import Clock
from burdockdrum.registrations.loads import Load
from burdockdrum.registrations.loads import RankLoad
from burdockdrum.registrations.messages import LimitNotice
from burdockdrum.registrations.messages import Registration
from burdockdrum.registrations.messages import RegistrationUpdate
from burdockdrum.registrations.messages import RosterEntry
from burdockdrum.registrations.messages import ServiceCapacity
from burdockdrum.registrations.messages import Watch
from burdockdrum.registrations.pacing import liveness_timeout
from burdockdrum.registrations.rosters import EntryRosters
from burdockdrum.registrations.rosters import NO_ROSTER_VERSION
from burdockdrum.registrations.table import ANY_DATA_CENTRE
from burdockdrum.registrations.table import RegistrationTable

PRUNE_INTERVAL_SECONDS = 0.5
# Longer than a round trip between regions and a TCP retransmission together,
# 310 ms.
ACK_TIMEOUT_SECONDS = 0.4
# Entries report their load twice a second; older reports are not used.
MAX_LOAD_AGE_SECONDS = 2.0
# Records of crashes in one message.
MAX_CRASH_RECORDS = 200
# Entries divide shared limits by this count. It is high rather than low: an
# entry that is only partitioned still uses its share.
ENTRY_COUNT_WINDOW_SECONDS = 20.0


@dataclass(kw_only=True)
class _Watcher:
    """An entry that polls this control VM.

    ``serial`` is the last serial that it acknowledged, ``sent_serial`` the
    last one sent to it with a change of its region. ``roster_version`` and
    ``watch_sent_at_ms`` are those of its last message.
    """

    address: str
    region: str
    incarnation: int
    serial: int
    received_at: float
    roster_version: int = 0
    crash_serial: int = 0
    version_serial: int = 0
    watch_sent_at_ms: int = 0
    sent_serial: int = 0
    sent_at: float = float("-inf")
    load_by_id: dict[str, list[RankLoad]] = field(default_factory=dict)
    load_received_at: float = float("-inf")

    def is_behind(self, now: float) -> bool:
        """Return whether a sent change must have been lost."""
        if self.serial >= self.sent_serial:
            return False
        return now - self.sent_at >= ACK_TIMEOUT_SECONDS


class RegistrationPublisher:
    """Sends registrations to entries, on changes and in answer to polls."""

    is_restartable = True

    def __init__(
        self,
        *,
        peers: Peers,
        clock: Clock,
        table: RegistrationTable,
        regions_by_data_centre: Mapping[str, str],
        read_revision: Callable[[], int],
        read_moved_to: Callable[[], list[str]] = list,
        crashes: CrashLedger | None = None,
    ) -> None:
        """Register the message handler and listen for changes.

        :param read_moved_to: returns the services that routes moved to lately
        :param crashes: the crashes that this VM knows; a ledger of its own by
            default
        """
        self._crashes = crashes or CrashLedger(clock=clock)
        self._peers = peers
        self._clock = clock
        self._table = table
        self._regions_by_data_centre = dict(regions_by_data_centre)
        self._read_revision = read_revision
        self._read_moved_to = read_moved_to
        self._watchers_by_id: dict[str, _Watcher] = {}
        self._rosters = EntryRosters(clock=clock)
        table.listeners.append(self._publish_change)
        table.versions.listeners.append(self._publish_to_all)
        peers.register(Watch, self._receive_watch)

    async def run(self) -> None:
        """Expire endpoints and resend lost changes until cancelled."""
        while True:
            self._table.prune()
            self._crashes.prune()
            self._resend_unacknowledged()
            await self._clock.sleep(PRUNE_INTERVAL_SECONDS)

    def count_watchers(self, region: str | None = None) -> int:
        """Return the number of entries that may be alive.

        :param region: count only those of this region
        """
        since = self._clock.monotonic() - ENTRY_COUNT_WINDOW_SECONDS
        count = 0
        for watcher in self._watchers_by_id.values():
            if watcher.received_at >= since and region in (
                None,
                watcher.region,
            ):
                count += 1
        return count

    async def _receive_watch(
        self, sender: Sender, message: Watch
    ) -> Message | None:
        now = self._clock.monotonic()
        watcher = self._watchers_by_id.get(sender.vm_id)
        is_late = (
            watcher is not None
            and watcher.incarnation > sender.incarnation
            and watcher.received_at >= self._live_since()
        )
        if is_late:
            return None
        # A start after the clock was set back may have a lower number.
        if watcher is None or watcher.incarnation != sender.incarnation:
            watcher = _Watcher(
                address=sender.address,
                region=message.region,
                incarnation=sender.incarnation,
                serial=0,
                received_at=now,
            )
            self._watchers_by_id[sender.vm_id] = watcher
        is_same_epoch = message.epoch == self._peers.identity.incarnation
        watcher.serial = message.serial if is_same_epoch else 0
        watcher.roster_version = (
            message.roster_version if is_same_epoch else NO_ROSTER_VERSION
        )
        watcher.crash_serial = message.crash_serial if is_same_epoch else 0
        watcher.version_serial = message.version_serial if is_same_epoch else 0
        watcher.watch_sent_at_ms = message.sent_at_ms
        watcher.received_at = now
        self._rosters.record(sender.vm_id, sender.address, message.region)
        self._record_limits(sender, message.limits)
        self._record_drains(sender, message.drains)
        self._record_crashes(message.crashes)
        if message.load_by_id is not None:
            watcher.load_by_id, watcher.load_received_at = (
                message.load_by_id,
                now,
            )
        if not message.is_acknowledgement:
            has_load = message.load_by_id is not None
            self._send(watcher, with_capacities=has_load)
        self._forget_watchers(now)
        return None

    def _record_limits(
        self, sender: Sender, notices: list[LimitNotice]
    ) -> None:
        for notice in notices:
            if self._table.record_limit(notice):
                log_decision(
                    "endpoint.limit_recorded",
                    endpoint_id=notice.endpoint_id,
                    requests_per_second=notice.requests_per_second,
                    max_rejections=notice.max_rejections,
                    age=round(notice.age, 3),
                    about_vm=sender.vm_id,
                )

    def _record_drains(self, sender: Sender, endpoint_ids: list[str]) -> None:
        for endpoint_id in endpoint_ids:
            if self._table.record_drain(endpoint_id):
                log_decision(
                    "endpoint.drain_recorded",
                    endpoint_id=endpoint_id,
                    about_vm=sender.vm_id,
                )

    def _record_crashes(self, records: list[CrashRecord]) -> None:
        """Merge an entry's records; push what changes the quarantine."""
        former = self._crashes.quarantined
        for record in records:
            self._crashes.merge(record)
        if self._crashes.quarantined != former:
            self._publish_to_all()

    def _publish_to_all(self) -> None:
        for watcher in self._live_watchers():
            self._send(watcher, with_capacities=False)

    def _publish_change(self, registration: Registration) -> None:
        region = self._regions_by_data_centre.get(registration.data_centre)
        is_for_all_regions = registration.data_centre == ANY_DATA_CENTRE
        watchers = [
            watcher
            for watcher in self._live_watchers()
            if is_for_all_regions or watcher.region == region
        ]
        log_decision(
            "endpoint.published",
            endpoint_id=registration.endpoint_id,
            state=registration.state.value,
            sequence=registration.sequence,
            slow_start=round(registration.slow_start_seconds, 3),
            serial=self._table.serial,
            entries=len(watchers),
        )
        for watcher in watchers:
            self._send_changes(watcher)

    def _resend_unacknowledged(self) -> None:
        """Resend changes that an entry has not acknowledged.

        Messages in flight are lost when a connection breaks.
        """
        now = self._clock.monotonic()
        for watcher in self._live_watchers():
            if watcher.is_behind(now):
                self._send_changes(watcher)

    def _send_changes(self, watcher: _Watcher) -> None:
        watcher.sent_serial = self._table.serial
        watcher.sent_at = self._clock.monotonic()
        self._send(watcher, with_capacities=False)

    def _live_since(self) -> float:
        """Return since when a live entry must have sent a poll."""
        seconds = liveness_timeout(len(self._watchers_by_id))
        return self._clock.monotonic() - seconds

    def _live_watchers(self) -> list[_Watcher]:
        since = self._live_since()
        return [
            watcher
            for watcher in self._watchers_by_id.values()
            if watcher.received_at >= since
        ]

    def _send(self, watcher: _Watcher, *, with_capacities: bool) -> None:
        data_centres = frozenset(
            name
            for name, region in self._regions_by_data_centre.items()
            if region == watcher.region
        )
        table = self._table
        roster = self._rosters.read(watcher.region)
        entries: tuple[RosterEntry, ...] | None = roster.entries
        if roster.version == NO_ROSTER_VERSION:
            entries = self._rosters.read_likely(watcher.region)
        elif roster.version == watcher.roster_version:
            entries = None
        knows_versions = watcher.version_serial == table.versions.serial
        crashes, crash_serial = self._crashes.records_after(
            watcher.crash_serial, MAX_CRASH_RECORDS
        )
        message = RegistrationUpdate(
            epoch=self._peers.identity.incarnation,
            base_serial=watcher.serial,
            serial=table.serial,
            registrations=table.changes_after(watcher.serial, data_centres),
            capacities=self._sum_capacities() if with_capacities else None,
            region_entries=self.count_watchers(watcher.region),
            total_entries=self.count_watchers(),
            revision=self._read_revision(),
            watch_sent_at_ms=watcher.watch_sent_at_ms,
            roster_version=roster.version,
            entries=None if entries is None else list(entries),
            crashes=crashes,
            crash_base=watcher.crash_serial,
            crash_serial=crash_serial,
            versions=None if knows_versions else table.versions.list_known(),
            version_serial=table.versions.serial,
            are_versions_complete=table.versions.is_complete,
            moved_to=self._read_moved_to(),
        )
        self._peers.send(watcher.address, message)

    def _sum_capacities(self) -> list[ServiceCapacity]:
        loads_by_id = self._sum_loads()
        sums: dict[tuple[str, str], tuple[int, int, Load]] = {}
        versions_by_key: dict[tuple[str, str], set[str]] = {}
        for registration in self._table.ready():
            region = self._regions_by_data_centre.get(registration.data_centre)
            if region is None or registration.rate_limit is not None:
                # An endpoint that limits its requests can't take more from
                # other regions.
                continue
            key = (region, registration.service)
            endpoints, slots, load = sums.get(key, (0, 0, Load()))
            own = loads_by_id.get(registration.endpoint_id)
            if own is not None:
                load.merge(own)
            sums[key] = (endpoints + 1, slots + registration.slots, load)
            versions_by_key.setdefault(key, set()).add(
                registration.software_version
            )
        return [
            ServiceCapacity(
                region,
                service,
                endpoints,
                slots,
                load.ranks(),
                sorted(versions_by_key[(region, service)]),
            )
            for (region, service), (endpoints, slots, load) in sums.items()
        ]

    def _sum_loads(self) -> dict[str, Load]:
        since = self._clock.monotonic() - MAX_LOAD_AGE_SECONDS
        sums: dict[str, Load] = {}
        for watcher in self._watchers_by_id.values():
            if watcher.load_received_at < since:
                continue
            for endpoint_id, ranks in watcher.load_by_id.items():
                load = sums.get(endpoint_id)
                if load is None:
                    load = sums[endpoint_id] = Load()
                load.add_ranks(ranks)
        return sums

    def _forget_watchers(self, now: float) -> None:
        for vm_id, watcher in list(self._watchers_by_id.items()):
            if now - watcher.received_at > ENTRY_COUNT_WINDOW_SECONDS:
                del self._watchers_by_id[vm_id]

"""An entry's view of endpoints, merged from all control VMs.

Polls every control VM, receives its changes, and decides which registration
of an endpoint is current where control VMs disagree.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import random

from burdockdrum.crashes import CrashExchange
from burdockdrum.crashes import CrashLedger
from burdockdrum.logs import log_decision
from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender
from burdockdrum.ports import Clock
from burdockdrum.registrations.announced_drains import AnnouncedDrains
from burdockdrum.registrations.control_source import add_capacities
from burdockdrum.registrations.control_source import ControlSource
from burdockdrum.registrations.control_source import make_endpoint
from burdockdrum.registrations.ended_endpoints import EndedEndpoints
from burdockdrum.registrations.endpoint_log import log_believed
from burdockdrum.registrations.endpoint_log import log_slow_start
from burdockdrum.registrations.incarnations import UNKNOWN_INCARNATION
from burdockdrum.registrations.likely_entries import LikelyEntries
from burdockdrum.registrations.limit_reports import keep_newest_limit
from burdockdrum.registrations.limit_reports import list_unknown_limits
from burdockdrum.registrations.limit_shares import LimitShares
from burdockdrum.registrations.load_sums import LoadById
from burdockdrum.registrations.messages import LimitNotice
from burdockdrum.registrations.messages import Registration
from burdockdrum.registrations.messages import RegistrationState
from burdockdrum.registrations.messages import RegistrationUpdate
from burdockdrum.registrations.messages import ServiceCapacity
from burdockdrum.registrations.messages import Watch
from burdockdrum.registrations.model import RegisteredEndpoint
from burdockdrum.registrations.pacing import liveness_timeout
from burdockdrum.registrations.pacing import MIN_WATCH_INTERVAL_SECONDS
from burdockdrum.registrations.pacing import watch_interval
from burdockdrum.registrations.pacing import WATCH_JITTER_FRACTION
from burdockdrum.registrations.rate_limits import AnnouncedLimit
from burdockdrum.registrations.replaced_control_vms import ReplacedControlVms
from burdockdrum.registrations.rosters import NO_ROSTER_VERSION
from burdockdrum.software_versions import KnownVersions
from burdockdrum.software_versions import MEMORY_SECONDS
from burdockdrum.software_versions import VersionConfirmation

# What a control VM reported before its restart or its replacement stays valid
# for so long, in which a live endpoint checks in again.
STALE_GRACE_SECONDS = 6.0
# Older reports of a region's load are not used.
MAX_CAPACITY_AGE_SECONDS = 3.0
# Outlasts late messages about an ended incarnation, which must not revive it.
TOMBSTONE_SECONDS = 120.0


class RegistrationFollower:
    """The endpoints of this region by id, merged from all control VMs."""

    is_restartable = True

    def __init__(
        self,
        *,
        peers: Peers,
        clock: Clock,
        rng: random.Random,
        control_addresses: Callable[[], Mapping[str, str]],
        read_report: Callable[[], LoadById | None] = dict,
        on_revision: Callable[[str, int], None] = lambda *_: None,
        read_revision: Callable[[], int] = int,
        crashes: CrashLedger | None = None,
    ) -> None:
        """Register the message handler; polling starts with ``run``.

        :param control_addresses: returns the control VMs' addresses by id
        :param read_report: returns the load to report to control VMs, None
            if another entry reports it
        :param on_revision: called with a control VM's address and the
            revision of its configuration
        :param read_revision: returns the revision of the own configuration
        :param crashes: the crashes that this entry knows; a ledger of its
            own by default
        """
        self.endpoints_by_id: dict[str, RegisteredEndpoint] = {}
        self.read_report = read_report
        # The limits that endpoints announced to this entry, by endpoint id.
        self.read_limits: Callable[[], Mapping[str, AnnouncedLimit]] = dict
        self.listeners: list[Callable[[], None]] = []
        # Called with the id of each incarnation that a newer one replaced.
        self.restart_listeners: list[Callable[[str], None]] = []
        # What the control VMs know of the limits of endpoints.
        self._limits_by_id: dict[str, AnnouncedLimit] = {}
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._control_addresses = control_addresses
        self._on_revision = on_revision
        self._read_revision = read_revision
        self._crashes = crashes or CrashLedger(clock=clock)
        self._crash_exchange = CrashExchange(ledger=self._crashes)
        self._sources_by_id: dict[str, ControlSource] = {}
        self._replaced = ReplacedControlVms(grace_seconds=STALE_GRACE_SECONDS)
        self._ended = EndedEndpoints(memory_seconds=TOMBSTONE_SECONDS)
        self._drains = AnnouncedDrains(memory_seconds=TOMBSTONE_SECONDS)
        self._entry_counts_by_id: dict[str, tuple[int, int]] = {}
        self.limit_shares = LimitShares(
            clock=clock,
            own_id=peers.identity.vm_id,
            read_control_ids=lambda: frozenset(control_addresses()),
            read_entry_count=lambda: self.total_entries,
        )
        self.likely_entries = LikelyEntries(
            clock=clock, read_entry_count=lambda: self.total_entries
        )
        self.versions = KnownVersions(clock=clock)
        self._confirmation = VersionConfirmation(
            clock=clock,
            read_control_ids=lambda: self._control_addresses().keys(),
            poll=self._watch_all,
        )
        peers.register(RegistrationUpdate, self._receive_update)

    @property
    def capacities(self) -> list[ServiceCapacity]:
        """Return the capacity and load of each service in each region.

        A control VM only counts the endpoints that check in there, so the
        recent reports of all control VMs are added up.
        """
        since = self._clock.monotonic() - MAX_CAPACITY_AGE_SECONDS
        sums: dict[tuple[str, str], ServiceCapacity] = {}
        for source in self._sources_by_id.values():
            if source.received_at < since:
                continue
            for capacity in source.capacities:
                key = (capacity.region, capacity.service)
                sums[key] = add_capacities(sums.get(key), capacity)
        return list(sums.values())

    @property
    def region_entries(self) -> int:
        """Return how many entries may be alive here, at least one."""
        return max(
            [
                1,
                *(
                    in_region
                    for in_region, _ in self._entry_counts_by_id.values()
                ),
            ]
        )

    @property
    def total_entries(self) -> int:
        """Return how many entries may be alive anywhere, at least one."""
        return max(
            [1, *(total for _, total in self._entry_counts_by_id.values())]
        )

    def has_recent_update(self, seconds: float) -> bool:
        """Return whether a control VM sent an update in the last seconds."""
        since = self._clock.monotonic() - seconds
        return any(
            s.received_at >= since for s in self._sources_by_id.values()
        )

    def hears_majority(self) -> bool:
        """Return whether most control VMs have told their versions lately.

        A version that appeared since may be unknown; ``confirm_versions``
        rules that out.
        """
        since = self._clock.monotonic() - liveness_timeout(self.total_entries)
        control_ids = self._control_addresses().keys()
        heard = sum(
            source.received_at >= since and source.are_versions_complete
            for vm_id, source in self._sources_by_id.items()
            if vm_id in control_ids
        )
        return heard * 2 > len(control_ids)

    @property
    def moved_to(self) -> frozenset[str]:
        """Return the services that routes moved to lately.

        A stream on such a route may have begun at another service.
        """
        since = self._clock.monotonic() - MEMORY_SECONDS
        return frozenset(
            service
            for source in self._sources_by_id.values()
            if source.received_at >= since
            for service in source.moved_to
        )

    async def confirm_versions(self, seconds: float) -> bool:
        """Learn of what may have begun a stream before this call.

        That is each version that was established, and each service that a
        route moved to.

        :param seconds: how long at most
        :returns: whether a majority of control VMs has replied, which have
            the revision of the configuration that this entry has
        """
        return await self._confirmation.confirm(seconds)

    def report_limits(self) -> None:
        """Report limits at once to the control VMs that don't know them."""
        for vm_id, address in self._control_addresses().items():
            source = self._sources_by_id.get(vm_id)
            if source is not None and self._list_unknown_limits(source):
                self._watch(vm_id, address, None, is_acknowledgement=True)

    def record_drain(self, endpoint_id: str) -> bool:
        """Record that an endpoint announced to drain to this entry.

        The control VMs are told at once.

        :returns: whether it was not known before
        """
        if not self._drains.add(endpoint_id, self._clock.monotonic()):
            return False
        self._merge(endpoint_id)
        self._notify_listeners()
        for vm_id, address in self._control_addresses().items():
            source = self._sources_by_id.get(vm_id)
            if source is not None and endpoint_id in source.endpoints_by_id:
                self._watch(vm_id, address, None, is_acknowledgement=True)
        return True

    def drop(self, endpoint_id: str) -> None:
        """Remove an incarnation of an endpoint that was replaced."""
        known = self.endpoints_by_id.get(endpoint_id)
        name = known.reported_id if known is not None else endpoint_id
        self._end_incarnation(endpoint_id, name, self._clock.monotonic())
        self._notify_listeners()

    async def run(self) -> None:
        """Poll every control VM until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._poll())
            group.create_task(self._share_crashes())
            group.create_task(self._confirmation.run())

    async def _share_crashes(self) -> None:
        """Report crashes that control VMs don't know, without a poll."""
        while True:
            await self._crash_exchange.wait_until_due()
            for vm_id, address in self._control_addresses().items():
                if self._crash_exchange.list_unknown(vm_id):
                    self._watch(vm_id, address, None, is_acknowledgement=True)

    async def _poll(self) -> None:
        while True:
            report = self.read_report()
            self._watch_all(report)
            self._prune()
            await self._clock.sleep(self._poll_delay(report))

    def _watch_all(self, report: LoadById | None = None) -> None:
        for vm_id, address in self._control_addresses().items():
            self._watch(vm_id, address, report)

    def _poll_delay(self, report: LoadById | None) -> float:
        """Return the seconds until control VMs are polled again.

        An entry that reports the load of others polls at the shortest
        interval. Otherwise the interval grows with the number of entries.
        """
        if report is not None:
            return MIN_WATCH_INTERVAL_SECONDS
        # Jitter spreads the polls of entries that started simultaneously.
        jitter = self._rng.uniform(
            1 - WATCH_JITTER_FRACTION, 1 + WATCH_JITTER_FRACTION
        )
        return watch_interval(self.total_entries) * jitter

    def _watch(
        self,
        vm_id: str,
        address: str,
        report: LoadById | None,
        *,
        is_acknowledgement: bool = False,
    ) -> None:
        source = self._sources_by_id.setdefault(vm_id, ControlSource())
        message = Watch(
            region=self._peers.identity.region,
            epoch=source.epoch,
            serial=source.serial,
            load_by_id=report,
            is_acknowledgement=is_acknowledgement,
            limits=self._list_unknown_limits(source),
            sent_at_ms=int(self._clock.monotonic() * 1000),
            roster_version=source.roster_version,
            drains=self._drains.list_unknown(source.endpoints_by_id),
            crashes=self._crash_exchange.list_unknown(vm_id),
            crash_serial=self._crash_exchange.serial_of(vm_id),
            version_serial=source.version_serial,
        )
        self._peers.send(address, message)

    def _list_unknown_limits(self, source: ControlSource) -> list[LimitNotice]:
        return list_unknown_limits(
            source.endpoints_by_id,
            self._limits_by_id,
            self.read_limits(),
            self._clock.monotonic(),
        )

    async def _receive_update(
        self, sender: Sender, message: RegistrationUpdate
    ) -> Message | None:
        source = self._sources_by_id.setdefault(sender.vm_id, ControlSource())
        now = self._clock.monotonic()
        if message.epoch < source.epoch and not self._is_silent(source, now):
            return None
        if message.epoch != source.epoch:
            self._log_restart(sender, source, message.epoch)
            source.begin_epoch(message.epoch, now + STALE_GRACE_SECONDS)
            self._crash_exchange.begin_epoch(sender.vm_id)
        source.received_at = now
        self._on_revision(sender.address, message.revision)
        self._entry_counts_by_id[sender.vm_id] = (
            message.region_entries,
            message.total_entries,
        )
        self._receive_roster(sender.vm_id, source, message)
        self._crash_exchange.receive(
            sender.vm_id,
            message.crashes,
            base=message.crash_base,
            serial=message.crash_serial,
        )
        self._receive_versions(sender.vm_id, source, message)
        if message.capacities is not None:
            source.capacities = message.capacities
        if message.base_serial <= source.serial <= message.serial:
            source.serial = message.serial
        for registration in message.registrations:
            self._apply(source, registration, now)
        if message.registrations:
            self._watch(
                sender.vm_id, sender.address, None, is_acknowledgement=True
            )
            self._notify_listeners()
        return None

    def _log_restart(
        self, sender: Sender, source: ControlSource, epoch: int
    ) -> None:
        if source.epoch:
            log_decision(
                "control_vm.restarted",
                about_vm=sender.vm_id,
                epoch=epoch,
                former_epoch=source.epoch,
            )

    def _is_silent(self, source: ControlSource, now: float) -> bool:
        """Return whether a control VM's known incarnation must have ended.

        A start after the clock was set back may have a lower number.
        """
        seconds = liveness_timeout(self.total_entries)
        return now - source.received_at > seconds

    def _receive_versions(
        self, vm_id: str, source: ControlSource, message: RegistrationUpdate
    ) -> None:
        if message.versions is not None:
            source.versions = message.versions
            source.version_serial = message.version_serial
            self.versions.set_reported(vm_id, source.versions)
        self.versions.record(source.versions)
        source.are_versions_complete = (
            message.are_versions_complete
            and source.version_serial == message.version_serial
        )
        source.moved_to = message.moved_to
        # Of two revisions, either may route a stream that the other doesn't.
        is_same_revision = message.revision == self._read_revision()
        if source.are_versions_complete and is_same_revision:
            self._confirmation.record(vm_id, message.watch_sent_at_ms)

    def _receive_roster(
        self, vm_id: str, source: ControlSource, message: RegistrationUpdate
    ) -> None:
        if message.roster_version == NO_ROSTER_VERSION:
            self.limit_shares.drop(vm_id)
            if message.entries:
                addresses = {e.vm_id: e.address for e in message.entries}
                self.likely_entries.record(vm_id, addresses)
        elif source.update_roster(message):
            self.likely_entries.record(vm_id, source.address_by_entry_id)
            confirmed_at = message.watch_sent_at_ms / 1000
            self.limit_shares.record(
                vm_id, source.address_by_entry_id, confirmed_at
            )

    def _apply(
        self, source: ControlSource, registration: Registration, now: float
    ) -> None:
        endpoint_id = registration.endpoint_id
        source.stale_until_by_id.pop(endpoint_id, None)
        if registration.state is RegistrationState.GONE:
            if self._is_elsewhere(registration):
                source.endpoints_by_id.pop(endpoint_id, None)
            else:
                self._apply_end(source, registration, now)
        elif registration.state is RegistrationState.EXPIRED:
            source.endpoints_by_id.pop(endpoint_id, None)
        elif self._ended.admits(registration, now):
            self._observe_incarnation(registration, now)
            if registration.is_drain_announced:
                self._drains.add(endpoint_id, now)
            source.endpoints_by_id[endpoint_id] = make_endpoint(
                registration, now
            )
        self._merge(endpoint_id)

    def _is_elsewhere(self, registration: Registration) -> bool:
        """Return whether the endpoint is known to be in another place.

        An end that a control VM was told without knowing the endpoint names
        no place.
        """
        known = self.endpoints_by_id.get(registration.endpoint_id)
        return (
            known is not None
            and not known.is_unreachable
            and bool(registration.address)
            and known.place
            != (
                registration.service,
                registration.address,
                registration.data_centre,
            )
        )

    def _apply_end(
        self, source: ControlSource, registration: Registration, now: float
    ) -> None:
        name = registration.reported_id
        self._ended.add(registration.endpoint_id, name, now)
        source.endpoints_by_id.pop(registration.endpoint_id, None)
        if registration.incarnation != UNKNOWN_INCARNATION:
            return
        # The control VM did not know which incarnation ended.
        incarnations = self._find_incarnations(name)
        if not incarnations:
            self._ended.add_unmatched(name, now)
        for endpoint in incarnations:
            self._end_incarnation(endpoint.endpoint_id, name, now)

    def _observe_incarnation(
        self, registration: Registration, now: float
    ) -> None:
        if not self._ended.observe(registration):
            return
        name = registration.reported_id
        for previous in self._find_incarnations(name):
            if previous.endpoint_id == registration.endpoint_id:
                continue
            self._end_incarnation(previous.endpoint_id, name, now)
            log_decision(
                "endpoint.restarted",
                endpoint_id=registration.endpoint_id,
                former_id=previous.endpoint_id,
                born=registration.incarnation,
                former_born=previous.incarnation,
            )
            for listener in self.restart_listeners:
                listener(previous.endpoint_id)

    def _find_incarnations(self, name: str) -> list[RegisteredEndpoint]:
        return [
            endpoint
            for endpoint in self.endpoints_by_id.values()
            if endpoint.reported_id == name
        ]

    def _end_incarnation(
        self, endpoint_id: str, name: str, now: float
    ) -> None:
        self._ended.add(endpoint_id, name, now)
        self._merge(endpoint_id)

    def _merge(self, endpoint_id: str) -> None:
        before = self.endpoints_by_id.pop(endpoint_id, None)
        copies = self._find_copies(endpoint_id)
        after = self._choose_copy(endpoint_id, copies, before)
        if after is not None:
            after = keep_newest_limit(before, after, copies)
            after = self._drains.apply(after)
            self.endpoints_by_id[endpoint_id] = after
        if after is not None and after.rate_limit is not None:
            self._limits_by_id[endpoint_id] = after.rate_limit
        else:
            self._limits_by_id.pop(endpoint_id, None)
        log_believed(before, after)
        log_slow_start(before, after, self._clock.monotonic())

    def _find_copies(self, endpoint_id: str) -> list[RegisteredEndpoint]:
        return [
            source.endpoints_by_id[endpoint_id]
            for source in self._sources_by_id.values()
            if endpoint_id in source.endpoints_by_id
        ]

    def _choose_copy(
        self,
        endpoint_id: str,
        copies: list[RegisteredEndpoint],
        before: RegisteredEndpoint | None,
    ) -> RegisteredEndpoint | None:
        """Return the current registration of an endpoint, None if gone.

        Copies that name another place than the one known before come from
        another writer. They don't count while any names the same.
        """
        if not copies or endpoint_id in self._ended:
            return None
        if before is not None:
            copies = [
                copy
                for copy in copies
                if copy.place == before.place and not copy.is_unreachable
            ] or copies
        # Unreachable at one control VM, it may check in at another.
        reachable = [
            copy for copy in copies if not copy.is_unreachable
        ] or copies
        draining = [copy for copy in copies if copy.is_draining]
        return max(draining or reachable, key=lambda copy: copy.sequence)

    def _prune(self) -> None:
        now = self._clock.monotonic()
        self._crashes.prune()
        self._crash_exchange.prune()
        self._drains.prune(self.endpoints_by_id, now)
        for source in self._sources_by_id.values():
            for endpoint_id, until in list(source.stale_until_by_id.items()):
                if now >= until:
                    del source.stale_until_by_id[endpoint_id]
                    source.endpoints_by_id.pop(endpoint_id, None)
                    self._merge(endpoint_id)
        self._forget_replaced(now)
        live_names = {e.reported_id for e in self.endpoints_by_id.values()}
        self._ended.prune(live_names, now)

    def _forget_replaced(self, now: float) -> None:
        """Forget what VMs reported that are no control VMs any more."""
        heard_since = now - liveness_timeout(self.total_entries)
        forgettable = self._replaced.list_forgettable(
            known=self._sources_by_id.keys(),
            current=self._control_addresses().keys(),
            heard=[
                vm_id
                for vm_id, source in self._sources_by_id.items()
                if source.received_at >= heard_since
            ],
            now=now,
        )
        for vm_id in forgettable:
            source = self._sources_by_id.pop(vm_id)
            self._entry_counts_by_id.pop(vm_id, None)
            self._crash_exchange.forget(vm_id)
            self.versions.forget(vm_id)
            for endpoint_id in source.endpoints_by_id:
                self._merge(endpoint_id)
            log_decision(
                "control_vm.forgotten",
                about_vm=vm_id,
                endpoints=len(source.endpoints_by_id),
                age=round(now - source.received_at, 3),
            )

    def _notify_listeners(self) -> None:
        for listener in self.listeners:
            listener()

"""The software versions that a control VM knows.

Each control VM learns versions from the endpoints that check in there, and
reports them to the others (see ``exchange``).
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from dataclasses import dataclass

from burdockdrum.ports import Clock
from burdockdrum.software_versions.model import key_of
from burdockdrum.software_versions.model import MEMORY_SECONDS
from burdockdrum.software_versions.model import ServiceVersion
from burdockdrum.software_versions.model import VersionKey
from burdockdrum.software_versions.model import VersionReport


@dataclass(frozen=True, kw_only=True)
class _Reported:
    stamp: tuple[int, int]
    keys: frozenset[VersionKey]


class VersionMemory:
    """The versions that a control VM knows; a change gets a new serial.

    A version that this VM reports is established once a quorum of control
    VMs stores the report; then each majority has a VM that knows it, unless
    one has forgotten what it stored. ``is_complete`` says that this VM hasn't.
    """

    def __init__(self, *, clock: Clock, is_shared: bool = False) -> None:
        """Create a memory without versions.

        :param is_shared: whether other control VMs have to store a version
            before it is established; otherwise it is at once
        """
        # An entry that knows nothing has the serial 0.
        self.serial = 1
        # Grows with each change that is kept over a restart.
        self.stored_serial = 0
        # Grows with each change of the own report.
        self.own_serial = 0
        self.is_complete = not is_shared
        # Called when entries have to know of a change at once.
        self.listeners: list[Callable[[], None]] = []
        # Called when the own report changes.
        self.report_listeners: list[Callable[[], None]] = []
        self._is_shared = is_shared
        self._clock = clock
        self._last_seen_by_key: dict[VersionKey, float] = {}
        self._own_last_seen_by_key: dict[VersionKey, float] = {}
        self._established: set[VersionKey] = set()
        self._reported_by_vm: dict[str, _Reported] = {}

    def observe(self, service: str, software_version: str) -> None:
        """Record that an endpoint that checks in here has a version."""
        self._observe_own((service, software_version), self._clock.monotonic())

    def establish(
        self, versions: Iterable[ServiceVersion]
    ) -> list[ServiceVersion]:
        """Record that a quorum stores own versions.

        :returns: those that were not established before
        """
        new = [
            known
            for known in versions
            if key_of(known) in self._own_last_seen_by_key
            and key_of(known) not in self._established
        ]
        if new:
            self._established |= {key_of(known) for known in new}
            self._record_change(is_urgent=True)
        return new

    def add_known(self, versions: Iterable[ServiceVersion]) -> None:
        """Add versions that another control VM has seen."""
        now = self._clock.monotonic()
        for known in versions:
            if known.age < MEMORY_SECONDS:
                self._observe(key_of(known), now - known.age)

    def apply_report(self, report: VersionReport) -> None:
        """Take up another control VM's report, or a copy of it.

        An older report than the known one removes nothing.
        """
        now = self._clock.monotonic()
        known = self._reported_by_vm.get(report.vm_id)
        stamp, keys = report.stamp, report.keys
        if known is not None and stamp <= known.stamp:
            stamp, keys = known.stamp, known.keys | keys
        merged = _Reported(stamp=stamp, keys=keys)
        if merged != known:
            self._reported_by_vm[report.vm_id] = merged
            self.stored_serial += 1
        for key in keys:
            self._observe(key, now)

    def complete(self) -> None:
        """Record that no established version is missing any more."""
        if not self.is_complete:
            self.is_complete = True
            self._record_change(is_urgent=True)

    def restore(
        self,
        versions: Iterable[ServiceVersion],
        own: Iterable[ServiceVersion],
        reports: Iterable[VersionReport],
    ) -> None:
        """Add what was known before a restart.

        :param versions: all versions that were known
        :param own: those of endpoints that checked in here
        :param reports: those of other control VMs
        """
        now = self._clock.monotonic()
        for report in reports:
            self.apply_report(report)
        self.add_known(versions)
        for known in own:
            if known.age < MEMORY_SECONDS:
                self._observe_own(key_of(known), now - known.age)
                if known.is_established:
                    self._established.add(key_of(known))

    def prune(self, current: Collection[VersionKey]) -> None:
        """Forget versions that no endpoint has had for long.

        What a control VM reported counts as present until it reports
        otherwise: while it isn't heard, its endpoints may still serve.

        :param current: the services and versions of the endpoints that check
            in here
        """
        now = self._clock.monotonic()
        for key in current:
            self._observe_own(key, now)
        for reported in self._reported_by_vm.values():
            for key in reported.keys:
                self._observe(key, now)
        for key in _list_expired(self._own_last_seen_by_key, now):
            del self._own_last_seen_by_key[key]
            self._established.discard(key)
            self._change_report()
        for key in _list_expired(self._last_seen_by_key, now):
            del self._last_seen_by_key[key]
            self._record_change(is_urgent=False)

    def retain_reporters(self, vm_ids: Collection[str]) -> None:
        """Drop the reports of VMs that are no control VMs any more."""
        for vm_id in self._reported_by_vm.keys() - set(vm_ids):
            del self._reported_by_vm[vm_id]
            self.stored_serial += 1

    def list_known(self) -> list[ServiceVersion]:
        """Return the versions, with the time since they were last seen."""
        return self._list(self._last_seen_by_key)

    def list_own(self) -> list[ServiceVersion]:
        """Return the versions of endpoints that check in here."""
        return self._list(self._own_last_seen_by_key)

    def list_reports(self) -> list[VersionReport]:
        """Return the reports of other control VMs."""
        return [
            VersionReport(
                vm_id,
                *reported.stamp,
                [ServiceVersion(*key) for key in sorted(reported.keys)],
            )
            for vm_id, reported in self._reported_by_vm.items()
        ]

    def _list(
        self, last_seen_by_key: dict[VersionKey, float]
    ) -> list[ServiceVersion]:
        now = self._clock.monotonic()
        return [
            ServiceVersion(
                *key,
                now - seen_at,
                is_established=key in self._established,
            )
            for key, seen_at in last_seen_by_key.items()
        ]

    def _observe_own(self, key: VersionKey, seen_at: float) -> None:
        known = self._own_last_seen_by_key.get(key)
        self._own_last_seen_by_key[key] = max(seen_at, known or seen_at)
        if known is None:
            if not self._is_shared:
                self._established.add(key)
            self._change_report()
        self._observe(key, seen_at)

    def _observe(self, key: VersionKey, seen_at: float) -> None:
        known = self._last_seen_by_key.get(key)
        self._last_seen_by_key[key] = max(seen_at, known or seen_at)
        if known is None:
            self._record_change(is_urgent=True)

    def _change_report(self) -> None:
        self.own_serial += 1
        self.stored_serial += 1
        for listener in self.report_listeners:
            listener()

    def _record_change(self, *, is_urgent: bool) -> None:
        self.serial += 1
        self.stored_serial += 1
        if is_urgent:
            for listener in self.listeners:
                listener()


def _list_expired(
    last_seen_by_key: dict[VersionKey, float], now: float
) -> list[VersionKey]:
    return [
        key
        for key, seen_at in last_seen_by_key.items()
        if now - seen_at > MEMORY_SECONDS
    ]

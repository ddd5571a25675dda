"""The software versions that an entry knows."""

from collections.abc import Iterable

from burdockdrum.ports import Clock
from burdockdrum.software_versions.model import key_of
from burdockdrum.software_versions.model import MEMORY_SECONDS
from burdockdrum.software_versions.model import ServiceVersion
from burdockdrum.software_versions.model import VersionKey


class KnownVersions:
    """The versions that an entry knows from all control VMs."""

    def __init__(self, *, clock: Clock) -> None:
        """Create it without versions."""
        self._clock = clock
        self._last_seen_by_service: dict[str, dict[str, float]] = {}
        self._established_by_vm: dict[str, frozenset[VersionKey]] = {}
        self._established: frozenset[VersionKey] = frozenset()

    def is_established(self, service: str, software_version: str) -> bool:
        """Return whether a quorum of control VMs knows a version."""
        return (service, software_version) in self._established

    def set_reported(
        self, vm_id: str, versions: Iterable[ServiceVersion]
    ) -> None:
        """Set what one control VM says."""
        self._established_by_vm[vm_id] = frozenset(
            key_of(known) for known in versions if known.is_established
        )
        self._merge_established()

    def forget(self, vm_id: str) -> None:
        """Forget what a VM said that is no control VM any more."""
        self._established_by_vm.pop(vm_id, None)
        self._merge_established()

    def _merge_established(self) -> None:
        self._established = frozenset().union(
            *self._established_by_vm.values()
        )

    def record(self, versions: Iterable[ServiceVersion]) -> None:
        """Record what a control VM knows now."""
        now = self._clock.monotonic()
        for known in versions:
            last_seen = self._last_seen_by_service.setdefault(
                known.service, {}
            )
            last_seen[known.software_version] = now

    def versions_of(self, service: str) -> list[str]:
        """Return the versions that a service has or had lately."""
        last_seen = self._last_seen_by_service.get(service, {})
        since = self._clock.monotonic() - MEMORY_SECONDS
        for version in [v for v, at in last_seen.items() if at < since]:
            del last_seen[version]
        return sorted(last_seen)

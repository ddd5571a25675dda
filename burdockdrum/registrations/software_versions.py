"""The software versions of services, also of endpoints that are gone.

A stream that began at a version may be taken up after the last endpoint of
that version has ended, and must not be mistaken for one of another version.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable

from burdockdrum.ports import Clock
from burdockdrum.registrations.messages import ServiceVersion

# How long a version is remembered after its last endpoint has ended. By then
# its callers have taken up the streams that broke off, or given up.
MEMORY_SECONDS = 60.0


class VersionMemory:
    """The versions that a control VM knows; a change gets a new serial."""

    def __init__(self, *, clock: Clock) -> None:
        """Create a memory without versions."""
        # An entry that knows nothing has the serial 0.
        self.serial = 1
        # Called when a version becomes known.
        self.listeners: list[Callable[[], None]] = []
        self._clock = clock
        self._last_seen_by_key: dict[tuple[str, str], float] = {}

    def observe(self, service: str, software_version: str) -> None:
        """Record that an endpoint has a version."""
        self._observe((service, software_version), self._clock.monotonic())

    def restore(self, versions: Iterable[ServiceVersion]) -> None:
        """Add what was known before a restart."""
        now = self._clock.monotonic()
        for known in versions:
            if known.age < MEMORY_SECONDS:
                self._observe(
                    (known.service, known.software_version), now - known.age
                )

    def prune(self, current: Collection[tuple[str, str]]) -> None:
        """Forget versions that no endpoint has had for long.

        :param current: the services and versions that endpoints have now
        """
        now = self._clock.monotonic()
        for key in current:
            self._observe(key, now)
        expired = [
            key
            for key, seen_at in self._last_seen_by_key.items()
            if now - seen_at > MEMORY_SECONDS
        ]
        for key in expired:
            del self._last_seen_by_key[key]
            self.serial += 1

    def list_known(self) -> list[ServiceVersion]:
        """Return the versions, with the time since they were last seen."""
        now = self._clock.monotonic()
        return [
            ServiceVersion(service, version, now - seen_at)
            for (service, version), seen_at in self._last_seen_by_key.items()
        ]

    def _observe(self, key: tuple[str, str], seen_at: float) -> None:
        known = self._last_seen_by_key.get(key)
        if known is None:
            self._last_seen_by_key[key] = seen_at
            self.serial += 1
            for listener in self.listeners:
                listener()
        else:
            self._last_seen_by_key[key] = max(known, seen_at)


class KnownVersions:
    """The versions that an entry knows from all control VMs."""

    def __init__(self, *, clock: Clock) -> None:
        """Create it without versions."""
        self._clock = clock
        self._last_seen_by_service: dict[str, dict[str, float]] = {}

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

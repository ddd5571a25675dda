"""The entries of each region that a control VM has heard recently.

Entries divide the rate limits of endpoints by these rosters; see
``limit_shares``.
"""

from dataclasses import dataclass
from dataclasses import field

from burdockdrum.ports import Clock
from burdockdrum.registrations.messages import RosterEntry
from burdockdrum.registrations.pacing import roster_memory_seconds
from burdockdrum.registrations.pacing import watch_interval
from burdockdrum.registrations.pacing import WATCH_JITTER_FRACTION

NO_ROSTER_VERSION = 0


@dataclass(frozen=True, kw_only=True)
class Roster:
    """The entries of a region; the version changes with them."""

    version: int
    entries: tuple[RosterEntry, ...] = ()


NO_ROSTER = Roster(version=NO_ROSTER_VERSION)


@dataclass(kw_only=True)
class _Region:
    heard_at_by_id: dict[str, float] = field(default_factory=dict)
    address_by_id: dict[str, str] = field(default_factory=dict)
    roster: Roster = NO_ROSTER
    is_outdated: bool = True
    expires_at: float = float("-inf")


class EntryRosters:
    """The rosters of one control VM."""

    def __init__(self, *, clock: Clock) -> None:
        """Create empty rosters."""
        self._clock = clock
        self._started_at = clock.monotonic()
        self._version = NO_ROSTER_VERSION
        self._regions_by_name: dict[str, _Region] = {}

    def record(self, entry_id: str, address: str, region_name: str) -> None:
        """Record a message of an entry."""
        region = self._regions_by_name.setdefault(region_name, _Region())
        if region.address_by_id.get(entry_id) != address:
            region.address_by_id[entry_id] = address
            region.is_outdated = True
        region.heard_at_by_id[entry_id] = self._clock.monotonic()

    def read(self, region_name: str) -> Roster:
        """Return the roster of a region.

        There is none until this control VM has run for as long as it
        remembers entries: it may have forgotten some by its restart.
        """
        now = self._clock.monotonic()
        memory = roster_memory_seconds(self._count_entries())
        if now - self._started_at < memory:
            return NO_ROSTER
        region = self._regions_by_name.get(region_name)
        if region is None:
            return NO_ROSTER
        if region.is_outdated or now >= region.expires_at:
            self._update(region, now, memory)
        return region.roster

    def read_likely(self, region_name: str) -> tuple[RosterEntry, ...]:
        """Return the entries of a region that were heard, perhaps not all.

        None until each had the time for a poll.
        """
        ran = self._clock.monotonic() - self._started_at
        slowest = watch_interval(self._count_entries())
        region = self._regions_by_name.get(region_name)
        if region is None or ran < slowest * (1 + WATCH_JITTER_FRACTION):
            return ()
        return tuple(
            RosterEntry(vm_id, address)
            for vm_id, address in sorted(region.address_by_id.items())
        )

    def _update(self, region: _Region, now: float, memory: float) -> None:
        region.heard_at_by_id = {
            entry_id: heard_at
            for entry_id, heard_at in region.heard_at_by_id.items()
            if now - heard_at < memory
        }
        region.address_by_id = {
            entry_id: region.address_by_id[entry_id]
            for entry_id in region.heard_at_by_id
        }
        region.is_outdated = False
        oldest = min(region.heard_at_by_id.values(), default=now)
        region.expires_at = oldest + memory
        entries = tuple(
            RosterEntry(vm_id, address)
            for vm_id, address in sorted(region.address_by_id.items())
        )
        if entries != region.roster.entries:
            self._version += 1
            region.roster = Roster(version=self._version, entries=entries)

    def _count_entries(self) -> int:
        return sum(
            len(region.heard_at_by_id)
            for region in self._regions_by_name.values()
        )

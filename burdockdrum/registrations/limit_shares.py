"""An entry's share of the rate limit of an endpoint.

A limit is divided among a few entries, the holders, chosen by rendezvous
hashing, as equal shares of all entries would be too small to be of use.
Entries with different views must not hold more shares than there are:

- Each control VM tells an entry the roster, the ids of all entries of the
  region that it heard recently. An entry uses the union of the rosters of a
  quorum of control VMs, which shares a control VM with any other quorum.
- A roster is valid for a limited time after the poll that it answers.
- An entry that becomes a holder waits until every other entry has either
  learned of it or lost its own rosters.
"""

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass

from burdockdrum.logs import log_decision
from burdockdrum.logs import log_failure
from burdockdrum.ports import Clock
from burdockdrum.registrations.pacing import hold_off_seconds
from burdockdrum.registrations.pacing import roster_lease_seconds
from burdockdrum.timeline import SuspensionDetector
from burdockdrum.vms import choose_by_hash

# More holders mean smaller shares, so that more requests for permits are
# denied by one holder while another has capacity.
MIN_SHARE_PER_SECOND = 5.0
MAX_CACHED_KEYS = 4096
# Less than what the hold-off exceeds the lease of a roster by.
MAX_WALL_CLOCK_JUMP_SECONDS = 0.3
# Floor of a limit: an endpoint that gets no requests can't withdraw it.
MIN_LIMIT_PER_SECOND = 0.01


@dataclass(frozen=True, kw_only=True)
class _Roster:
    address_by_id: Mapping[str, str]
    confirmed_at: float


@dataclass(frozen=True, kw_only=True)
class _Period:
    """From when on a union of rosters was in use."""

    entry_ids: frozenset[str]
    since: float


class LimitShares:
    """The shares that this entry holds."""

    def __init__(
        self,
        *,
        clock: Clock,
        own_id: str,
        read_control_ids: Callable[[], frozenset[str]],
        read_entry_count: Callable[[], int],
    ) -> None:
        """Create the shares of an entry, which holds none at first.

        :param own_id: the id of this entry
        :param read_control_ids: returns the ids of all control VMs
        :param read_entry_count: returns the number of entries of all regions
        """
        self._clock = clock
        self._own_id = own_id
        self._read_control_ids = read_control_ids
        self._read_entry_count = read_entry_count
        self._suspension = SuspensionDetector(
            clock=clock, max_jump_seconds=MAX_WALL_CLOCK_JUMP_SECONDS
        )
        # Answers to polls that were sent before don't count.
        self._trusted_from = float("-inf")
        self._rosters_by_control_id: dict[str, _Roster] = {}
        self._periods: list[_Period] = []
        self._valid_until = float("-inf")
        self._is_changed = False
        self._is_holder_by_key: dict[tuple[str, int], bool] = {}
        self._is_chosen_by_key: dict[tuple[str, int], bool] = {}

    @property
    def entry_count(self) -> int:
        """Return how many entries share limits, 0 if that is unknown."""
        self._refresh()
        return len(self._periods[-1].entry_ids) if self._periods else 0

    @property
    def age_seconds(self) -> float | None:
        """Return the age of the entry count, None if it is unknown."""
        self._refresh()
        if not self._periods:
            return None
        confirmed_at = self._valid_until - self._lease_seconds
        return self._clock.monotonic() - confirmed_at

    def record(
        self,
        control_id: str,
        address_by_id: Mapping[str, str],
        confirmed_at: float,
    ) -> None:
        """Record a control VM's roster.

        :param address_by_id: the addresses of the entries
        :param confirmed_at: when the poll that it answers was sent
        """
        self._refresh()
        known = self._rosters_by_control_id.get(control_id)
        if known is not None and known.confirmed_at > confirmed_at:
            return
        self._rosters_by_control_id[control_id] = _Roster(
            address_by_id=address_by_id, confirmed_at=confirmed_at
        )
        self._is_changed = True
        self._refresh()

    def drop(self, control_id: str) -> None:
        """Remove the roster of a control VM that has none to give."""
        if self._rosters_by_control_id.pop(control_id, None) is not None:
            self._is_changed = True
            self._refresh()

    def share_of(self, endpoint_id: str, limit: float) -> float | None:
        """Return the requests per second that this entry may send.

        :param limit: the limit over all entries, in requests per second
        :returns: None if this entry holds no share of it
        """
        self._refresh()
        hold_off = hold_off_seconds(self._read_entry_count())
        begin = self._clock.monotonic() - hold_off
        if not self._periods or self._periods[0].since > begin:
            return None
        self._forget_periods_before(begin)
        holders = _count_holders(limit)
        if not self._is_holder(endpoint_id, holders):
            return None
        entries = len(self._periods[-1].entry_ids)
        return max(limit, MIN_LIMIT_PER_SECOND) / min(holders, entries)

    def is_chosen(self, key: str, number: int) -> bool | None:
        """Return whether this entry is one of a few that a key selects.

        Entries agree on them unless their rosters differ for a moment.

        :returns: None without recent rosters of a quorum of control VMs
        """
        self._refresh()
        if not self._periods:
            return None
        known = self._is_chosen_by_key.get((key, number))
        if known is None:
            entry_ids = self._periods[-1].entry_ids
            known = self._own_id in choose_by_hash(entry_ids, key, number)
            if len(self._is_chosen_by_key) >= MAX_CACHED_KEYS:
                self._is_chosen_by_key.clear()
            self._is_chosen_by_key[(key, number)] = known
        return known

    def other_holders(self, endpoint_id: str, limit: float) -> dict[str, str]:
        """Return the addresses of the other holders of a limit, by id."""
        self._refresh()
        if not self._periods:
            return {}
        address_by_id: dict[str, str] = {}
        for roster in self._rosters_by_control_id.values():
            address_by_id |= roster.address_by_id
        holders = choose_by_hash(
            self._periods[-1].entry_ids, endpoint_id, _count_holders(limit)
        )
        return {
            vm_id: address_by_id[vm_id]
            for vm_id in holders
            if vm_id != self._own_id and vm_id in address_by_id
        }

    def _is_holder(self, endpoint_id: str, holders: int) -> bool:
        """Return whether this entry was a holder during the whole hold-off."""
        key = (endpoint_id, holders)
        known = self._is_holder_by_key.get(key)
        if known is None:
            known = all(
                self._own_id
                in choose_by_hash(period.entry_ids, endpoint_id, holders)
                for period in self._periods
            )
            if len(self._is_holder_by_key) >= MAX_CACHED_KEYS:
                self._is_holder_by_key.clear()
            self._is_holder_by_key[key] = known
        return known

    def _refresh(self) -> None:
        """Update the union of the rosters after a change or its expiry."""
        now = self._clock.monotonic()
        if self._suspension.detect():
            self._trusted_from = now
            self._valid_until = float("-inf")
        if now > self._valid_until:
            self._set_periods([])
        elif not self._is_changed:
            return
        self._is_changed = False
        self._drop_invalid_rosters(now)
        rosters = self._rosters_by_control_id.values()
        quorum = len(self._read_control_ids()) // 2 + 1
        if len(rosters) < quorum:
            self._set_periods([])
            self._valid_until = float("-inf")
            return
        newest_first = sorted((r.confirmed_at for r in rosters), reverse=True)
        self._valid_until = newest_first[quorum - 1] + self._lease_seconds
        entry_ids = frozenset().union(*(r.address_by_id for r in rosters))
        if not self._periods or self._periods[-1].entry_ids != entry_ids:
            period = _Period(entry_ids=entry_ids, since=now)
            self._set_periods([*self._periods, period])

    def _drop_invalid_rosters(self, now: float) -> None:
        control_ids = self._read_control_ids()
        oldest = max(now - self._lease_seconds, self._trusted_from)
        self._rosters_by_control_id = {
            control_id: roster
            for control_id, roster in self._rosters_by_control_id.items()
            if control_id in control_ids
            and roster.confirmed_at >= oldest
            and self._own_id in roster.address_by_id
        }

    @property
    def _lease_seconds(self) -> float:
        return roster_lease_seconds(self._read_entry_count())

    def _forget_periods_before(self, begin: float) -> None:
        kept = self._periods
        while len(kept) > 1 and kept[1].since <= begin:
            kept = kept[1:]
        if len(kept) < len(self._periods):
            self._set_periods(kept)

    def _set_periods(self, periods: list[_Period]) -> None:
        if periods and periods[-1:] != self._periods[-1:]:
            log_decision(
                "limits.roster_changed",
                entries=len(periods[-1].entry_ids),
                control_vms=len(self._rosters_by_control_id),
            )
        elif self._periods and not periods:
            log_failure(
                "limits.rosters_lost",
                control_vms=len(self._rosters_by_control_id),
                reason="no recent rosters of a quorum of control VMs",
            )
        self._periods = periods
        self._is_holder_by_key = {}
        self._is_chosen_by_key = {}


def _count_holders(limit: float) -> int:
    return max(1, int(limit / MIN_SHARE_PER_SECOND))

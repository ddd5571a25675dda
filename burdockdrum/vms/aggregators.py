"""Selection of the aggregator: the entry VM that sums up all reports.

Each data centre has one. Entries send it their reports, and it exchanges the
sums with the aggregators of the other data centres.
"""

from collections.abc import Iterable

from burdockdrum.peers import VmIdentity
from burdockdrum.vms.remote import choose_by_hash

# Replies take milliseconds. An aggregator that misses this is dead or
# stalled, which membership detects only seconds later.
REPLY_TIMEOUT_SECONDS = 0.9
# By then membership has detected it, or the aggregator is back.
EXCLUSION_SECONDS = 6.0


class AggregatorSelector:
    """Chooses the aggregator by rendezvous hashing.

    All entries with the same view of the live entries choose the same one.
    Those that did not reply are excluded for a while.
    """

    def __init__(self, *, own: VmIdentity) -> None:
        """Create a selection for the data centre of a VM."""
        self._own = own
        self._excluded_until_by_id: dict[str, float] = {}
        self._queried_id: str | None = None
        self._queried_at = 0.0

    def choose(
        self, neighbours: list[VmIdentity], now: float, *, is_eligible: bool
    ) -> VmIdentity:
        """Return the aggregator among the entries of this data centre.

        :param neighbours: the other eligible entries
        :param is_eligible: whether this VM is eligible
        """
        self._exclude_unreachable(now)
        by_id = {entry.vm_id: entry for entry in neighbours}
        if is_eligible or not by_id:
            by_id[self._own.vm_id] = self._own
        ranked = choose_by_hash(by_id, self._own.data_centre, len(by_id))
        for vm_id in ranked:
            if self._excluded_until_by_id.get(vm_id, now) <= now:
                return by_id[vm_id]
        return by_id[ranked[0]]

    def record_report(self, vm_id: str, now: float) -> None:
        """Record a report that waits for its reply."""
        if self._queried_id != vm_id:
            self._queried_id, self._queried_at = vm_id, now

    def record_reply(self, vm_id: str) -> None:
        """Record a reply."""
        if self._queried_id == vm_id:
            self._queried_id = None
        self._excluded_until_by_id.pop(vm_id, None)

    def _exclude_unreachable(self, now: float) -> None:
        for vm_id, until in list(self._excluded_until_by_id.items()):
            if until <= now:
                del self._excluded_until_by_id[vm_id]
        queried_id = self._queried_id
        if (
            queried_id is not None
            and now - self._queried_at > REPLY_TIMEOUT_SECONDS
        ):
            self._excluded_until_by_id[queried_id] = now + EXCLUSION_SECONDS
            self._queried_id = None


class RemoteAggregators:
    """The addresses of the aggregators of other data centres."""

    def __init__(self, *, own: VmIdentity, keep_seconds: float) -> None:
        """Create an empty collection.

        :param keep_seconds: how long a known address is used
        """
        self._own = own
        self._keep_seconds = keep_seconds
        # The address, and when it was last received.
        self._known_by_data_centre: dict[str, tuple[str, float]] = {}

    def __len__(self) -> int:
        return len(self._known_by_data_centre)

    def record(self, data_centre: str, address: str, now: float) -> None:
        """Record the address of a data centre's aggregator."""
        self._known_by_data_centre[data_centre] = (address, now)

    def find_addresses(
        self, entries: Iterable[VmIdentity], now: float
    ) -> dict[str, str]:
        """Return an address for each other data centre.

        It is that of the aggregator if known, else of an entry that forwards
        to it.
        """
        entries_by_data_centre: dict[str, dict[str, VmIdentity]] = {}
        for entry in entries:
            if entry.data_centre != self._own.data_centre:
                by_id = entries_by_data_centre.setdefault(
                    entry.data_centre, {}
                )
                by_id[entry.vm_id] = entry
        return {
            name: self._find(name, by_id, now)
            for name, by_id in entries_by_data_centre.items()
        }

    def _find(
        self, data_centre: str, by_id: dict[str, VmIdentity], now: float
    ) -> str:
        known = self._known_by_data_centre.get(data_centre)
        if known is not None and now - known[1] <= self._keep_seconds:
            return known[0]
        [chosen] = choose_by_hash(by_id, self._own.data_centre, 1)
        return by_id[chosen].control_address

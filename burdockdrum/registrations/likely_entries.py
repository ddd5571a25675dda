"""The entries that probably run in this region, as control VMs last told.

Unlike the rosters that divide rate limits, no quorum confirms them: entries
may believe different lists for a moment, while some start or are cut off.
"""

from collections.abc import Callable
from collections.abc import Container
from collections.abc import Mapping

from burdockdrum.ports import Clock
from burdockdrum.registrations.pacing import roster_lease_seconds
from burdockdrum.vms import choose_by_hash

MAX_CACHED_KEYS = 4096


class LikelyEntries:
    """The union of the lists that control VMs sent lately.

    Without any of them, the last lists of all are used.
    """

    def __init__(
        self, *, clock: Clock, read_entry_count: Callable[[], int]
    ) -> None:
        """Create it without lists.

        :param read_entry_count: returns the number of entries of all regions
        """
        self._clock = clock
        self._read_entry_count = read_entry_count
        self._lists_by_control_id: dict[str, Mapping[str, str]] = {}
        self._received_at_by_control_id: dict[str, float] = {}
        self._address_by_id: dict[str, str] = {}
        self._order_by_key: dict[str, list[str]] = {}

    @property
    def address_by_id(self) -> Mapping[str, str]:
        """Return the addresses of the entries."""
        return self._address_by_id

    def record(
        self, control_id: str, address_by_id: Mapping[str, str]
    ) -> None:
        """Record the list that a control VM sent."""
        now = self._clock.monotonic()
        since = now - roster_lease_seconds(self._read_entry_count())
        self._lists_by_control_id[control_id] = address_by_id
        self._received_at_by_control_id[control_id] = now
        for other, at in list(self._received_at_by_control_id.items()):
            if at < since:
                del self._received_at_by_control_id[other]
                del self._lists_by_control_id[other]
        union: dict[str, str] = {}
        for known in self._lists_by_control_id.values():
            union |= known
        if union != self._address_by_id:
            self._address_by_id = union
            self._order_by_key.clear()

    def choose(self, key: str, excluded: Container[str]) -> str | None:
        """Return the id of the entry that a key selects.

        :param excluded: ids of entries that can't be reached
        :returns: None if no entry is known
        """
        order = self._order_by_key.get(key)
        if order is None:
            order = choose_by_hash(
                self._address_by_id, key, len(self._address_by_id)
            )
            if len(self._order_by_key) >= MAX_CACHED_KEYS:
                self._order_by_key.clear()
            self._order_by_key[key] = order
        return next((name for name in order if name not in excluded), None)

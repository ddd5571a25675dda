"""The entries that keep the origin of a stream, chosen by its key.

Rendezvous hashing (Thaler and Ravishankar, 1998) lets the entry that a caller
comes to find them, without knowing which entry served the stream before.
"""

from collections.abc import Callable
from collections.abc import Iterable

from burdockdrum.peers import VmIdentity
from burdockdrum.vms import choose_by_hash
from burdockdrum.vms import ENTRIES_PER_SUMMARY

# With a lost region, one of the entries elsewhere may be lost as well.
FAR_HOLDERS = 2
# Of each data centre that may keep an origin, this many entries are asked:
# the views of which entries are alive differ for a moment.
ASKED_PER_DATA_CENTRE = 2
# With so few entries all are asked.
MAX_ALL_ASKED = 8


class HolderSelector:
    """Chooses one other entry here, and one of each of two data centres."""

    def __init__(
        self,
        *,
        own: VmIdentity,
        read_entries: Callable[[], Iterable[VmIdentity]],
    ) -> None:
        """Create it for an entry.

        :param read_entries: returns the entries that are alive: all of this
            data centre, and some of each other one
        """
        self._own = own
        self._read_entries = read_entries

    def are_all_known_elsewhere(self) -> bool:
        """Return whether other data centres know all entries of this one."""
        here = [
            entry
            for entry in self._read_entries()
            if entry.data_centre == self._own.data_centre
        ]
        return len(here) <= ENTRIES_PER_SUMMARY

    def are_all_heard(self, data_centres: Iterable[str]) -> bool:
        """Return whether an entry of each of some data centres is known."""
        return self._data_centres() >= set(data_centres)

    def read_view(self) -> frozenset[tuple[str, int]]:
        """Return the entries, by id and incarnation, that may be chosen."""
        return frozenset(
            (entry.vm_id, entry.incarnation) for entry in self._read_entries()
        )

    def choose_near(self, key: bytes) -> VmIdentity | None:
        """Return the entry of this data centre that keeps an origin."""
        return _first(self._choose_in(self._own.data_centre, key, 1))

    def choose_far(self, key: bytes) -> list[VmIdentity]:
        """Return the entries of other data centres that keep an origin."""
        others = self._data_centres() - {self._own.data_centre}
        return [
            entry
            for name in choose_by_hash(others, key.hex(), FAR_HOLDERS)
            for entry in self._choose_in(name, key, 1)
        ]

    def choose_asked(self, key: bytes) -> list[VmIdentity]:
        """Return the entries that may keep an origin."""
        others = self._other_entries()
        if len(others) <= MAX_ALL_ASKED:
            return others
        # One more than keep it, as the stream may have begun in one of them.
        names = {
            self._own.data_centre,
            *choose_by_hash(self._data_centres(), key.hex(), FAR_HOLDERS + 1),
        }
        return [
            entry
            for name in sorted(names)
            for entry in self._choose_in(name, key, ASKED_PER_DATA_CENTRE)
        ]

    def _data_centres(self) -> set[str]:
        names = {entry.data_centre for entry in self._read_entries()}
        return names | {self._own.data_centre}

    def _other_entries(self) -> list[VmIdentity]:
        return [e for e in self._read_entries() if e.vm_id != self._own.vm_id]

    def _choose_in(
        self, data_centre: str, key: bytes, count: int
    ) -> list[VmIdentity]:
        entries_by_id = {
            entry.vm_id: entry
            for entry in self._other_entries()
            if entry.data_centre == data_centre
        }
        chosen = choose_by_hash(entries_by_id, key.hex(), count)
        return [entries_by_id[vm_id] for vm_id in chosen]


def _first(entries: list[VmIdentity]) -> VmIdentity | None:
    return entries[0] if entries else None

"""Which entry of a data centre sums up what all of them tell."""

from collections.abc import Iterable

from burdockdrum.peers import VmIdentity
from burdockdrum.vms.remote import choose_by_hash

# An answer comes within two milliseconds; two in a row that did not come are
# a keeper that is gone, or frozen. Membership notices it seconds later.
SILENT_SECONDS = 0.9
# By then membership has noticed, or the keeper is back.
SKIP_SECONDS = 6.0


class KeeperChoice:
    """The keeper by rendezvous hash, but for those that gave no answer.

    Every entry that knows the same entries names the same one.
    """

    def __init__(self, *, own: VmIdentity) -> None:
        """Choose for the data centre of a VM."""
        self._own = own
        self._skipped_until_by_id: dict[str, float] = {}
        self._asked_id: str | None = None
        self._asked_at = 0.0

    def choose(
        self, neighbours: list[VmIdentity], now: float, *, may_keep: bool
    ) -> VmIdentity:
        """Return the keeper among the entries of this data centre.

        :param neighbours: the others that others may choose
        :param may_keep: whether others may choose this VM
        """
        self._skip_silent(now)
        by_id = {entry.vm_id: entry for entry in neighbours}
        if may_keep or not by_id:
            by_id[self._own.vm_id] = self._own
        ranked = choose_by_hash(by_id, self._own.data_centre, len(by_id))
        for vm_id in ranked:
            if self._skipped_until_by_id.get(vm_id, now) <= now:
                return by_id[vm_id]
        return by_id[ranked[0]]

    def note_asked(self, vm_id: str, now: float) -> None:
        """Take note of a question that waits for its answer."""
        if self._asked_id != vm_id:
            self._asked_id, self._asked_at = vm_id, now

    def note_answer(self, vm_id: str) -> None:
        """Take note of an answer."""
        if self._asked_id == vm_id:
            self._asked_id = None
        self._skipped_until_by_id.pop(vm_id, None)

    def _skip_silent(self, now: float) -> None:
        for vm_id, until in list(self._skipped_until_by_id.items()):
            if until <= now:
                del self._skipped_until_by_id[vm_id]
        asked = self._asked_id
        if asked is not None and now - self._asked_at > SILENT_SECONDS:
            self._skipped_until_by_id[asked] = now + SKIP_SECONDS
            self._asked_id = None


class FarKeepers:
    """Where the keepers of other data centres are."""

    def __init__(self, *, own: VmIdentity, keep_seconds: float) -> None:
        """Know of none.

        :param keep_seconds: how long an address that was heard is used
        """
        self._own = own
        self._keep_seconds = keep_seconds
        # The address, and when it was heard.
        self._known_by_data_centre: dict[str, tuple[str, float]] = {}

    def __len__(self) -> int:
        return len(self._known_by_data_centre)

    def note(self, data_centre: str, address: str, now: float) -> None:
        """Take note of the keeper that a data centre has."""
        self._known_by_data_centre[data_centre] = (address, now)

    def find_all(
        self, entries: Iterable[VmIdentity], now: float
    ) -> dict[str, str]:
        """Return an address for each other data centre.

        It is its keeper's, or that of an entry which passes on to it.
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

"""The versioned records that a VM publishes, and copies of them."""

import collections
from dataclasses import dataclass

import msgspec

from burdockdrum.vms.messages import Changes
from burdockdrum.vms.messages import Record

# Number of drops stored, so that a peer that missed a few ticks gets only the
# changes. A peer that missed more gets the whole publication.
MAX_DROPPED = 512
NIL = msgspec.Raw(b"\xc0")

RecordKey = tuple[int, int]


@dataclass(frozen=True, slots=True)
class _Value:
    raw: msgspec.Raw
    changed_at: int


class Publication:
    """Records by topic and key, with the sequence of their last change.

    The owner increments the sequence at each tick, also without changes. This
    is its heartbeat (van Renesse, Minsky and Hayden, "A gossip-style failure
    detection service", 1998).
    """

    def __init__(self, *, vm_id: str, incarnation: int) -> None:
        """Create an empty publication."""
        self.vm_id = vm_id
        self.incarnation = incarnation
        self.sequence = 0
        self._values_by_key: dict[RecordKey, _Value] = {}
        self._dropped_at_by_key: collections.OrderedDict[RecordKey, int] = (
            collections.OrderedDict()
        )
        # Drops up to this sequence are no longer stored.
        self._horizon = 0
        self._pending: dict[RecordKey, msgspec.Raw | None] = {}

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._values_by_key)

    def get(self, topic: int, key: int) -> msgspec.Raw | None:
        """Return a value, or None if there is none."""
        value = self._values_by_key.get((topic, key))
        return value.raw if value else None

    def put(self, topic: int, key: int, raw: bytes) -> None:
        """Set a value with effect from the next sequence."""
        known = self._values_by_key.get((topic, key))
        if known is not None and bytes(known.raw) == raw:
            self._pending.pop((topic, key), None)
        else:
            self._pending[(topic, key)] = msgspec.Raw(raw)

    def drop(self, topic: int, key: int) -> None:
        """Remove a value with effect from the next sequence."""
        if (topic, key) in self._values_by_key:
            self._pending[(topic, key)] = None
        else:
            self._pending.pop((topic, key), None)

    def advance(self) -> Changes:
        """Begin the next sequence and return its changes."""
        since = self.sequence
        self.sequence += 1
        for key, raw in self._pending.items():
            if raw is None:
                self._remove(key, self.sequence)
            else:
                self._store(key, raw, self.sequence)
        records = [self._record(key) for key in sorted(self._pending)]
        self._pending.clear()
        return self._changes(since, False, records)

    def heartbeat(self) -> Changes:
        """Return the changes after the latest sequence, which are none."""
        return self.changes_since(self.sequence)

    def changes_since(self, sequence: int) -> Changes:
        """Return the changes after a sequence, or all records if too old."""
        if sequence < max(self._horizon, 1):
            return self._changes(0, True, self._all_records())
        keys = [
            key
            for key, value in self._values_by_key.items()
            if value.changed_at > sequence
        ]
        keys += [
            key
            for key, dropped_at in self._dropped_at_by_key.items()
            if dropped_at > sequence
        ]
        records = [self._record(key) for key in sorted(keys)]
        return self._changes(sequence, False, records)

    def apply(self, changes: Changes) -> list[Record] | None:
        """Apply changes of the owner to this copy.

        :returns: the records that changed, or None on a gap: nothing was
            applied, and the changes since ``sequence`` must be queried
        """
        if changes.sequence <= self.sequence:
            return []
        if not changes.full and changes.since > self.sequence:
            return None
        changed = []
        if changes.full:
            changed += self._drop_missing(changes)
        for record in changes.records:
            if self._apply_record(record, changes.sequence):
                changed.append(record)
        self.sequence = changes.sequence
        return changed

    def clear(self) -> list[Record]:
        """Remove all values and return the records of their drops."""
        keys = list(self._values_by_key)
        self._values_by_key.clear()
        return [Record(topic, key, NIL) for topic, key in keys]

    def _apply_record(self, record: Record, sequence: int) -> bool:
        key = (record.topic, record.key)
        if bytes(record.value) == bytes(NIL):
            # The drop of an unknown value is stored too: a third VM that has
            # the value may query this one.
            was_known = key in self._values_by_key
            self._remove(key, sequence)
            return was_known
        known = self._values_by_key.get(key)
        if known is not None and bytes(known.raw) == bytes(record.value):
            return False
        # Copied, as a view would keep the whole frame in memory.
        self._store(key, msgspec.Raw(bytes(record.value)), sequence)
        return True

    def _drop_missing(self, changes: Changes) -> list[Record]:
        kept = {(record.topic, record.key) for record in changes.records}
        missing = [key for key in self._values_by_key if key not in kept]
        for key in missing:
            self._remove(key, changes.sequence)
        # A full reply contains no earlier drops, so they are unknown here.
        self._horizon = changes.sequence
        return [Record(topic, key, NIL) for topic, key in missing]

    def _store(self, key: RecordKey, raw: msgspec.Raw, sequence: int) -> None:
        self._values_by_key[key] = _Value(raw, sequence)
        self._dropped_at_by_key.pop(key, None)

    def _remove(self, key: RecordKey, sequence: int) -> None:
        self._values_by_key.pop(key, None)
        self._dropped_at_by_key[key] = sequence
        if len(self._dropped_at_by_key) > MAX_DROPPED:
            _, self._horizon = self._dropped_at_by_key.popitem(last=False)

    def _record(self, key: RecordKey) -> Record:
        value = self._values_by_key.get(key)
        return Record(key[0], key[1], value.raw if value else NIL)

    def _all_records(self) -> list[Record]:
        return [
            Record(key[0], key[1], value.raw)
            for key, value in sorted(
                self._values_by_key.items(), key=lambda item: item[0]
            )
        ]

    def _changes(
        self, since: int, full: bool, records: list[Record]
    ) -> Changes:
        return Changes(
            vm_id=self.vm_id,
            incarnation=self.incarnation,
            since=since,
            sequence=self.sequence,
            full=full,
            records=records,
        )

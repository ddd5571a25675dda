"""Durable storage of the entries, the term and the vote.

Changes are visible in memory at once. A single writer task appends all
queued records as one frame and syncs once. Segments are append-only: an entry
replaces those at or after its index, also when the segments are read back.

What the disk refuses stays queued, and nothing of it counts as durable. After
a failed sync the kernel may drop the pages and report success next time, so
that the records are written anew, to another segment. A start can't know
whether the syncs of earlier processes failed, and writes anew what it read.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence

from burdockdrum.consensus.records import CorruptLog
from burdockdrum.consensus.records import Entry
from burdockdrum.consensus.records import HardState
from burdockdrum.consensus.records import Record
from burdockdrum.consensus.records import Reset
from burdockdrum.consensus.records import SegmentHeader
from burdockdrum.consensus.segments import SegmentFiles
from burdockdrum.consensus.signals import Signal
from burdockdrum.consensus.snapshot import Snapshot
from burdockdrum.logs import log_decision
from burdockdrum.logs import log_failure
from burdockdrum.ports import Clock
from burdockdrum.ports import Disk
from burdockdrum.ports import DiskError

_UNKNOWN_TERM = -1
# Until a write that the disk refused is repeated.
RETRY_SECONDS = 0.5


class Storage:
    """The durable log, term and vote of one member."""

    def __init__(
        self, *, disk: Disk, disk_id: str, segment_bytes: int, clock: Clock
    ) -> None:
        """Create the storage; ``open`` reads the data folder."""
        self._clock = clock
        self._segment_bytes = segment_bytes
        self._files = SegmentFiles(disk=disk, disk_id=disk_id)
        # Write anew what a start has read; empty once all of it is durable.
        self._rewrites: list[Callable[[], Awaitable[None]]] = []
        self._queue: list[Record] = []
        self._queued = asyncio.Event()
        self._waiters: list[asyncio.Future[None]] = []
        self._writing = False
        self._writing_up_to = 0
        self.term = 0
        self.voted_for: str | None = None
        self.base_index = 0
        self.base_term = 0
        self.entries: list[Entry] = []
        self.durable_index = 0
        # Why the disk refused the last write; None while it accepts them.
        self.refusal: str | None = None
        # Called with the reason when the disk begins to refuse writes.
        self.on_refused: Callable[[str], None] = _ignore
        self._refused_at = 0.0
        self.synced = Signal()

    @property
    def last_index(self) -> int:
        """Return the index of the last entry, synced or not."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def disk_bytes(self) -> int:
        """Return the size of all segments in bytes."""
        return self._files.disk_bytes

    @property
    def torn_bytes(self) -> int:
        """Return the size in bytes of the tail that was torn at the start."""
        return self._files.torn_bytes

    @property
    def _hard_state(self) -> HardState:
        return HardState(self.term, self.voted_for)

    @property
    def has_unsynced(self) -> bool:
        """Return whether a change is not durable yet."""
        return bool(self._queue or self._rewrites) or self._writing

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if it is not stored."""
        if index == self.base_index:
            return None if self.base_term == _UNKNOWN_TERM else self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def entry(self, index: int) -> Entry:
        """Return a stored entry."""
        return self.entries[index - self.base_index - 1]

    def read_from(self, index: int, max_bytes: int) -> list[Entry]:
        """Return entries from an index on, at least one if there is any."""
        found: list[Entry] = []
        size = 0
        for entry in self.entries[index - self.base_index - 1 :]:
            size += len(entry.data)
            if found and size > max_bytes:
                break
            found.append(entry)
        return found

    def set_hard_state(self, term: int, voted_for: str | None) -> None:
        """Set term and vote; durable after ``sync``."""
        if (term, voted_for) != (self.term, self.voted_for):
            self.term = term
            self.voted_for = voted_for
            self._enqueue(self._hard_state)

    def append(self, entry: Entry) -> None:
        """Append an entry, replacing those at or after its index."""
        self._append_in_memory(entry)
        self._enqueue(entry)

    def reset(self, index: int, term: int) -> None:
        """Replace all entries by a synced snapshot."""
        self._reset_in_memory(Reset(index, term))
        self.durable_index = index
        self._writing_up_to = 0
        self._enqueue(Reset(index, term))

    async def sync(self) -> None:
        """Wait until every change so far is durable."""
        if not self.has_unsynced:
            return
        waiter: asyncio.Future[None] = asyncio.Future()
        self._waiters.append(waiter)
        # Wakes the writer even if the records are already being written.
        self._queued.set()
        await waiter

    async def run(self) -> None:
        """Write queued records until cancelled."""
        while True:
            await self._queued.wait()
            self._queued.clear()
            await self._write_queue()
            if self.refusal is not None:
                await self._clock.sleep(RETRY_SECONDS)
                self._queued.set()

    async def open(
        self,
        snapshot: Snapshot | None,
        *,
        rewrites: Sequence[Callable[[], Awaitable[None]]],
    ) -> None:
        """Read the segments back.

        Nothing counts as durable until ``run`` has written anew what was
        read: the last segment, and what ``rewrites`` write.

        :param rewrites: write anew what else was read
        :raises DiskError: if the segments can't be read
        :raises CorruptLog: if synced data is missing or damaged
        """
        for read in await self._files.read():
            for record in read.records:
                self._replay(record)
        if snapshot is not None:
            self._reconcile_snapshot(snapshot)
        elif self.base_index > 0:
            raise CorruptLog("entries were compacted but no snapshot is left")
        self._rewrites = [*rewrites, self._write_read_back]
        self._queued.set()

    async def compact(self, index: int) -> None:
        """Remove entries up to an index that a synced snapshot covers.

        :raises DiskError: if a segment can't be removed; the next call
            repeats it
        """
        term = self.term_at(index)
        if term is not None:
            del self.entries[: index - self.base_index]
            self.base_index = index
            self.base_term = term
        await self._files.remove_covered(self.base_index)

    def _enqueue(self, record: Record) -> None:
        self._queue.append(record)
        self._queued.set()

    def _append_in_memory(self, entry: Entry) -> None:
        kept = entry.index - self.base_index - 1
        if kept > len(self.entries):
            raise CorruptLog(
                f"entry {entry.index} follows entry {self.last_index}"
            )
        if kept < 0:
            raise CorruptLog(f"entry {entry.index} is already compacted")
        if kept < len(self.entries):
            del self.entries[kept:]
            self.durable_index = min(self.durable_index, entry.index - 1)
            self._writing_up_to = min(self._writing_up_to, entry.index - 1)
        self.entries.append(entry)

    def _reset_in_memory(self, record: Reset) -> None:
        self.entries.clear()
        self.base_index = record.index
        self.base_term = record.term

    async def _write_queue(self) -> None:
        """Write all queued records; they stay queued if the disk refuses."""
        records = self._queue
        waiters = self._waiters
        self._queue = []
        self._waiters = []
        self._writing_up_to = self.last_index
        self._writing = True
        try:
            await self._write_anew()
            if records:
                await self._write(records)
        except DiskError as error:
            self._queue[:0] = records
            self._waiters[:0] = waiters
            self._writing = False
            self._record_refusal(str(error))
            return
        self._writing = False
        self._record_success()
        self.durable_index = max(self.durable_index, self._writing_up_to)
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)
        self.synced.fire()

    def _record_refusal(self, reason: str) -> None:
        is_first = self.refusal is None
        self.refusal = reason
        if is_first:
            self._refused_at = self._clock.monotonic()
            log_failure("log.disk_refuses", reason=reason)
            self.on_refused(reason)

    def _record_success(self) -> None:
        if self.refusal is not None:
            self.refusal = None
            log_decision(
                "log.disk_accepts",
                seconds=round(self._clock.monotonic() - self._refused_at, 3),
            )

    async def _write_anew(self) -> None:
        while self._rewrites:
            await self._rewrites[0]()
            del self._rewrites[0]

    async def _write_read_back(self) -> None:
        await self._files.write_read_back(self._hard_state)

    async def _write(self, records: list[Record]) -> None:
        last = self._files.last
        is_full = last is not None and last.size > self._segment_bytes
        if is_full or not await self._files.append(records):
            await self._files.add(records, self._hard_state)

    def _replay(self, record: Record) -> None:
        match record:
            case Entry():
                self._rebase_if_first(record)
                self._append_in_memory(record)
            case HardState(term=term, voted_for=voted_for):
                self.term = term
                self.voted_for = voted_for
            case Reset():
                self._reset_in_memory(record)
            case SegmentHeader():
                pass

    def _rebase_if_first(self, entry: Entry) -> None:
        """Set the base index by the first entry left by compaction.

        Also by an entry that replaces this first one.
        """
        is_first = not self.entries and self.base_index == 0
        replaces_first = entry.index <= self.base_index
        if is_first or (replaces_first and self.base_term == _UNKNOWN_TERM):
            self.entries.clear()
            self.base_index = entry.index - 1
            self.base_term = _UNKNOWN_TERM if entry.index > 1 else 0

    def _reconcile_snapshot(self, snapshot: Snapshot) -> None:
        if self.base_index > snapshot.index:
            raise CorruptLog(
                f"the log begins after entry {self.base_index}, but the "
                f"newest snapshot ends at {snapshot.index}"
            )
        if self.base_index == snapshot.index:
            self.base_term = snapshot.term
        elif self.term_at(snapshot.index) != snapshot.term:
            # A crash came between installing a snapshot and its reset record.
            self._reset_in_memory(Reset(snapshot.index, snapshot.term))
            self._queue.append(Reset(snapshot.index, snapshot.term))
            self._queued.set()


def _ignore(reason: str) -> None:
    """Ignore a refusal while no callback is set."""

"""Durable storage of the entries, the term and the vote.

Changes are visible in memory at once. A single writer task appends all
queued records as one frame and syncs once. Segments are append-only, except
that a tail torn by a power loss is truncated: an entry replaces those at or
after its index, also when the segments are read back.

What the disk refuses stays queued, and nothing of it counts as durable. After
a failed sync the kernel may drop the pages and report success next time, so
that the records are written anew, to another segment.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from burdockdrum.consensus.records import CorruptLog
from burdockdrum.consensus.records import decode_records
from burdockdrum.consensus.records import encode_records
from burdockdrum.consensus.records import Entry
from burdockdrum.consensus.records import FORMAT_VERSION
from burdockdrum.consensus.records import HardState
from burdockdrum.consensus.records import Record
from burdockdrum.consensus.records import Reset
from burdockdrum.consensus.records import SegmentHeader
from burdockdrum.consensus.signals import Signal
from burdockdrum.consensus.snapshot import Snapshot
from burdockdrum.logs import log_decision
from burdockdrum.logs import log_failure
from burdockdrum.ports import Clock
from burdockdrum.ports import Disk
from burdockdrum.ports import DiskError

_PREFIX = "log-"
_UNKNOWN_TERM = -1
# Until a write that the disk refused is repeated.
RETRY_SECONDS = 0.5


@dataclass(kw_only=True)
class Segment:
    """One file of the log; ``last_index`` is its highest entry index."""

    name: str
    number: int
    size: int
    last_index: int = 0


class Storage:
    """The durable log, term and vote of one member."""

    def __init__(
        self, *, disk: Disk, disk_id: str, segment_bytes: int, clock: Clock
    ) -> None:
        """Create the storage; ``open`` reads the data folder."""
        self._disk = disk
        self._clock = clock
        self._disk_id = disk_id
        self._segment_bytes = segment_bytes
        self._segments: list[Segment] = []
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
        # Whether the last segment may have more than was synced.
        self._is_tail_doubtful = False
        self.torn_bytes = 0
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
        return sum(segment.size for segment in self._segments)

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
            self._enqueue(HardState(term, voted_for))

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
        if not self._queue and not self._writing:
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

    async def open(self, snapshot: Snapshot | None) -> None:
        """Read the segments back.

        :raises DiskError: if the data read may not be durable
        :raises CorruptLog: if synced data is missing or damaged
        """
        names = await self._disk.list()
        names = [name for name in names if name.startswith(_PREFIX)]
        for name in names:
            await self._load_segment(name, is_last=name == names[-1])
        if snapshot is not None:
            self._reconcile_snapshot(snapshot)
        elif self.base_index > 0:
            raise CorruptLog("entries were compacted but no snapshot is left")
        if self._segments:
            # The data read may include writes of a killed process that are
            # only in the page cache. Without this sync they could be
            # acknowledged and then lost in a power loss.
            await self._disk.sync(self._segments[-1].name)
            await self._disk.sync_folder()
        else:
            await self._add_segment()
        self.durable_index = self.last_index

    async def compact(self, index: int) -> None:
        """Remove entries up to an index that a synced snapshot covers."""
        term = self.term_at(index)
        if term is None:
            return
        del self.entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term
        covered = 0
        for segment in self._segments[:-1]:
            if segment.last_index > index:
                break
            covered += 1
        removed = self._segments[:covered]
        del self._segments[:covered]
        for segment in removed:
            await self._disk.remove(segment.name)

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
        self._is_tail_doubtful = True
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

    async def _write(self, records: list[Record]) -> None:
        if self._is_tail_doubtful:
            await self._truncate_doubtful_tail()
            await self._add_segment()
            self._is_tail_doubtful = False
        elif self._segments[-1].size > self._segment_bytes:
            await self._add_segment()
        segment = self._segments[-1]
        frame = encode_records(records)
        await self._disk.append(segment.name, frame)
        await self._disk.sync(segment.name)
        segment.size += len(frame)
        _note_last_index(segment, records)

    async def _truncate_doubtful_tail(self) -> None:
        """Truncate the last segment to what was synced."""
        segment = self._segments[-1]
        await self._disk.truncate(segment.name, segment.size)
        await self._disk.sync(segment.name)

    async def _add_segment(self) -> None:
        number = self._segments[-1].number + 1 if self._segments else 1
        segment = Segment(
            name=f"{_PREFIX}{number:016d}", number=number, size=0
        )
        # Each segment has term and vote, since earlier ones are removed.
        header: list[Record] = [
            SegmentHeader(FORMAT_VERSION, number, self._disk_id),
            HardState(self.term, self.voted_for),
        ]
        frame = encode_records(header)
        await self._disk.write(segment.name, frame)
        await self._disk.sync(segment.name)
        await self._disk.sync_folder()
        segment.size = len(frame)
        self._segments.append(segment)

    async def _load_segment(self, name: str, *, is_last: bool) -> None:
        content = await self._disk.read(name) or b""
        number = int(name.removeprefix(_PREFIX))
        records, size = decode_records(content, name)
        if size < len(content) or not records:
            if not is_last:
                raise CorruptLog(f"{name} is damaged at byte {size}")
            await self._truncate_tail(name, size, len(content))
        if not records:
            return
        if self._segments and number != self._segments[-1].number + 1:
            # After a compaction, a power loss may undo the removal of one
            # segment and not of the next. The missing entries must be in
            # the snapshot, which is checked once all segments are read.
            self._segments.clear()
            self._reset_in_memory(Reset(0, 0))
        self._segments.append(Segment(name=name, number=number, size=size))
        self._check_header(records[0], name)
        for record in records:
            self._replay(record)
        _note_last_index(self._segments[-1], records)

    async def _truncate_tail(self, name: str, size: int, before: int) -> None:
        self.torn_bytes += before - size
        if size:
            await self._disk.truncate(name, size)
            await self._disk.sync(name)
        else:
            await self._disk.remove(name)
            await self._disk.sync_folder()

    def _check_header(self, record: Record, name: str) -> None:
        if not isinstance(record, SegmentHeader):
            raise CorruptLog(f"{name} does not begin with a segment header")
        if record.disk_id != self._disk_id:
            raise CorruptLog(f"{name} was written under another disk id")
        if record.format != FORMAT_VERSION:
            raise CorruptLog(
                f"{name} has format {record.format}, this program reads "
                f"{FORMAT_VERSION}"
            )

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


def _note_last_index(segment: Segment, records: list[Record]) -> None:
    for record in records:
        if isinstance(record, Entry):
            segment.last_index = max(segment.last_index, record.index)


def _ignore(reason: str) -> None:
    """Ignore a refusal while no callback is set."""

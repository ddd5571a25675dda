"""The segment files of the log.

Only the last segment is appended to. Every other one was synced before the
next was created, whose header says how much of it counts. The last one may
have been written by a process whose syncs failed, after which the kernel may
drop the pages and report success next time; so a start writes it anew.
"""

from dataclasses import dataclass

from burdockdrum.consensus.records import CorruptLog
from burdockdrum.consensus.records import decode_records
from burdockdrum.consensus.records import encode_records
from burdockdrum.consensus.records import Entry
from burdockdrum.consensus.records import FORMAT_VERSION
from burdockdrum.consensus.records import HardState
from burdockdrum.consensus.records import Record
from burdockdrum.consensus.records import SegmentHeader
from burdockdrum.ports import Disk
from burdockdrum.ports import replace_file

_PREFIX = "log-"
_TEMPORARY_FILE_NAME = "segment.tmp"


@dataclass(kw_only=True)
class Segment:
    """One file of the log.

    ``size`` is the size in bytes of what counts of it, and ``last_index`` its
    highest entry index.
    """

    number: int
    size: int
    last_index: int = 0

    @property
    def name(self) -> str:
        """Return the name of the file."""
        return f"{_PREFIX}{self.number:016d}"


@dataclass(frozen=True, kw_only=True)
class ReadSegment:
    """A segment that was read back, with its records."""

    segment: Segment
    records: list[Record]


class SegmentFiles:
    """Reads, writes and removes the segments of one data folder."""

    def __init__(self, *, disk: Disk, disk_id: str) -> None:
        """Create it without segments; ``read`` reads the data folder."""
        self._disk = disk
        self._disk_id = disk_id
        self._segments: list[Segment] = []
        # The valid content of the last segment until it is written anew.
        self._read_back: bytes | None = None
        # Whether a segment was created after the last one, but not written.
        self._is_last_torn = False
        # Segments that were removed, but came back.
        self._leftover_names: list[str] = []
        # Whether the last segment may have more than was synced.
        self._is_tail_doubtful = False
        self.torn_bytes = 0

    @property
    def last(self) -> Segment | None:
        """Return the last segment, if there is one."""
        return self._segments[-1] if self._segments else None

    @property
    def disk_bytes(self) -> int:
        """Return the size of all segments in bytes."""
        return sum(segment.size for segment in self._segments)

    async def read(self) -> list[ReadSegment]:
        """Read the segments that belong together, in their order.

        After a compaction, a power loss may undo the removal of one segment
        and not of the next. Those before a missing one are left out; their
        entries must be in the snapshot.

        :raises DiskError: if the folder or a file can't be read
        :raises CorruptLog: if synced data is missing or damaged
        """
        names = [n for n in await self._disk.list() if n.startswith(_PREFIX)]
        found: list[ReadSegment] = []
        while names:
            is_last = not found and not self._is_last_torn
            name = names.pop()
            following = found[0] if found else None
            number = _number_of(name)
            if following and number != following.segment.number - 1:
                self._leftover_names = [*names, name]
                break
            content = await self._disk.read(name) or b""
            size = _size_that_counts(content, name, following)
            read = self._decode(content[:size], number, name)
            if read.segment.size < size or not read.records:
                if not is_last:
                    raise CorruptLog(
                        f"{name} is damaged at byte {read.segment.size}"
                    )
                self.torn_bytes = size - read.segment.size
                if not read.records:
                    self._is_last_torn = True
                    continue
            if not found:
                self._read_back = content[: read.segment.size]
            found.insert(0, read)
        self._segments = [read.segment for read in found]
        return found

    async def write_read_back(self, hard_state: HardState) -> None:
        """Write the last segment anew, or the first one.

        The one that was read stays until the new one is synced.

        :raises DiskError: if it may not be durable
        """
        if self._read_back is not None:
            await self._replace(self._segments[-1].name, self._read_back)
            self._read_back = None
        if self._is_last_torn or not self._segments:
            await self.add([], hard_state)
            self._is_last_torn = False

    async def append(self, records: list[Record]) -> bool:
        """Append records to the last segment and sync it.

        :returns: False if they need another segment, as the last one may
            have more than was synced
        :raises DiskError: if they may not be durable
        """
        if self._is_tail_doubtful:
            return False
        segment = self._segments[-1]
        frame = encode_records(records)
        self._is_tail_doubtful = True
        await self._disk.append(segment.name, frame)
        await self._disk.sync(segment.name)
        self._is_tail_doubtful = False
        segment.size += len(frame)
        _note_last_index(segment, records)
        return True

    async def add(self, records: list[Record], hard_state: HardState) -> None:
        """Add a segment that begins with records.

        Each segment has term and vote, since earlier ones are removed.

        :raises DiskError: if it may not be durable
        """
        previous = self.last
        segment = Segment(
            number=previous.number + 1 if previous else 1, size=0
        )
        header = SegmentHeader(
            FORMAT_VERSION,
            segment.number,
            self._disk_id,
            previous.size if previous else None,
        )
        frame = encode_records([header, hard_state, *records])
        await self._replace(segment.name, frame)
        segment.size = len(frame)
        _note_last_index(segment, records)
        self._segments.append(segment)
        self._is_tail_doubtful = False

    async def remove_covered(self, index: int) -> None:
        """Remove the segments of which no entry is after an index.

        :raises DiskError: if one can't be removed; the next call repeats it
        """
        while self._leftover_names:
            await self._disk.remove(self._leftover_names[0])
            del self._leftover_names[0]
        while (
            len(self._segments) > 1 and self._segments[0].last_index <= index
        ):
            await self._disk.remove(self._segments[0].name)
            del self._segments[0]

    async def _replace(self, name: str, content: bytes) -> None:
        await replace_file(
            self._disk, name, content, temporary_name=_TEMPORARY_FILE_NAME
        )

    def _decode(self, content: bytes, number: int, name: str) -> ReadSegment:
        records, size = decode_records(content, name)
        if records:
            self._check_header(records[0], name)
        segment = Segment(number=number, size=size)
        _note_last_index(segment, records)
        return ReadSegment(segment=segment, records=records)

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


def _number_of(name: str) -> int:
    return int(name.removeprefix(_PREFIX))


def _size_that_counts(
    content: bytes, name: str, following: ReadSegment | None
) -> int:
    """Return how many bytes of a segment count by the following one."""
    header = following.records[0] if following else None
    if not isinstance(header, SegmentHeader) or header.previous_size is None:
        return len(content)
    if len(content) < header.previous_size:
        raise CorruptLog(
            f"{name} is damaged at byte {len(content)}: "
            f"{header.previous_size} bytes were synced"
        )
    return header.previous_size


def _note_last_index(segment: Segment, records: list[Record]) -> None:
    for record in records:
        if isinstance(record, Entry):
            segment.last_index = max(segment.last_index, record.index)

"""The write-ahead log of a claim replica.

An append-only file of records, each with length and checksum. Reading stops
at the first record that is incomplete or corrupt, as after a power loss.
"""

import asyncio
from collections.abc import Iterable
import zlib

import msgspec

from burdockdrum.claims.messages import ClaimRecord
from burdockdrum.claims.messages import Epoch
from burdockdrum.ports import Disk
from burdockdrum.ports import DiskError
from burdockdrum.ports import replace_file

FILE = "claims-log"
NEW_FILE = "claims-log-new"
MIN_COMPACTION_BYTES = 4 * 1024 * 1024
_HEADER_BYTES = 8


class Put(msgspec.Struct, frozen=True, tag="put"):
    """A claim was granted or changed."""

    record: ClaimRecord


class Removed(msgspec.Struct, frozen=True, tag="removed"):
    """A claim was released."""

    client_id: str
    key: str


class EpochEntered(msgspec.Struct, frozen=True, tag="entered"):
    """An epoch was entered."""

    epoch: Epoch
    formed_at: float


class ClientCreated(msgspec.Struct, frozen=True, tag="client"):
    """A client was created in the current epoch."""

    client_id: str


Entry = Put | Removed | EpochEntered | ClientCreated

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Entry)


class ClaimLog:
    """The log file of one replica.

    After a failed sync it rejects all appends: the kernel may have dropped
    the data and still report success for the next sync.
    """

    def __init__(
        self, *, disk: Disk, compact_bytes: int = MIN_COMPACTION_BYTES
    ) -> None:
        """Create a log whose file has not been read yet.

        :param compact_bytes: the smallest file size that is compacted
        """
        self._disk = disk
        self._lock = asyncio.Lock()
        self._pending: list[bytes] = []
        self._written = 0
        self._flushed = 0
        self._size = 0
        self._compact_bytes = compact_bytes
        self._compaction_size = compact_bytes
        self.failed = False

    async def load(self) -> list[Entry]:
        """Read all valid entries and write them anew.

        What is read back may be in the page cache only, also after a sync, if
        an earlier process had a failed one.

        :raises DiskError: if the file can't be read or written
        """
        content = await self._disk.read(FILE) or b""
        entries, size = _decode_all(content)
        await replace_file(
            self._disk, FILE, content[:size], temporary_name=NEW_FILE
        )
        self._size = size
        self._compaction_size = max(self._compact_bytes, 2 * size)
        return entries

    async def append(self, entry: Entry) -> None:
        """Append an entry and sync; concurrent calls share a sync.

        :raises DiskError: if the entry may not be durable
        """
        self._pending.append(_encode(entry))
        self._written += 1
        number = self._written
        async with self._lock:
            if self._flushed >= number:
                return
            if self.failed:
                raise DiskError("an earlier sync of the claim log failed")
            await self._flush()

    def needs_compaction(self) -> bool:
        """Return whether the file has outgrown its compaction size."""
        return self._size > self._compaction_size

    async def compact(self, entries: Iterable[Entry]) -> None:
        """Replace the file by one with only these entries.

        The old file stays until the new one is durable, so a power loss in
        between loses nothing.

        :raises DiskError: if the disk fails
        """
        async with self._lock:
            await self._flush()
            content = b"".join(_encode(entry) for entry in entries)
            try:
                await replace_file(
                    self._disk, FILE, content, temporary_name=NEW_FILE
                )
            except BaseException:
                self.failed = True
                raise
            self._size = len(content)
            self._compaction_size = max(self._compact_bytes, 2 * len(content))

    async def _flush(self) -> None:
        pending, self._pending = self._pending, []
        number = self._written
        content = b"".join(pending)
        try:
            await self._disk.append(FILE, content)
            await self._disk.sync(FILE)
        except BaseException:
            # After a cancellation, too, the entries of every caller that
            # waits for this sync may not be durable.
            self.failed = True
            raise
        self._size += len(content)
        self._flushed = number


def _encode(entry: Entry) -> bytes:
    body = _ENCODER.encode(entry)
    length = len(body).to_bytes(4, "big")
    return length + zlib.crc32(length + body).to_bytes(4, "big") + body


def _decode_all(content: bytes) -> tuple[list[Entry], int]:
    entries: list[Entry] = []
    start = 0
    while start + _HEADER_BYTES <= len(content):
        length = content[start : start + 4]
        end = start + _HEADER_BYTES + int.from_bytes(length, "big")
        body = content[start + _HEADER_BYTES : end]
        checksum = zlib.crc32(length + body).to_bytes(4, "big")
        if end > len(content) or checksum != content[start + 4 : start + 8]:
            break
        try:
            entries.append(_DECODER.decode(body))
        except msgspec.MsgspecError:
            break
        start = end
    return entries, start

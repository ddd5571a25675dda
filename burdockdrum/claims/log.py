"""Claims on a disk: synced before they count.

A file of records, each with its length and checksum, to which changes are
appended; a record that was torn by a loss of power ends the file.
"""

import asyncio
from collections.abc import Iterable
import zlib

import msgspec

from burdockdrum.claims.messages import ClaimRecord
from burdockdrum.claims.messages import Epoch
from burdockdrum.ports import Disk
from burdockdrum.ports import DiskError

FILE = "claims-log"
NEW_FILE = "claims-log-new"
COMPACT_BYTES = 4 * 1024 * 1024
_HEAD_BYTES = 8


class Put(msgspec.Struct, frozen=True, tag="put"):
    """A claim was taken, or more is known of it."""

    record: ClaimRecord


class Removed(msgspec.Struct, frozen=True, tag="removed"):
    """A claim was given back."""

    client_id: str
    key: str


class Entered(msgspec.Struct, frozen=True, tag="entered"):
    """An epoch was entered."""

    epoch: Epoch
    formed_at: float


class ClientSeen(msgspec.Struct, frozen=True, tag="client"):
    """A client was seen to be created, at a wall time."""

    client_id: str


Entry = Put | Removed | Entered | ClientSeen

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Entry)


class ClaimLog:
    """The file of one keeper.

    After a failed sync it refuses everything: the kernel may have dropped
    what was written and report success the next time.
    """

    def __init__(
        self, *, disk: Disk, compact_bytes: int = COMPACT_BYTES
    ) -> None:
        """Create a log over a disk that is not read yet.

        :param compact_bytes: the least size at which it is compacted
        """
        self._disk = disk
        self._lock = asyncio.Lock()
        self._pending: list[bytes] = []
        self._written = 0
        self._flushed = 0
        self._size = 0
        self._compact_bytes = compact_bytes
        self._limit = compact_bytes
        self.broken = False

    async def load(self) -> list[Entry]:
        """Read the entries that last, and cut off a torn end.

        :raises DiskError: if the file can't be used
        """
        content = await self._disk.read(FILE)
        if content is None:
            await self._disk.write(FILE, b"")
            await self._disk.sync(FILE)
            await self._disk.sync_folder()
            return []
        entries, size = _decode_all(content)
        if size < len(content):
            await self._disk.truncate(FILE, size)
            await self._disk.sync(FILE)
        self._size = size
        self._limit = max(self._compact_bytes, 2 * size)
        return entries

    async def append(self, entry: Entry) -> None:
        """Add an entry and sync; those that come together share a sync.

        :raises DiskError: if it may not last
        """
        self._pending.append(_encode(entry))
        self._written += 1
        number = self._written
        async with self._lock:
            if self._flushed >= number:
                return
            if self.broken:
                raise DiskError("a sync failed before")
            await self._flush()

    def needs_compaction(self) -> bool:
        """Say whether the file has grown far over what it holds."""
        return self._size > self._limit

    async def compact(self, entries: Iterable[Entry]) -> None:
        """Replace the file by one with only these entries.

        The old file stays until the new one lasts, so a loss of power in
        between harms nothing.

        :raises DiskError: if the disk fails
        """
        async with self._lock:
            await self._flush()
            content = b"".join(_encode(entry) for entry in entries)
            try:
                await self._disk.write(NEW_FILE, content)
                await self._disk.sync(NEW_FILE)
                await self._disk.rename(NEW_FILE, FILE)
                await self._disk.sync_folder()
            except BaseException:
                self.broken = True
                raise
            self._size = len(content)
            self._limit = max(self._compact_bytes, 2 * len(content))

    async def _flush(self) -> None:
        pending, self._pending = self._pending, []
        number = self._written
        content = b"".join(pending)
        try:
            await self._disk.append(FILE, content)
            await self._disk.sync(FILE)
        except BaseException:
            # Cancelled half-way, it is not known what lasts either: the
            # entries of all who wait for this sync are in it.
            self.broken = True
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
    while start + _HEAD_BYTES <= len(content):
        length = content[start : start + 4]
        end = start + _HEAD_BYTES + int.from_bytes(length, "big")
        body = content[start + _HEAD_BYTES : end]
        checksum = zlib.crc32(length + body).to_bytes(4, "big")
        if end > len(content) or checksum != content[start + 4 : start + 8]:
            break
        try:
            entries.append(_DECODER.decode(body))
        except msgspec.MsgspecError:
            break
        start = end
    return entries, start

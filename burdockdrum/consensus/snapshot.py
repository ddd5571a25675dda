"""Snapshots in the data folder.

A snapshot replaces the entries up to its index. It is written under a
temporary name, synced and renamed, so that a crash while writing leaves the
previous snapshot intact. A start writes the latest one anew, as the folder's
sync after its renaming may have failed.
"""

import asyncio
import hashlib

import msgspec

from burdockdrum.consensus.membership import Configuration
from burdockdrum.consensus.records import CorruptLog
from burdockdrum.consensus.records import decode_frame
from burdockdrum.consensus.records import encode_frame
from burdockdrum.ports import Disk
from burdockdrum.ports import replace_file

_PREFIX = "snapshot-"
_TEMPORARY = "snapshot.tmp"


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The state after the entry at ``index``."""

    index: int
    term: int
    configuration: Configuration
    digest: bytes
    data: bytes

    @classmethod
    def of(
        cls,
        *,
        index: int,
        term: int,
        configuration: Configuration,
        data: bytes,
    ) -> "Snapshot":
        """Create a snapshot and compute its digest."""
        return cls(
            index=index,
            term=term,
            configuration=configuration,
            digest=digest_of(data),
            data=data,
        )


def digest_of(data: bytes) -> bytes:
    """Return the digest that verifies the data of a snapshot."""
    return hashlib.blake2b(data, digest_size=16).digest()


class SnapshotStore:
    """Loads and saves the latest snapshot of one data folder."""

    def __init__(self, *, disk: Disk) -> None:
        """Create the store; ``load`` reads the data folder."""
        self._disk = disk
        self._lock = asyncio.Lock()
        self._is_read_back = False
        self.latest: Snapshot | None = None

    @property
    def size(self) -> int:
        """Return the size in bytes of the latest snapshot's data."""
        return len(self.latest.data) if self.latest is not None else 0

    @property
    def is_doubtful(self) -> bool:
        """Return whether a power loss may undo the latest snapshot."""
        return self._is_read_back

    async def load(self) -> Snapshot | None:
        """Read the latest snapshot, and remove one that was begun.

        :raises CorruptLog: if it is damaged, as its entries are compacted
        """
        await self._disk.remove(_TEMPORARY)
        names = [n for n in await self._disk.list() if n.startswith(_PREFIX)]
        if not names:
            return None
        name = names[-1]
        content = await self._disk.read(name) or b""
        frame = decode_frame(content, 0)
        if frame is None:
            raise CorruptLog(
                f"{name} is damaged. Remove this member and add it again "
                "with an empty data folder."
            )
        snapshot = msgspec.msgpack.decode(frame[0], type=Snapshot)
        if digest_of(snapshot.data) != snapshot.digest:
            raise CorruptLog(f"{name} does not match its digest")
        self.latest = snapshot
        self._is_read_back = True
        return snapshot

    async def rewrite(self) -> None:
        """Write the snapshot that was loaded anew; until then it may be lost.

        :raises DiskError: if it may not be durable
        """
        async with self._lock:
            if self.latest is not None and self._is_read_back:
                await self._save(self.latest)

    async def save(self, snapshot: Snapshot) -> None:
        """Write and sync a snapshot, then remove the earlier ones.

        :raises DiskError: if it may not be durable
        """
        async with self._lock:
            await self._save(snapshot)

    async def _save(self, snapshot: Snapshot) -> None:
        name = _name_of(snapshot)
        frame = encode_frame(msgspec.msgpack.encode(snapshot))
        await replace_file(self._disk, name, frame, temporary_name=_TEMPORARY)
        self.latest = snapshot
        self._is_read_back = False
        await self.remove_earlier()

    async def remove_earlier(self) -> None:
        """Remove the snapshots before the latest one.

        :raises DiskError: if one can't be removed
        """
        if self.latest is None:
            return
        name = _name_of(self.latest)
        for other in await self._disk.list():
            if other.startswith(_PREFIX) and other < name:
                await self._disk.remove(other)


def _name_of(snapshot: Snapshot) -> str:
    return f"{_PREFIX}{snapshot.index:016d}"

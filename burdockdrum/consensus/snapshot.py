"""Snapshots in the data folder.

A snapshot takes the place of the entries up to its index. It is written
under a temporary name, synced and then renamed, so that one cut off
half-way leaves the earlier one as it was.
"""

import hashlib

import msgspec

from burdockdrum.consensus.membership import Configuration
from burdockdrum.consensus.records import CorruptLog
from burdockdrum.consensus.records import decode_frame
from burdockdrum.consensus.records import encode_frame
from burdockdrum.ports import Disk

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
        """Create a snapshot with the digest of its data."""
        return cls(
            index=index,
            term=term,
            configuration=configuration,
            digest=digest_of(data),
            data=data,
        )


def digest_of(data: bytes) -> bytes:
    """Return the digest that a transferred snapshot is checked by."""
    return hashlib.blake2b(data, digest_size=16).digest()


class SnapshotStore:
    """The newest snapshot of one data folder."""

    def __init__(self, *, disk: Disk) -> None:
        """Create the store; ``load`` reads what is there."""
        self._disk = disk
        self.latest: Snapshot | None = None

    async def load(self) -> Snapshot | None:
        """Read the newest snapshot and clear away what a crash left.

        :raises CorruptLog: if it is damaged: the entries that it took the
            place of are gone
        """
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
            raise CorruptLog(f"{name} does not fit its digest")
        self.latest = snapshot
        return snapshot

    async def save(self, snapshot: Snapshot) -> None:
        """Make a snapshot last, then remove the earlier ones.

        :raises DiskError: if it may not have lasted
        """
        name = f"{_PREFIX}{snapshot.index:016d}"
        frame = encode_frame(msgspec.msgpack.encode(snapshot))
        await self._disk.write(_TEMPORARY, frame)
        await self._disk.sync(_TEMPORARY)
        await self._disk.rename(_TEMPORARY, name)
        # Without this sync the rename may be undone by a loss of power after
        # the entries that the snapshot stands for were removed.
        await self._disk.sync_folder()
        self.latest = snapshot
        for other in await self._disk.list():
            if other.startswith(_PREFIX) and other < name:
                await self._disk.remove(other)

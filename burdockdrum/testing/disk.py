"""An in-memory disk that loses unsynced writes at a power loss."""

import asyncio
from dataclasses import dataclass
import math
import random

from burdockdrum.ports import DiskError


@dataclass(kw_only=True)
class _File:
    """One file, whatever its names are.

    ``kept`` bytes of the durable content can't change in a power loss: the
    rest was truncated or overwritten. ``dropped_from`` is where the content
    begins that a failed sync has dropped.
    """

    seen: bytes = b""
    durable: bytes = b""
    kept: int = 0
    dropped_from: int | None = None

    def truncate(self, size: int) -> None:
        self.seen = self.seen[:size]
        self.kept = min(self.kept, size)
        if self.dropped_from is not None and size <= self.dropped_from:
            self.dropped_from = None

    def drop(self) -> None:
        """Drop what was not synced."""
        if self.dropped_from is None:
            self.dropped_from = self.kept

    def sync(self) -> None:
        self.durable = self.seen[: self.dropped_from]
        self.kept = len(self.durable)

    def content_after_power_loss(self, rng: random.Random) -> bytes:
        if self.kept < len(self.durable) and rng.random() < 0.5:
            return self.durable
        end = len(self.seen[: self.dropped_from])
        return self.seen[: rng.randint(self.kept, max(self.kept, end))]


class FakeDisk:
    """Files with separate visible and durable contents.

    ``fail_syncs``, ``fail_folder_syncs``, ``fail_reads``, ``fail_changes`` (of
    the folder, and truncations), ``full``, ``capacity`` in bytes and
    ``sync_seconds`` simulate a disk that fails, is full or slow. What a
    failed sync did not write is lost at the next power loss, although the
    next sync succeeds; this holds for files and for the names in the folder.
    """

    def __init__(self, *, rng: random.Random) -> None:
        """Create an empty disk."""
        self._rng = rng
        self._seen: dict[str, _File] = {}
        self._durable: dict[str, _File] = {}
        # Changes of the folder since its last sync: the files by name, None
        # where there is none any more.
        self._pending: list[dict[str, _File | None]] = []
        self.fail_syncs = False
        self.fail_folder_syncs = False
        self.fail_reads = False
        self.fail_changes = False
        self.full = False
        self.capacity: float = math.inf
        self.sync_seconds = 0.0
        self.syncs = 0

    @property
    def used(self) -> int:
        """Return the size of all files in bytes."""
        return sum(len(file.seen) for file in self._seen.values())

    def lose_power(self) -> None:
        """Keep synced contents and a random part of what wasn't synced.

        Appends since the last sync are truncated at a random byte, so the
        last record may be torn. Each creation, rename and removal without
        ``sync_folder`` may be undone.
        """
        for change in self._pending:
            if self._rng.random() < 0.5:
                self._apply(change)
        self._pending = []
        for name, file in sorted(self._durable.items()):
            content = file.content_after_power_loss(self._rng)
            self._durable[name] = _File(
                seen=content, durable=content, kept=len(content)
            )
        self._seen = dict(self._durable)

    def mend(self) -> None:
        """End all faults; a slow disk stays slow."""
        self.fail_syncs = self.fail_folder_syncs = False
        self.fail_reads = self.fail_changes = False
        self.full = False

    def wipe(self) -> None:
        """Remove every file, as when the disk is replaced."""
        self._seen = {}
        self._durable = {}
        self._pending = []

    def corrupt(self, name: str, offset: int) -> None:
        """Flip the bits of one byte of a file."""
        content = bytearray(self._seen[name].seen)
        content[offset] ^= 0xFF
        self._seen[name].seen = bytes(content)
        self._seen[name].durable = bytes(content)

    async def read(self, name: str) -> bytes | None:
        """Return a file's content, or None if there is none."""
        _raise_if(self.fail_reads)
        file = self._seen.get(name)
        return file.seen if file else None

    async def write(self, name: str, content: bytes) -> None:
        """Create a file or replace its content, unsynced."""
        if name in self._seen:
            self._seen[name].truncate(0)
        await self.append(name, content)

    async def append(self, name: str, content: bytes) -> None:
        """Add to the end of a file, creating it, unsynced.

        A full disk takes a part of the content.
        """
        if name not in self._seen:
            self._seen[name] = _File()
            self._pending.append({name: self._seen[name]})
        room = max(0.0, self.capacity - self.used)
        if self.full:
            room = self._rng.randrange(len(content) + 1)
        taken = content[: int(min(room, len(content)))]
        self._seen[name].seen += taken
        if self.full or len(taken) < len(content):
            raise DiskError("no space left on device")

    async def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size in bytes, unsynced."""
        _raise_if(self.fail_changes)
        self._seen[name].truncate(size)

    async def sync(self, name: str) -> None:
        """Make a file's content durable, but for what was dropped."""
        file = self._seen[name]
        try:
            await self._sync()
        except DiskError:
            file.drop()
            raise
        file.sync()

    async def rename(self, old: str, new: str) -> None:
        """Rename a file over another."""
        _raise_if(self.fail_changes)
        file = self._seen.pop(old)
        self._seen[new] = file
        self._pending.append({old: None, new: file})

    async def remove(self, name: str) -> None:
        """Remove a file if it is there."""
        _raise_if(self.fail_changes)
        if self._seen.pop(name, None):
            self._pending.append({name: None})

    async def sync_folder(self) -> None:
        """Make creations, renames and removals durable."""
        try:
            _raise_if(self.fail_folder_syncs)
            await self._sync()
        except DiskError:
            self._pending = []
            raise
        for change in self._pending:
            self._apply(change)
        self._pending = []

    async def list(self) -> list[str]:
        """Return the names of the files, sorted."""
        _raise_if(self.fail_reads)
        return sorted(self._seen)

    def _apply(self, change: dict[str, _File | None]) -> None:
        for name, file in change.items():
            if file is None:
                self._durable.pop(name, None)
            else:
                self._durable[name] = file

    async def _sync(self) -> None:
        if self.sync_seconds:
            await asyncio.sleep(self.sync_seconds)
        _raise_if(self.fail_syncs)
        self.syncs += 1


def _raise_if(fails: bool) -> None:
    if fails:
        raise DiskError("input/output error")

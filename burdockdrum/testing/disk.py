"""A disk in memory that keeps only what was synced."""

import asyncio
import random

from burdockdrum.ports import DiskError


class FakeDisk:
    """Files with the content that lasts apart from the content seen.

    ``fail_syncs``, ``full`` and ``sync_seconds`` bring about a sync error, a
    full disk and a slow one.
    """

    def __init__(self, *, rng: random.Random) -> None:
        """Create an empty disk."""
        self._rng = rng
        self._seen: dict[str, bytes] = {}
        self._synced: dict[str, bytes] = {}
        self._folder: set[str] = set()
        self._moved: dict[str, bytes] = {}
        self.fail_syncs = False
        self.full = False
        self.sync_seconds = 0.0
        self.syncs = 0

    def lose_power(self) -> None:
        """Keep what was synced, and a random part of what was appended.

        The part that was appended after the last sync may last up to any
        byte, so the last record may be torn. A file that was created,
        renamed or removed without ``sync_folder`` is as it was before.
        """
        kept: dict[str, bytes] = {}
        for name in self._folder:
            synced = self._moved.get(name, self._synced.get(name, b""))
            seen = self._seen.get(name, b"")
            if name not in self._moved and seen.startswith(synced):
                extra = self._rng.randint(0, len(seen) - len(synced))
                synced = seen[: len(synced) + extra]
            kept[name] = synced
        self._seen = dict(kept)
        self._synced = dict(kept)
        self._moved = {}

    def wipe(self) -> None:
        """Lose every file, as when the disk is replaced."""
        self._seen.clear()
        self._synced.clear()
        self._folder.clear()
        self._moved.clear()

    def corrupt(self, name: str, offset: int) -> None:
        """Flip the bits of one byte of a file."""
        content = bytearray(self._seen[name])
        content[offset] ^= 0xFF
        self._seen[name] = bytes(content)
        self._synced[name] = bytes(content)

    async def read(self, name: str) -> bytes | None:
        """Return a file's content, or None if there is none."""
        return self._seen.get(name)

    async def write(self, name: str, content: bytes) -> None:
        """Create a file or replace its content, unsynced."""
        self._check_room()
        if name in self._folder and name not in self._moved:
            # Until the sync, power loss may leave the old content.
            self._synced.setdefault(name, b"")
        self._seen[name] = content

    async def append(self, name: str, content: bytes) -> None:
        """Add to the end of a file, creating it, unsynced."""
        self._check_room()
        self._seen[name] = self._seen.get(name, b"") + content

    async def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size in bytes, unsynced."""
        self._seen[name] = self._seen[name][:size]

    async def sync(self, name: str) -> None:
        """Make a file's content last."""
        await self._sync()
        self._synced[name] = self._seen[name]

    async def rename(self, old: str, new: str) -> None:
        """Rename a file over another."""
        if new in self._folder and new not in self._moved:
            self._moved[new] = self._synced.get(new, b"")
        self._seen[new] = self._seen.pop(old)
        self._synced[new] = self._synced.pop(old, b"")

    async def remove(self, name: str) -> None:
        """Remove a file if it is there."""
        if name in self._folder and name not in self._moved:
            self._moved[name] = self._synced.get(name, b"")
        self._seen.pop(name, None)
        self._synced.pop(name, None)

    async def sync_folder(self) -> None:
        """Make creations, renames and removals last."""
        await self._sync()
        self._folder = set(self._seen)
        self._moved = {}

    async def list(self) -> list[str]:
        """Return the names of the files, sorted."""
        return sorted(self._seen)

    def _check_room(self) -> None:
        if self.full:
            raise DiskError("no space left on device")

    async def _sync(self) -> None:
        if self.sync_seconds:
            await asyncio.sleep(self.sync_seconds)
        if self.fail_syncs:
            raise DiskError("input/output error")
        self.syncs += 1

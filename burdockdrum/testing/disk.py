"""An in-memory disk that loses unsynced writes at a power loss."""

import asyncio
import random

from burdockdrum.ports import DiskError


class FakeDisk:
    """Files with separate visible and durable contents.

    ``fail_syncs``, ``full`` and ``sync_seconds`` simulate a failing sync, a
    full disk and a slow disk. What a failed sync did not write is lost at the
    next power loss, although the next sync of the file succeeds.
    """

    def __init__(self, *, rng: random.Random) -> None:
        """Create an empty disk."""
        self._rng = rng
        self._seen: dict[str, bytes] = {}
        self._synced: dict[str, bytes] = {}
        self._synced_names: set[str] = set()
        self._replaced_contents: dict[str, bytes] = {}
        # From where on failed syncs have dropped a file's content.
        self._dropped_from: dict[str, int] = {}
        self.fail_syncs = False
        self.full = False
        self.sync_seconds = 0.0
        self.syncs = 0

    def lose_power(self) -> None:
        """Keep synced contents and a random part of unsynced appends.

        Appends since the last sync are truncated at a random byte, so the
        last record may be torn. Creations, renames and removals without
        ``sync_folder`` are undone.
        """
        durable: dict[str, bytes] = {}
        for name in self._synced_names:
            synced = self._replaced_contents.get(
                name, self._synced.get(name, b"")
            )
            seen = self._seen.get(name, b"")
            seen = seen[: self._dropped_from.get(name, len(seen))]
            if name not in self._replaced_contents and seen.startswith(synced):
                extra = self._rng.randint(0, len(seen) - len(synced))
                synced = seen[: len(synced) + extra]
            durable[name] = synced
        self._seen = dict(durable)
        self._synced = dict(durable)
        self._replaced_contents = {}
        self._dropped_from = {}

    def wipe(self) -> None:
        """Remove every file, as when the disk is replaced."""
        self._seen.clear()
        self._synced.clear()
        self._synced_names.clear()
        self._replaced_contents.clear()

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
        self._check_free_space()
        if name in self._synced_names and name not in self._replaced_contents:
            # Until the sync, power loss may leave the old content.
            self._synced.setdefault(name, b"")
        self._seen[name] = content
        self._dropped_from.pop(name, None)

    async def append(self, name: str, content: bytes) -> None:
        """Add to the end of a file, creating it, unsynced."""
        self._check_free_space()
        self._seen[name] = self._seen.get(name, b"") + content

    async def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size in bytes, unsynced."""
        self._seen[name] = self._seen[name][:size]
        if size <= self._dropped_from.get(name, -1):
            del self._dropped_from[name]

    async def sync(self, name: str) -> None:
        """Make a file's content durable, but for what was dropped."""
        content = self._seen[name]
        try:
            await self._sync()
        except DiskError:
            synced = self._synced.get(name, b"")
            written = len(synced) if content.startswith(synced) else 0
            self._dropped_from.setdefault(name, written)
            raise
        end = self._dropped_from.get(name, len(self._seen[name]))
        self._synced[name] = self._seen[name][:end]

    async def rename(self, old: str, new: str) -> None:
        """Rename a file over another."""
        if new in self._synced_names and new not in self._replaced_contents:
            self._replaced_contents[new] = self._synced.get(new, b"")
        self._seen[new] = self._seen.pop(old)
        self._dropped_from.pop(new, None)
        if old in self._dropped_from:
            self._dropped_from[new] = self._dropped_from.pop(old)
        self._synced[new] = self._synced.pop(old, b"")

    async def remove(self, name: str) -> None:
        """Remove a file if it is there."""
        if name in self._synced_names and name not in self._replaced_contents:
            self._replaced_contents[name] = self._synced.get(name, b"")
        self._seen.pop(name, None)
        self._synced.pop(name, None)

    async def sync_folder(self) -> None:
        """Make creations, renames and removals durable."""
        await self._sync()
        self._synced_names = set(self._seen)
        self._replaced_contents = {}

    async def list(self) -> list[str]:
        """Return the names of the files, sorted."""
        return sorted(self._seen)

    def _check_free_space(self) -> None:
        if self.full:
            raise DiskError("no space left on device")

    async def _sync(self) -> None:
        if self.sync_seconds:
            await asyncio.sleep(self.sync_seconds)
        if self.fail_syncs:
            raise DiskError("input/output error")
        self.syncs += 1

"""The port for files under the one data folder."""

from typing import Protocol


class DiskError(Exception):
    """An operation failed; what was written since the last sync is lost.

    After a failed sync the kernel may drop the dirty pages and report
    success the next time, so the caller must not retry: it has to treat the
    file as unsynced for good.
    """


class Disk(Protocol):
    """Files by name in one flat folder.

    Nothing lasts before it is synced: content by ``sync``, and a file's
    being created, renamed or removed by ``sync_folder``.
    """

    async def read(self, name: str) -> bytes | None:
        """Return a file's content, or None if there is none."""
        ...

    async def write(self, name: str, content: bytes) -> None:
        """Create a file or replace its content, unsynced."""
        ...

    async def append(self, name: str, content: bytes) -> None:
        """Add to the end of a file, creating it, unsynced."""
        ...

    async def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size in bytes, unsynced."""
        ...

    async def sync(self, name: str) -> None:
        """Make a file's content last.

        :raises DiskError: if it may not have lasted; never retry
        """
        ...

    async def rename(self, old: str, new: str) -> None:
        """Rename a file over another, unsynced until ``sync_folder``."""
        ...

    async def remove(self, name: str) -> None:
        """Remove a file if it is there, unsynced until ``sync_folder``."""
        ...

    async def sync_folder(self) -> None:
        """Make creations, renames and removals last.

        :raises DiskError: if they may not have lasted; never retry
        """
        ...

    async def list(self) -> list[str]:
        """Return the names of the files, sorted."""
        ...

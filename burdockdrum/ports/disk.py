"""The port for files in the data folder."""

from typing import Protocol


class DiskError(Exception):
    """An operation failed; writes since the last sync may be lost.

    Callers must not retry a failed sync: the operating system may have
    dropped the dirty pages and would report success the next time. The file
    has to be treated as unsynced for good.
    """


class Disk(Protocol):
    """Files by name in one flat folder.

    Nothing is durable before it is synced: content by ``sync``; creations,
    renames and removals by ``sync_folder``.
    """

    async def read(self, name: str) -> bytes | None:
        """Return a file's content, or None if there is none."""
        ...

    async def write(self, name: str, content: bytes) -> None:
        """Create a file or replace its content, without syncing."""
        ...

    async def append(self, name: str, content: bytes) -> None:
        """Append to a file, creating it if needed, without syncing."""
        ...

    async def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes, without syncing."""
        ...

    async def sync(self, name: str) -> None:
        """Make a file's content durable.

        :raises DiskError: if it may not be durable; never retry
        """
        ...

    async def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing the target; see ``sync_folder``."""
        ...

    async def remove(self, name: str) -> None:
        """Remove a file if it exists; see ``sync_folder``."""
        ...

    async def sync_folder(self) -> None:
        """Make creations, renames and removals durable.

        :raises DiskError: if they may not be durable; never retry
        """
        ...

    async def list(self) -> list[str]:
        """Return the names of the files, sorted."""
        ...

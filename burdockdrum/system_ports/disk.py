"""The disk port over a folder of the file system."""

import asyncio
from collections.abc import Callable
import os
import pathlib
from typing import TypeVar

from burdockdrum.ports.disk import DiskError

ResultT = TypeVar("ResultT")


class FolderDisk:
    """The files of one folder; blocking calls run in threads."""

    def __init__(self, *, folder: pathlib.Path) -> None:
        """Create it; the first operation makes the folder if needed."""
        self._folder = folder
        self._is_folder_made = False

    async def read(self, name: str) -> bytes | None:
        """Return a file's content, or None if there is none."""

        def read_content() -> bytes | None:
            try:
                return (self._folder / name).read_bytes()
            except FileNotFoundError:
                return None

        return await self._run(read_content)

    async def write(self, name: str, content: bytes) -> None:
        """Create a file or replace its content, without syncing."""
        await self._run(lambda: (self._folder / name).write_bytes(content))

    async def append(self, name: str, content: bytes) -> None:
        """Append to a file, creating it if needed, without syncing."""

        def append_content() -> None:
            with open(self._folder / name, "ab") as file:
                file.write(content)

        await self._run(append_content)

    async def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes, without syncing."""
        await self._run(lambda: os.truncate(self._folder / name, size))

    async def sync(self, name: str) -> None:
        """Make a file's content durable."""
        await self._run(lambda: _sync_path(self._folder / name))

    async def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing the target."""
        await self._run(
            lambda: os.replace(self._folder / old, self._folder / new)
        )

    async def remove(self, name: str) -> None:
        """Remove a file if it exists."""
        await self._run(lambda: (self._folder / name).unlink(missing_ok=True))

    async def sync_folder(self) -> None:
        """Make creations, renames and removals durable."""
        await self._run(lambda: _sync_path(self._folder))

    async def list(self) -> list[str]:
        """Return the names of the files, sorted."""

        def list_names() -> list[str]:
            paths = self._folder.iterdir()
            return sorted(path.name for path in paths if path.is_file())

        return await self._run(list_names)

    async def _run(self, operation: Callable[[], ResultT]) -> ResultT:
        def run_in_folder() -> ResultT:
            if not self._is_folder_made:
                _make_folder(self._folder)
                self._is_folder_made = True
            return operation()

        try:
            return await asyncio.to_thread(run_in_folder)
        except OSError as error:
            raise DiskError(str(error)) from error


def _make_folder(folder: pathlib.Path) -> None:
    """Make a folder and its parents durably, if they are missing."""
    missing = [path for path in (folder, *folder.parents) if not path.exists()]
    folder.mkdir(parents=True, exist_ok=True)
    try:
        for path in missing:
            _sync_path(path.parent)
    except OSError:
        # A sync that failed must not be repeated; they are made anew.
        for path in missing:
            path.rmdir()
        raise


def _sync_path(path: pathlib.Path) -> None:
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)

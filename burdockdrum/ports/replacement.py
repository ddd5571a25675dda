"""Replaces a whole file, so that a crash leaves the old or the new one."""

import contextlib

from burdockdrum.ports.disk import Disk
from burdockdrum.ports.disk import DiskError


async def replace_file(
    disk: Disk, name: str, content: bytes, *, temporary_name: str
) -> None:
    """Replace a file's content, or create the file, durably.

    A temporary file that the disk refuses is removed.

    :param temporary_name: the file that is written and then renamed
    :raises DiskError: if the new content may not be durable
    """
    try:
        await disk.write(temporary_name, content)
        await disk.sync(temporary_name)
        await disk.rename(temporary_name, name)
    except DiskError:
        # On a full disk a part of it would take the room of other files.
        with contextlib.suppress(DiskError):
            await disk.remove(temporary_name)
        raise
    # A power loss could undo the rename.
    await disk.sync_folder()

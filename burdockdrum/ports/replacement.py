"""Replaces a whole file, so that a crash leaves the old or the new one."""

from burdockdrum.ports.disk import Disk


async def replace_file(
    disk: Disk, name: str, content: bytes, *, temporary_name: str
) -> None:
    """Replace a file's content, or create the file, durably.

    :param temporary_name: the file that is written and then renamed
    :raises DiskError: if the new content may not be durable
    """
    await disk.write(temporary_name, content)
    await disk.sync(temporary_name)
    await disk.rename(temporary_name, name)
    # A power loss could undo the rename.
    await disk.sync_folder()

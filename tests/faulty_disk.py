"""A disk that refuses more operations than the fake one."""

import math
import random

from burdockdrum.ports import DiskError
from burdockdrum.testing import FakeDisk


class FaultyDisk(FakeDisk):
    """A disk that may refuse reads, syncs of its folder and removals.

    It has room for ``capacity`` bytes.
    """

    refuses_reads = False
    refuses_folder_syncs = False
    refuses_removals = False
    capacity = math.inf

    @classmethod
    def copy_of(cls, disk):
        """Return a disk with the files of another one."""
        made = cls(rng=random.Random(1))
        made.__dict__.update(disk.__dict__)
        return made

    @property
    def used(self):
        """Return the size of all files in bytes."""
        return sum(map(len, self._seen.values()))

    async def read(self, name):
        """Read a file."""
        if self.refuses_reads:
            raise DiskError("input/output error")
        return await super().read(name)

    async def sync_folder(self):
        """Sync the folder."""
        if self.refuses_folder_syncs:
            raise DiskError("input/output error")
        await super().sync_folder()

    async def remove(self, name):
        """Remove a file."""
        if self.refuses_removals:
            raise DiskError("input/output error")
        await super().remove(name)

    def _write_part(self, name, before, content):
        """Set a file's content, or as much of it as there is room for."""
        self._seen[name] = before
        room = min(self.capacity - self.used, len(content))
        self._seen[name] = before + content[: max(0, room)]
        if room < len(content):
            raise DiskError("no space left on device")

    async def write(self, name, content):
        """Replace a file, or fail with a part of it written."""
        await super().write(name, b"")
        self._write_part(name, b"", content)

    async def append(self, name, content):
        """Append to a file, or fail with a part of it written."""
        await super().append(name, b"")
        self._write_part(name, self._seen[name], content)

"""A disk that refuses more operations than the fake one."""

import math
import random

from burdockdrum.ports import DiskError
from burdockdrum.testing import FakeDisk


class FaultyDisk(FakeDisk):
    """A disk that may refuse the sync of its folder, or removals alone.

    It has room for ``capacity`` bytes.
    """

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
        return sum(len(file.seen) for file in self._seen.values())

    async def sync_folder(self):
        """Sync the folder, or lose its changes with the next power loss."""
        if self.refuses_folder_syncs:
            self._pending = []
            raise DiskError("input/output error")
        await super().sync_folder()

    async def remove(self, name):
        """Remove a file."""
        if self.refuses_removals:
            raise DiskError("input/output error")
        await super().remove(name)

    async def append(self, name, content):
        """Append to a file, or fail with a part of it written."""
        room = max(0, self.capacity - self.used)
        await super().append(name, content[: int(min(room, len(content)))])
        if room < len(content):
            raise DiskError("no space left on device")

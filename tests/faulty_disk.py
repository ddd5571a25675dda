"""A disk that refuses more operations than the fake one."""

import random

from burdockdrum.ports import DiskError
from burdockdrum.testing import FakeDisk


class FaultyDisk(FakeDisk):
    """A disk that may refuse reads, or the sync of its folder."""

    refuses_reads = False
    refuses_folder_syncs = False

    @classmethod
    def copy_of(cls, disk):
        """Return a disk with the files of another one."""
        made = cls(rng=random.Random(1))
        made.__dict__.update(disk.__dict__)
        return made

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

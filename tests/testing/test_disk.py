"""Tests of the in-memory disk."""

import random
import unittest

from burdockdrum.ports import DiskError
from burdockdrum.testing import FakeDisk
from burdockdrum.testing import run_virtual


class FakeDiskTest(unittest.TestCase):
    """Durability of files over a power loss."""

    def test_unsynced_tail_may_tear_but_synced_part_lasts(self):
        async def main():
            lengths = set()
            for seed in range(50):
                disk = FakeDisk(rng=random.Random(seed))
                await disk.append("log", b"kept")
                await disk.sync("log")
                await disk.sync_folder()
                await disk.append("log", b"torn")
                disk.lose_power()
                content = await disk.read("log")
                self.assertTrue(content.startswith(b"kept"))
                lengths.add(len(content))
            self.assertEqual({4, 5, 6, 7, 8}, lengths)

        run_virtual(main())

    def test_new_file_needs_the_folder_synced(self):
        async def main():
            disk = FakeDisk(rng=random.Random(1))
            await disk.write("a", b"x")
            await disk.sync("a")
            disk.lose_power()
            self.assertIsNone(await disk.read("a"))

        run_virtual(main())

    def test_unsynced_rename_leaves_the_old_content(self):
        async def main():
            disk = FakeDisk(rng=random.Random(1))
            await disk.write("a", b"old")
            await disk.sync("a")
            await disk.sync_folder()
            await disk.write("b", b"new")
            await disk.sync("b")
            await disk.rename("b", "a")
            disk.lose_power()
            self.assertEqual(b"old", await disk.read("a"))

        run_virtual(main())

    def test_failed_sync_raises(self):
        async def main():
            disk = FakeDisk(rng=random.Random(1))
            await disk.write("a", b"x")
            disk.fail_syncs = True
            with self.assertRaises(DiskError):
                await disk.sync("a")

        run_virtual(main())

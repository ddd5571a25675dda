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

    def contents_after_power_loss(self, change, *, name="a"):
        """Return what a file may hold after a change and a power loss.

        Before, it holds "old", synced.
        """

        async def main(seed):
            disk = FakeDisk(rng=random.Random(seed))
            await disk.write("a", b"old")
            await disk.sync("a")
            await disk.sync_folder()
            await change(disk)
            disk.lose_power()
            return await disk.read(name)

        return {run_virtual(main(seed)) for seed in range(50)}

    def test_new_file_needs_the_folder_synced(self):
        async def create(disk):
            await disk.write("b", b"x")
            await disk.sync("b")

        found = self.contents_after_power_loss(create, name="b")
        self.assertEqual({None, b"x"}, found)

    def test_unsynced_rename_and_removal_may_be_undone(self):
        found = self.contents_after_power_loss(self.replace)
        self.assertEqual({b"old", b"new"}, found)
        found = self.contents_after_power_loss(lambda disk: disk.remove("a"))
        self.assertEqual({b"old", None}, found)

    async def replace(self, disk):
        await disk.write("b", b"new")
        await disk.sync("b")
        await disk.rename("b", "a")

    def test_what_a_failed_sync_dropped_stays_lost(self):
        # Guards against a disk that is kinder than a kernel, which reports
        # success for the next sync of pages that it has dropped.
        async def sync_twice(disk, sync):
            disk.fail_syncs = True
            with self.assertRaises(DiskError):
                await sync()
            disk.mend()
            await sync()

        async def append(disk):
            await disk.append("a", b"er")
            await sync_twice(disk, lambda: disk.sync("a"))

        async def rename(disk):
            await self.replace(disk)
            await sync_twice(disk, disk.sync_folder)

        async def replace_again(disk):
            await rename(disk)
            await self.replace(disk)
            await disk.sync_folder()

        for change, found in (
            (append, b"old"),
            (rename, b"old"),
            (replace_again, b"new"),
        ):
            with self.subTest(change=change.__name__):
                self.assertEqual(
                    {found}, self.contents_after_power_loss(change)
                )

    def test_faults_raise_and_a_full_disk_takes_a_part(self):
        async def main():
            disk = FakeDisk(rng=random.Random(1))
            await disk.write("a", b"x")
            for fault, operation in (
                ("fail_syncs", lambda: disk.sync("a")),
                ("fail_syncs", disk.sync_folder),
                ("fail_folder_syncs", disk.sync_folder),
                ("fail_reads", lambda: disk.read("a")),
                ("fail_reads", disk.list),
                ("fail_changes", lambda: disk.rename("a", "b")),
                ("fail_changes", lambda: disk.remove("a")),
                ("full", lambda: disk.append("a", b"y" * 100)),
            ):
                setattr(disk, fault, True)
                with self.subTest(fault), self.assertRaises(DiskError):
                    await operation()
                disk.mend()
            self.assertIn(len(await disk.read("a")), range(2, 101))
            disk.capacity = disk.used + 3
            with self.assertRaises(DiskError):
                await disk.append("a", b"long")
            self.assertEqual(disk.capacity, disk.used)

        run_virtual(main())

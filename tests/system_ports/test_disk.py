"""Tests of the disk over a folder."""

import asyncio
import os
import pathlib
import tempfile
import unittest
from unittest import mock

from burdockdrum.ports import DiskError
from burdockdrum.system_ports import FolderDisk


class FolderDiskTest(unittest.TestCase):
    """A folder that can't be used."""

    def test_folder_that_cannot_be_made_is_made_later(self):
        # Guards against a process that ends at its start on a full disk.
        async def main(parent):
            parent.write_bytes(b"in the way")
            disk = FolderDisk(folder=parent / "data")
            for operation in (disk.list(), disk.write("a", b"x")):
                with self.assertRaises(DiskError):
                    await operation
            parent.unlink()
            await disk.write("a", b"x")
            self.assertEqual(["a"], await disk.list())

        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(main(pathlib.Path(folder) / "parent"))

    def test_file_that_cannot_be_looked_up_is_no_missing_one(self):
        # Guards against a process that ends at its start on a failing disk,
        # and against one that takes a file for lost.
        async def main(folder):
            disk = FolderDisk(folder=folder)
            self.assertIsNone(await disk.read("missing"))
            with self.assertRaises(DiskError):
                await disk.read("x" * 300)

        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(main(pathlib.Path(folder)))

    def test_folder_is_made_durably(self):
        # Guards against a folder that a power loss removes with all that
        # was synced in it.
        synced = []
        real_open = os.open

        def open_path(path, flags):
            synced.append(path)
            return real_open(path, flags)

        async def main(folder):
            disk = FolderDisk(folder=folder / "made" / "data")
            failed = mock.patch("os.fsync", side_effect=OSError("failed"))
            with failed, self.assertRaises(DiskError):
                await disk.list()
            with mock.patch("os.open", open_path):
                await disk.list()
            self.assertEqual({folder, folder / "made"}, set(synced))

        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(main(pathlib.Path(folder)))

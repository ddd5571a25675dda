"""Tests of storage after crashes, torn writes and corruption."""

import asyncio
import contextlib
import random
import unittest

from loguru import logger
import msgspec

from burdockdrum.consensus import Configuration
from burdockdrum.consensus import CorruptLog
from burdockdrum.consensus.records import encode_frame
from burdockdrum.consensus.records import Entry
from burdockdrum.consensus.records import EntryKind
from burdockdrum.consensus.records import FORMAT_VERSION
from burdockdrum.consensus.records import HardState
from burdockdrum.consensus.snapshot import Snapshot
from burdockdrum.consensus.snapshot import SnapshotStore
from burdockdrum.consensus.storage import Storage
from burdockdrum.testing import FakeDisk
from burdockdrum.testing import run_virtual
from burdockdrum.testing import VirtualClock
from tests.consensus.storage_lives import Crash
from tests.consensus.storage_lives import CrashingDisk
from tests.consensus.storage_lives import StorageLives

FIRST_SEGMENT = "log-0000000000000001"
MEMBERS = Configuration(cluster_id="x", members=())


def entry(index, term=1, data=b"data"):
    return Entry(index, term, EntryKind.COMMAND, data)


async def open_storage(disk, *, segment_bytes=1000, snapshot=None):
    storage = Storage(
        disk=disk,
        disk_id="d",
        segment_bytes=segment_bytes,
        clock=VirtualClock(),
    )
    await storage.open(snapshot, rewrites=())
    await storage._write_queue()
    return storage


def crash_after(storage, disk, changes):
    """Kill the process of a storage after a number of changes."""
    storage._files._disk = CrashingDisk(disk=disk, changes=changes)


async def write(storage, *entries):
    for item in entries:
        storage.append(item)
    await storage._write_queue()


class StorageTest(unittest.TestCase):
    """Reading back the segments."""

    def test_torn_tail_is_truncated_at_any_size(self):
        # Power is lost while the last frame is being written. All that was
        # synced before must be read back.
        async def main():
            disk = FakeDisk(rng=random.Random(1))
            storage = await open_storage(disk)
            await write(storage, entry(1), entry(2))
            whole = len(await disk.read(FIRST_SEGMENT))
            await write(storage, entry(3, data=b"x" * 50))
            content = await disk.read(FIRST_SEGMENT)
            for size in range(whole, len(content)):
                torn = FakeDisk(rng=random.Random(1))
                await torn.write(FIRST_SEGMENT, content[:size])
                opened = await open_storage(torn)
                self.assertEqual(2, opened.last_index)
                await write(opened, entry(3, term=2))
                opened = await open_storage(torn)
                self.assertEqual(2, opened.last_term)

        run_virtual(main())

    def test_damage_before_a_valid_frame_is_rejected(self):
        # Truncating the log at a corrupted synced record would let this
        # member vote without entries that it acknowledged.
        async def main():
            disk = FakeDisk(rng=random.Random(1))
            storage = await open_storage(disk)
            await write(storage, entry(1))
            await write(storage, entry(2))
            end = len(await disk.read(FIRST_SEGMENT))
            await write(storage, entry(3))
            for offset in range(end):
                disk.corrupt(FIRST_SEGMENT, offset)
                with self.assertRaises(CorruptLog):
                    await open_storage(disk)
                disk.corrupt(FIRST_SEGMENT, offset)
            self.assertEqual(3, (await open_storage(disk)).last_index)

        run_virtual(main())

    def test_segments_of_earlier_versions_are_read(self):
        # Guards against an upgrade that can't read its folder: their headers
        # don't say how much of the previous segment counts.
        async def main():
            disk = FakeDisk(rng=random.Random(1))
            for number in (1, 2):
                header = ["head", FORMAT_VERSION, number, "d"]
                records = [header, HardState(3, "b"), entry(number)]
                frame = encode_frame(msgspec.msgpack.encode(records))
                await disk.write(f"log-{number:016d}", frame)
            opened = await open_storage(disk)
            self.assertEqual(2, opened.last_index)
            self.assertEqual((3, "b"), (opened.term, opened.voted_for))

        run_virtual(main())

    def test_missing_segment_is_rejected(self):
        async def main():
            disk = FakeDisk(rng=random.Random(1))
            storage = await open_storage(disk, segment_bytes=100)
            for index in range(1, 20):
                await write(storage, entry(index))
            names = await disk.list()
            self.assertGreater(len(names), 3)
            await disk.remove(names[1])
            with self.assertRaises(CorruptLog):
                await open_storage(disk)

        run_virtual(main())

    def test_entry_replaces_those_at_and_after_its_index(self):
        async def main():
            disk = FakeDisk(rng=random.Random(1))
            storage = await open_storage(disk)
            await write(storage, entry(1), entry(2), entry(3))
            await write(storage, entry(2, term=2))
            for opened in (storage, await open_storage(disk)):
                self.assertEqual(2, opened.last_index)
                self.assertEqual(2, opened.durable_index)
                self.assertEqual(2, opened.term_at(2))

        run_virtual(main())

    def test_entry_replaced_during_its_sync_is_not_durable(self):
        # The replacement is not on the disk when the sync of the original
        # entry completes.
        async def main():
            disk = FakeDisk(rng=random.Random(1))
            storage = await open_storage(disk)
            storage.append(entry(1))
            storage.append(entry(2))
            honest = disk.sync

            async def replace_meanwhile(name):
                await honest(name)
                storage.append(entry(2, term=2))

            disk.sync = replace_meanwhile
            await storage._write_queue()
            self.assertEqual(1, storage.durable_index)

        run_virtual(main())

    def test_what_the_disk_refused_is_not_durable_until_written_anew(self):
        # Guards against a sync that reports success for pages it dropped.
        async def main(fault):
            disk = FakeDisk(rng=random.Random(1))
            storage = await open_storage(disk)
            await write(storage, entry(1))
            storage.append(entry(2))
            storage.set_hard_state(7, "b")
            waiting = asyncio.create_task(storage.sync())
            setattr(disk, fault, True)
            for _ in range(3):
                await asyncio.sleep(0)
                await storage._write_queue()
            self.assertEqual(1, storage.durable_index)
            self.assertIsNotNone(storage.refusal)
            self.assertFalse(waiting.done())
            setattr(disk, fault, False)
            await storage._write_queue()
            await waiting
            self.assertEqual(2, storage.durable_index)
            self.assertIsNone(storage.refusal)
            disk.lose_power()
            opened = await open_storage(disk)
            self.assertEqual(2, opened.last_index)
            self.assertEqual((7, "b"), (opened.term, opened.voted_for))

        for fault in ("fail_syncs", "full"):
            with self.subTest(fault=fault):
                run_virtual(main(fault))

    def test_crash_while_refused_records_are_written_anew_loses_nothing(self):
        # Guards against a torn segment that is no longer the last one.
        async def main(seed, fault, changes, is_power_lost):
            disk = FakeDisk(rng=random.Random(seed))
            storage = await open_storage(disk)
            await write(storage, entry(1))
            setattr(disk, fault, True)
            storage.append(entry(2))
            await storage._write_queue()
            setattr(disk, fault, False)
            crash_after(storage, disk, changes)
            is_written = False
            with contextlib.suppress(Crash):
                await storage._write_queue()
                is_written = True
            if is_power_lost:
                disk.lose_power()
            opened = await open_storage(disk)
            self.assertGreaterEqual(opened.last_index, 2 if is_written else 1)
            await write(opened, entry(opened.last_index + 1))
            again = await open_storage(disk)
            self.assertEqual(opened.last_index, again.last_index)

        for fault in ("fail_syncs", "full"):
            for changes in range(10):
                for seed in range(5):
                    for is_power_lost in (True, False):
                        run_virtual(main(seed, fault, changes, is_power_lost))

    def test_entries_read_back_are_synced(self):
        # A process killed between write and sync leaves the entry in the
        # page cache. Read back and acknowledged, a power loss would lose it.
        async def main():
            for seed in range(10):
                disk = FakeDisk(rng=random.Random(seed))
                storage = await open_storage(disk)
                storage.append(entry(1))
                crash_after(storage, disk, 1)
                with self.assertRaises(Crash):
                    await storage._write_queue()
                again = await open_storage(disk)
                self.assertEqual(1, again.durable_index)
                disk.lose_power()
                opened = await open_storage(disk)
                self.assertEqual(1, opened.last_index)

        run_virtual(main())


class CrashTest(unittest.TestCase):
    """A crash before each change to the disk."""

    def test_no_crash_loses_synced_data(self):
        # Writes entries, votes, snapshots and segments and compacts them,
        # with a crash before each change, with and without a power loss.
        async def main():
            changes = 0
            finished = False
            while not finished:
                for seed in range(4):
                    finished = await self._crash_after(changes, seed)
                changes += 1
            self.assertGreater(changes, 30)

        run_virtual(main())

    async def _crash_after(self, changes, seed):
        disk = FakeDisk(rng=random.Random(seed))
        acknowledged = {"index": 0, "term": 0}
        try:
            await self._work(
                CrashingDisk(disk=disk, changes=changes), acknowledged
            )
            finished = True
        except Crash:
            finished = False
        if seed:
            disk.lose_power()
        snapshots = SnapshotStore(disk=disk)
        snapshot = await snapshots.load()
        storage = await open_storage(
            disk, segment_bytes=200, snapshot=snapshot
        )
        self.assertGreaterEqual(storage.last_index, acknowledged["index"])
        self.assertGreaterEqual(storage.term, acknowledged["term"])
        for index in range(storage.base_index + 1, storage.last_index + 1):
            self.assertEqual(index, storage.entry(index).index)
        return finished

    async def _work(self, disk, acknowledged):
        snapshots = SnapshotStore(disk=disk)
        storage = await open_storage(disk, segment_bytes=200)
        for index in range(1, 31):
            storage.set_hard_state(index // 5, None)
            await write(storage, entry(index, term=index // 5))
            acknowledged.update(index=index, term=index // 5)
            if index % 10 == 0:
                await snapshots.save(
                    Snapshot.of(
                        index=index,
                        term=index // 5,
                        configuration=MEMBERS,
                        data=b"s" * index,
                    )
                )
                await storage.compact(index - 2)


class RestartTest(unittest.TestCase):
    """Starts that read back what a former process could not sync."""

    def setUp(self):
        logger.disable("burdockdrum")
        self.addCleanup(logger.enable, "burdockdrum")

    def test_start_does_not_trust_what_a_failed_sync_dropped(self):
        # Guards against counting records that a former process wrote, whose
        # failed sync dropped them: the next sync reports success.
        async def main(seed):
            disk = FakeDisk(rng=random.Random(seed))
            storage = await open_storage(disk)
            await write(storage, entry(1))
            disk.fail_syncs = True
            storage.set_hard_state(7, "b")
            await write(storage, entry(2))
            disk.fail_syncs = False
            opened = await open_storage(disk)
            durable = opened.durable_index
            state = (opened.term, opened.voted_for)
            disk.lose_power()
            again = await open_storage(disk)
            self.assertGreaterEqual(again.last_index, durable)
            self.assertEqual(state, (again.term, again.voted_for))

        for seed in range(20):
            with self.subTest(seed=seed):
                run_virtual(main(seed))

    def test_no_series_of_lives_loses_what_was_acknowledged(self):
        # Guards against faults, kills, starts and power losses in series,
        # which undo renamings of the identity and of snapshots as well.
        acknowledged = 0
        for seed in range(700):
            with self.subTest(seed=seed):
                lives = StorageLives(seed=seed)
                run_virtual(lives.run(lives=12))
                acknowledged += lives.acknowledged
        self.assertGreater(acknowledged, 5000)

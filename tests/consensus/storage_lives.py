"""Random lives of one storage: processes that are killed, disks that refuse.

What was acknowledged in any life has to be there in each later one.
"""

import contextlib
import random

from burdockdrum.consensus import Configuration
from burdockdrum.consensus.identity import IdentityFile
from burdockdrum.consensus.records import Entry
from burdockdrum.consensus.records import EntryKind
from burdockdrum.consensus.snapshot import Snapshot
from burdockdrum.consensus.snapshot import SnapshotStore
from burdockdrum.consensus.storage import Storage
from burdockdrum.ports import DiskError
from burdockdrum.testing import FakeDisk
from burdockdrum.testing import VirtualClock
from tests.consensus.checker import Violation

CONFIGURATION = Configuration(cluster_id="x", members=())


class Crash(Exception):
    """The process is killed."""


class CrashingDisk:
    """A disk whose process is killed after a number of changes."""

    def __init__(self, *, disk, changes):
        self._disk = disk
        self._left = changes

    def __getattr__(self, name):
        method = getattr(self._disk, name)
        if name in ("read", "list"):
            return method

        async def count(*arguments):
            if self._left == 0:
                raise Crash
            self._left -= 1
            return await method(*arguments)

        return count


class StorageLives:
    """A series of processes over one disk, and what they acknowledged."""

    def __init__(self, *, seed):
        self._rng = random.Random(seed)
        self._disk = FakeDisk(rng=random.Random(seed))
        self._terms = []
        self._vote_by_term = {}
        self._term = 0
        self._committed = 0
        self.acknowledged = 0

    async def run(self, *, lives):
        """Run a number of processes, and one that is not killed.

        :raises Violation: if something acknowledged was lost
        """
        for _ in range(lives):
            disk = CrashingDisk(
                disk=self._disk, changes=self._rng.randrange(60)
            )
            with contextlib.suppress(Crash, DiskError):
                await self._live(disk)
            if self._rng.random() < 0.4:
                self._disk.lose_power()
            if self._rng.random() < 0.7:
                self._set_faults()
        self._set_faults()
        await self._open(self._disk)

    def _set_faults(self, *, fail_syncs=False, full=False):
        self._disk.fail_syncs = fail_syncs
        self._disk.full = full

    async def _open(self, disk):
        snapshots = SnapshotStore(disk=disk)
        identity = await IdentityFile.open(disk=disk, vm_id="a", rng=self._rng)
        snapshot = await snapshots.load()
        storage = Storage(
            disk=disk,
            disk_id=identity.current.disk_id,
            segment_bytes=150,
            clock=VirtualClock(),
        )
        await storage.open(snapshot)
        self._check(storage)
        return storage, snapshots

    def _check(self, storage):
        if storage.last_index < len(self._terms):
            raise Violation(f"{len(self._terms)} acknowledged, not there")
        for index in range(storage.base_index + 1, len(self._terms) + 1):
            if storage.term_at(index) != self._terms[index - 1]:
                raise Violation(f"entry {index} is not the acknowledged one")
        if storage.term < self._term:
            raise Violation(f"term {self._term} is forgotten")
        vote = self._vote_by_term.get(storage.term)
        if vote is not None and storage.voted_for != vote:
            raise Violation(f"the vote for {vote} is forgotten")

    async def _live(self, disk):
        storage, snapshots = await self._open(disk)
        self._acknowledge(storage)
        while True:
            match self._rng.randrange(8):
                case 0:
                    self._set_faults(fail_syncs=True)
                case 1:
                    self._set_faults(full=True)
                case 2 | 3:
                    self._set_faults()
                case 4 if storage.refusal is None:
                    await self._take_snapshot(storage, snapshots)
                case 5:
                    vote = self._rng.choice(("a", "b", None))
                    storage.set_hard_state(storage.term + 1, vote)
                    self._replace_some(storage)
                case _:
                    self._append(storage, storage.last_index + 1)
            await storage._write_queue()
            self._acknowledge(storage)

    def _append(self, storage, index):
        data = b"d" * self._rng.randrange(40)
        storage.append(Entry(index, storage.term, EntryKind.COMMAND, data))

    def _replace_some(self, storage):
        """Overwrite what isn't committed, as another leader does."""
        first = self._rng.randint(self._committed, storage.last_index) + 1
        first = max(first, storage.base_index + 1)
        del self._terms[first - 1 :]
        self._append(storage, first)

    async def _take_snapshot(self, storage, snapshots):
        self._committed = max(
            self._committed, self._rng.randint(0, storage.durable_index)
        )
        term = storage.term_at(self._committed)
        if not term:
            return
        snapshot = Snapshot.of(
            index=self._committed,
            term=term,
            configuration=CONFIGURATION,
            data=b"s" * self._rng.randrange(40),
        )
        with contextlib.suppress(DiskError):
            await snapshots.save(snapshot)
            await storage.compact(self._committed - self._rng.randrange(3))

    def _acknowledge(self, storage):
        if storage.refusal is not None:
            return
        self._term = storage.term
        if storage.voted_for is not None:
            self._vote_by_term[storage.term] = storage.voted_for
        for index in range(len(self._terms) + 1, storage.durable_index + 1):
            term = storage.term_at(index)
            self._terms.append(term)
            self.acknowledged += 1

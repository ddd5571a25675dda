"""Random lives of one storage: processes that are killed, disks that refuse.

What was acknowledged in any life has to be there in each later one.
"""

import contextlib
import random

import msgspec

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

FAULTS = (
    "fail_syncs",
    "fail_folder_syncs",
    "fail_reads",
    "fail_changes",
    "full",
)
CONFIGURATION = Configuration(cluster_id="x", members=())


class Crash(Exception):
    """The process is killed."""


class CrashingDisk:
    """A disk whose process is killed after a number of changes."""

    def __init__(self, *, disk, changes, before_change=lambda: None):
        self._disk = disk
        self._left = changes
        self._before_change = before_change

    def __getattr__(self, name):
        method = getattr(self._disk, name)
        if name in ("read", "list"):
            return method

        async def count(*arguments):
            if self._left == 0:
                raise Crash
            self._left -= 1
            self._before_change()
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
        self._identity = None
        # The leader repeats a snapshot until it is installed.
        self._installing = None
        self._is_formed = False
        self.acknowledged = 0

    async def run(self, *, lives):
        """Run a number of processes, and one that is not killed.

        :raises Violation: if something acknowledged was lost
        """
        for _ in range(lives):
            disk = CrashingDisk(
                disk=self._disk,
                changes=self._rng.randrange(120),
                before_change=self._change_faults,
            )
            with contextlib.suppress(Crash, DiskError):
                await self._live(disk)
            if self._rng.random() < 0.4:
                self._disk.lose_power()
        self._disk.mend()
        await self._open(self._disk)

    def _change_faults(self):
        if self._rng.random() < 0.08:
            self._disk.mend()
            fault = self._rng.choice((None, None, *FAULTS))
            if fault:
                setattr(self._disk, fault, True)

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
        await storage.open(
            snapshot, rewrites=(identity.rewrite, snapshots.rewrite)
        )
        self._check(storage)
        if self._is_formed and not identity.current.formed:
            raise Violation("the cluster is forgotten")
        self._identity = identity
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
        await storage._write_queue()
        self._acknowledge(storage)
        while True:
            choice = self._rng.randrange(8)
            if self._installing or choice == 0:
                if storage.refusal is None:
                    await self._install_snapshot(storage, snapshots)
                choice = None
            match choice:
                case None:
                    pass
                case 1 if storage.refusal is None:
                    await self._take_snapshot(storage, snapshots)
                case 2:
                    vote = self._rng.choice(("a", "b", None))
                    storage.set_hard_state(storage.term + 1, vote)
                    self._replace_some(storage)
                case 3 if self._rng.random() < 0.3:
                    await self._form()
                case _:
                    self._append(storage, storage.last_index + 1)
            await storage._write_queue()
            self._acknowledge(storage)

    def _append(self, storage, index):
        data = b"d" * self._rng.randrange(40)
        storage.append(Entry(index, storage.term, EntryKind.COMMAND, data))

    def _replace_some(self, storage):
        """Overwrite what isn't committed, as another leader does."""
        last = storage.last_index
        first = self._rng.randint(min(self._committed, last), last) + 1
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
        with contextlib.suppress(DiskError):
            await snapshots.save(self._snapshot(self._committed, term))
            await storage.compact(self._committed - self._rng.randrange(3))

    async def _install_snapshot(self, storage, snapshots):
        """Install a snapshot after the last entry, as the leader's."""
        if self._installing is None:
            self._installing = self._snapshot(
                storage.last_index + self._rng.randint(1, 5),
                max(storage.term, 1),
            )
        snapshot = self._installing
        latest = snapshots.latest
        with contextlib.suppress(DiskError):
            if latest is None or latest.index < snapshot.index:
                await snapshots.save(snapshot)
            if storage.term_at(snapshot.index) != snapshot.term:
                storage.reset(snapshot.index, snapshot.term)
            self._committed = snapshot.index
            self._installing = None

    async def _form(self):
        with contextlib.suppress(DiskError):
            formed = msgspec.structs.replace(
                self._identity.current, formed=True
            )
            await self._identity.save(formed)

    def _snapshot(self, index, term):
        data = b"s" * self._rng.randrange(40)
        return Snapshot.of(
            index=index, term=term, configuration=CONFIGURATION, data=data
        )

    def _acknowledge(self, storage):
        if storage.refusal is not None:
            return
        self._is_formed = self._identity.current.formed
        self._term = storage.term
        if storage.voted_for is not None:
            self._vote_by_term[storage.term] = storage.voted_for
        for index in range(len(self._terms) + 1, storage.durable_index + 1):
            term = storage.term_at(index)
            self._terms.append(term)
            self.acknowledged += 1

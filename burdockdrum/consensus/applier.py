"""Apply what is committed, take snapshots and take in the leader's."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
import math

from burdockdrum.consensus.interface import Applied
from burdockdrum.consensus.interface import NotAccepted
from burdockdrum.consensus.interface import OutcomeUnknown
from burdockdrum.consensus.interface import StateMachine
from burdockdrum.consensus.records import Entry
from burdockdrum.consensus.records import EntryKind
from burdockdrum.consensus.replica import Replica
from burdockdrum.consensus.signals import Signal
from burdockdrum.consensus.snapshot import Snapshot
from burdockdrum.ports import DiskError

# Other tasks get a turn after so many entries; heartbeats must not wait for
# a long catch-up.
_APPLY_BATCH = 64


@dataclass(kw_only=True)
class Waiter:
    """A proposal that waits for its entry.

    ``replaced_from`` is the index from which another leader has replaced
    the log that the entry stands in, and ``replaced_term`` what was there.
    """

    term: int
    future: asyncio.Future[Applied]
    replaced_from: float = math.inf
    replaced_term: int = 0


class Applier:
    """The state machine of one member and how far it has come."""

    def __init__(
        self, *, replica: Replica, state_machine: StateMachine
    ) -> None:
        """Restore the newest snapshot."""
        self._replica = replica
        self._state_machine = state_machine
        self.listeners: list[Callable[[int], None]] = []
        self._waiters_by_index: dict[int, Waiter] = {}
        replica.replaced = self._note_replaced
        self._snapshot_lock = asyncio.Lock()
        self._bytes_since_snapshot = 0
        self.applied_index = 0
        self.changed = Signal()
        snapshot = replica.snapshots.latest
        if snapshot is not None:
            state_machine.restore(snapshot.data)
            self.applied_index = snapshot.index
            replica.commit(snapshot.index)

    def expect(self, entry: Entry) -> asyncio.Future[Applied]:
        """Return the future result of an entry that was just appended."""
        waiter = Waiter(term=entry.term, future=asyncio.Future())
        self._waiters_by_index[entry.index] = waiter
        return waiter.future

    async def run(self) -> None:
        """Apply committed entries until cancelled."""
        while True:
            if self.applied_index < self._replica.commit_index:
                self._apply_batch()
                self.changed.fire()
                await self._replica.clock.sleep(0)
            else:
                await self._replica.commit_changed.wait()

    async def run_snapshots(self) -> None:
        """Take a snapshot whenever enough was applied, until cancelled."""
        while self._replica.storage.failure is None:
            await self.changed.wait()
            if self._is_snapshot_due():
                await self._take_snapshot()

    async def wait_for(self, index: int) -> None:
        """Wait until an index is applied here."""
        while self.applied_index < index:
            await self.changed.wait()

    async def install(self, snapshot: Snapshot) -> None:
        """Take in the leader's snapshot.

        It is on the synced disk when this returns.
        """
        async with self._snapshot_lock:
            latest = self._replica.snapshots.latest
            if latest is None or latest.index < snapshot.index:
                try:
                    await self._replica.snapshots.save(snapshot)
                except DiskError as error:
                    self._replica.storage.fail(f"the disk failed: {error}")
                    raise
            self._replace_log(snapshot)
        await self._replica.storage.sync()

    def _replace_log(self, snapshot: Snapshot) -> None:
        replica = self._replica
        storage = replica.storage
        if storage.term_at(snapshot.index) != snapshot.term:
            if snapshot.index <= replica.commit_index:
                return
            storage.reset(snapshot.index, snapshot.term)
            replica.reset_history(snapshot.index, snapshot.configuration)
        if self.applied_index < snapshot.index:
            self._state_machine.restore(snapshot.data)
            self.applied_index = snapshot.index
            self._bytes_since_snapshot = 0
            self._give_up_waiters(snapshot.index)
            replica.timeline.record("snapshot.installed", index=snapshot.index)
            self._tell_listeners()
        replica.commit(snapshot.index)
        self.changed.fire()

    def _apply_batch(self) -> None:
        replica = self._replica
        end = min(
            replica.commit_index,
            self.applied_index + _APPLY_BATCH,
            replica.storage.last_index,
        )
        while self.applied_index < end:
            entry = replica.storage.entry(self.applied_index + 1)
            result = b""
            if entry.kind is EntryKind.COMMAND:
                result = self._state_machine.apply(entry.index, entry.data)
            self.applied_index = entry.index
            self._bytes_since_snapshot += len(entry.data)
            self._resolve(entry, result)
            self._tell_listeners()

    def _resolve(self, entry: Entry, result: bytes) -> None:
        waiter = self._waiters_by_index.get(entry.index)
        if waiter is not None and waiter.term == entry.term:
            del self._waiters_by_index[entry.index]
            if not waiter.future.done():
                applied = Applied(index=entry.index, result=result)
                waiter.future.set_result(applied)
        self._refuse_after(entry)

    def _note_replaced(self, index: int, term: int) -> None:
        for known, waiter in self._waiters_by_index.items():
            if known >= index and index < waiter.replaced_from:
                waiter.replaced_from = index
                waiter.replaced_term = term

    def _refuse_after(self, entry: Entry) -> None:
        """Refuse the entries that a committed one has replaced.

        Two entries can't both be committed at one index, nor any that
        followed the one that was not. Before the commit nothing is proved:
        another leader may still hold what was replaced here.
        """
        for index, waiter in list(self._waiters_by_index.items()):
            if waiter.replaced_from != entry.index:
                continue
            if waiter.replaced_term != entry.term:
                del self._waiters_by_index[index]
                if not waiter.future.done():
                    waiter.future.set_exception(
                        NotAccepted(f"entry {index} went to another leader")
                    )

    def _give_up_waiters(self, index: int) -> None:
        for known in [i for i in self._waiters_by_index if i <= index]:
            waiter = self._waiters_by_index.pop(known)
            if not waiter.future.done():
                waiter.future.set_exception(
                    OutcomeUnknown(f"entry {known} is inside a snapshot")
                )

    def _tell_listeners(self) -> None:
        for callback in self.listeners:
            callback(self.applied_index)

    def _is_snapshot_due(self) -> bool:
        settings = self._replica.settings
        latest = self._replica.snapshots.latest
        since = self.applied_index - (latest.index if latest else 0)
        return (
            since >= settings.snapshot_every_entries
            or self._bytes_since_snapshot >= settings.snapshot_every_bytes
        )

    async def _take_snapshot(self) -> None:
        replica = self._replica
        async with self._snapshot_lock:
            index = self.applied_index
            term = replica.storage.term_at(index)
            if term is None:
                return
            snapshot = Snapshot.of(
                index=index,
                term=term,
                configuration=replica.history.at(index),
                data=self._state_machine.snapshot(),
            )
            self._bytes_since_snapshot = 0
            try:
                await replica.snapshots.save(snapshot)
                await replica.storage.compact(
                    index - replica.settings.keep_entries
                )
            except DiskError as error:
                replica.storage.fail(f"the disk failed: {error}")
                return
        replica.timeline.record("snapshot.taken", index=index)

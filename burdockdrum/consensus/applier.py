"""Applies committed entries, and takes and installs snapshots."""

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
from burdockdrum.consensus.signals import wait_until
from burdockdrum.consensus.snapshot import Snapshot
from burdockdrum.consensus.storage import RETRY_SECONDS
from burdockdrum.logs import OutageLog
from burdockdrum.ports import DiskError

# Yields to other tasks after each batch, so that a long catch-up does not
# delay heartbeats.
_APPLY_BATCH_ENTRIES = 64
# While the disk refuses a snapshot, each pause is twice the former one: on a
# full disk an attempt takes, for a moment, the room that the log needs.
_MAX_RETRY_SECONDS = 8.0


@dataclass(kw_only=True)
class PendingProposal:
    """A proposal whose entry is not applied yet.

    If another leader has overwritten the log at or before the entry,
    ``replaced_from`` is the first index that was overwritten and
    ``replaced_term`` the term of the entry that was there.
    """

    term: int
    future: asyncio.Future[Applied]
    replaced_from: float = math.inf
    replaced_term: int = 0


class Applier:
    """Applies the log to the state machine of one member."""

    def __init__(
        self, *, replica: Replica, state_machine: StateMachine
    ) -> None:
        """Restore the latest snapshot, if there is one."""
        self._replica = replica
        self._state_machine = state_machine
        self.listeners: list[Callable[[int], None]] = []
        self._pending_by_index: dict[int, PendingProposal] = {}
        replica.on_entry_replaced = self._record_replacement
        self._snapshot_lock = asyncio.Lock()
        self._bytes_since_snapshot = 0
        # Whether files that the latest snapshot covers may be left.
        self._is_removal_due = replica.snapshots.latest is not None
        self._saving = OutageLog(
            failed="snapshot.not_saved",
            recovered="snapshot.saved",
            read_time=replica.clock.monotonic,
        )
        self._removing = OutageLog(
            failed="log.not_compacted",
            recovered="log.compacted",
            read_time=replica.clock.monotonic,
        )
        self._to_install: Snapshot | None = None
        self._is_installing = False
        # Up to where snapshots of a leader were installed, and are synced.
        self._installed_index = 0
        self._install_requested = Signal()
        self._install_ended = Signal()
        self.applied_index = 0
        self.changed = Signal()
        snapshot = replica.snapshots.latest
        if snapshot is not None:
            state_machine.restore(snapshot.data)
            self.applied_index = snapshot.index
            replica.commit(snapshot.index)

    def result_of(self, entry: Entry) -> asyncio.Future[Applied]:
        """Return a future with the result of an entry just appended."""
        pending = PendingProposal(term=entry.term, future=asyncio.Future())
        self._pending_by_index[entry.index] = pending
        return pending.future

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
        """Take a snapshot whenever one is due, until cancelled."""
        while True:
            await self.changed.wait()
            pause = RETRY_SECONDS
            while not (
                await self._take_due_snapshot()
                and await self._remove_covered()
            ):
                await self._replica.clock.sleep(pause)
                pause = min(2 * pause, _MAX_RETRY_SECONDS)

    async def wait_for(self, index: int) -> None:
        """Wait until an index is applied on this member."""
        while self.applied_index < index:
            await self.changed.wait()

    async def install(self, snapshot: Snapshot, *, seconds: float) -> bool:
        """Install the leader's snapshot; it is synced on return.

        :param seconds: to wait at most
        :returns: False, after this time, if the disk refuses it or stalls;
            whoever sent it repeats it
        """
        if not self._is_installing:
            self._to_install = snapshot
            self._install_requested.fire()
        clock = self._replica.clock
        deadline = clock.monotonic() + seconds
        while (
            self._installed_index < snapshot.index
            and clock.monotonic() < deadline
        ):
            await wait_until(clock, deadline, self._install_ended)
        return self._installed_index >= snapshot.index

    async def run_installs(self) -> None:
        """Install the snapshots that the leader sends, until cancelled."""
        pause = RETRY_SECONDS
        while True:
            if self._to_install is None:
                await self._install_requested.wait()
                continue
            snapshot, self._to_install = self._to_install, None
            self._is_installing = True
            is_installed = await self._try_install(snapshot)
            self._is_installing = False
            if is_installed:
                self._installed_index = snapshot.index
                self._install_ended.fire()
                pause = RETRY_SECONDS
            else:
                await self._replica.clock.sleep(pause)
                pause = min(2 * pause, _MAX_RETRY_SECONDS)

    async def _try_install(self, snapshot: Snapshot) -> bool:
        async with self._snapshot_lock:
            latest = self._replica.snapshots.latest
            is_newer = latest is None or latest.index < snapshot.index
            if is_newer and not await self._save(snapshot):
                return False
            self._replace_log(snapshot)
        seconds = self._replica.settings.call_timeout_seconds
        return await self._replica.durability.sync(seconds=seconds)

    async def _save(self, snapshot: Snapshot) -> bool:
        """Save a snapshot; return False if the disk refuses it."""
        snapshots = self._replica.snapshots
        try:
            await snapshots.save(snapshot)
        except DiskError as error:
            # The snapshot may be durable, and an earlier one not removed.
            if snapshots.latest is not snapshot:
                self._saving.fail(str(error))
                return False
        self._saving.succeed()
        self._is_removal_due = True
        return True

    async def _remove_covered(self) -> bool:
        """Remove what the latest snapshot covers.

        :returns: False if the disk refuses it, or may lose the snapshot
        """
        replica = self._replica
        latest = replica.snapshots.latest
        if not self._is_removal_due or latest is None:
            return True
        if replica.snapshots.is_doubtful:
            return False
        async with self._snapshot_lock:
            try:
                await replica.snapshots.remove_earlier()
                await replica.storage.compact(self._last_covered(latest.index))
            except DiskError as error:
                self._removing.fail(str(error))
                return False
        self._removing.succeed()
        self._is_removal_due = False
        return True

    def _last_covered(self, index: int) -> int:
        """Return up to where entries are removed after a snapshot."""
        storage, settings = self._replica.storage, self._replica.settings
        first = max(storage.base_index, index - settings.keep_entries)
        kept_bytes = 0
        while index > first:
            kept_bytes += len(storage.entry(index).data)
            if kept_bytes > settings.keep_bytes:
                break
            index -= 1
        return index

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
            self._abandon_pending(snapshot.index)
            replica.timeline.record("snapshot.installed", index=snapshot.index)
            self._notify_listeners()
        replica.commit(snapshot.index)
        self.changed.fire()

    def _apply_batch(self) -> None:
        replica = self._replica
        end = min(
            replica.commit_index,
            self.applied_index + _APPLY_BATCH_ENTRIES,
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
            self._notify_listeners()

    def _resolve(self, entry: Entry, result: bytes) -> None:
        pending = self._pending_by_index.get(entry.index)
        if pending is not None and pending.term == entry.term:
            del self._pending_by_index[entry.index]
            if not pending.future.done():
                applied = Applied(index=entry.index, result=result)
                pending.future.set_result(applied)
        self._reject_replaced(entry)

    def _record_replacement(self, index: int, term: int) -> None:
        for known, pending in self._pending_by_index.items():
            if known >= index and index < pending.replaced_from:
                pending.replaced_from = index
                pending.replaced_term = term

    def _reject_replaced(self, entry: Entry) -> None:
        """Reject the proposals whose entries a committed entry has replaced.

        Only one entry can be committed at an index, and none that followed
        an overwritten one. Before the commit nothing is certain: another
        leader may still hold the entry that was overwritten here.
        """
        for index, pending in list(self._pending_by_index.items()):
            if pending.replaced_from != entry.index:
                continue
            if pending.replaced_term != entry.term:
                del self._pending_by_index[index]
                if not pending.future.done():
                    pending.future.set_exception(
                        NotAccepted(
                            f"entry {index} was overwritten by another leader"
                        )
                    )

    def _abandon_pending(self, index: int) -> None:
        for known in [i for i in self._pending_by_index if i <= index]:
            pending = self._pending_by_index.pop(known)
            if not pending.future.done():
                pending.future.set_exception(
                    OutcomeUnknown(f"entry {known} is covered by a snapshot")
                )

    def _notify_listeners(self) -> None:
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

    async def _take_due_snapshot(self) -> bool:
        """Take a snapshot if one is due.

        :returns: False if the disk refuses it, or the log that it would
            compact is not synced
        """
        if not self._is_snapshot_due():
            return True
        replica = self._replica
        async with self._snapshot_lock:
            seconds = replica.settings.call_timeout_seconds
            is_synced = await replica.durability.sync(seconds=seconds)
            index = self.applied_index
            term = replica.storage.term_at(index)
            if term is None:
                return True
            if not is_synced or replica.storage.durable_index < index:
                return False
            snapshot = Snapshot.of(
                index=index,
                term=term,
                configuration=replica.history.at(index),
                data=self._state_machine.snapshot(),
            )
            covered_bytes = self._bytes_since_snapshot
            if not await self._save(snapshot):
                return False
            self._bytes_since_snapshot -= covered_bytes
        replica.timeline.record("snapshot.taken", index=index)
        return True

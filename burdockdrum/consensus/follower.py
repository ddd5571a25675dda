"""Handles entries and snapshots received from the leader."""

from dataclasses import dataclass
from dataclasses import field

from burdockdrum.consensus.applier import Applier
from burdockdrum.consensus.founding import Founding
from burdockdrum.consensus.messages import AppendReply
from burdockdrum.consensus.messages import AppendRequest
from burdockdrum.consensus.messages import MemberMessage
from burdockdrum.consensus.messages import RollbackNotice
from burdockdrum.consensus.messages import SnapshotReply
from burdockdrum.consensus.messages import SnapshotRequest
from burdockdrum.consensus.records import Entry
from burdockdrum.consensus.replica import Replica
from burdockdrum.consensus.snapshot import digest_of
from burdockdrum.consensus.snapshot import Snapshot
from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender

# A snapshot is installed, and the disk awaited up to twice, for one reply.
_SNAPSHOT_SHARE = 0.25


@dataclass(kw_only=True)
class PartialSnapshot:
    """The chunks of a snapshot received so far."""

    digest: bytes
    data: bytearray = field(default_factory=bytearray)


class Follower:
    """The follower's side of replication."""

    def __init__(
        self,
        *,
        replica: Replica,
        applier: Applier,
        founding: Founding,
        peers: Peers,
    ) -> None:
        """Register the handlers for a leader's requests."""
        self._replica = replica
        self._applier = applier
        self._founding = founding
        self._partial: PartialSnapshot | None = None
        peers.register(AppendRequest, self._on_append)
        peers.register(SnapshotRequest, self._on_snapshot)
        peers.register(RollbackNotice, self._on_rollback)

    async def _on_append(
        self, sender: Sender, message: AppendRequest
    ) -> Message | None:
        replica = self._replica
        storage = replica.storage
        if not await self._accept_leader(message):
            return None
        if message.term < storage.term:
            return self._reject(0)
        replica.follow(message.term, message.sender_id)
        if not replica.durability.has_room:
            # What it can't acknowledge must not pile up in memory.
            return self._acknowledge_contact(message)
        if not self._has_previous_entry(message):
            retry_index = self._find_retry_index(message)
            if not await self._sync_for_reply():
                return self._acknowledge_contact(message, retry_index)
            return self._reject(retry_index)
        match_index = message.previous_index + len(message.entries)
        for entry in message.entries:
            self._append_if_missing(entry)
        # What the leader has committed is durable on a quorum, so that it may
        # be applied, and read, while the own disk is blocked.
        replica.commit(min(message.commit_index, match_index))
        # The reply counts towards the quorum, so the entries are synced first.
        if not await self._sync_for_reply():
            return self._acknowledge_contact(message)
        if storage.term != message.term:
            return self._reject(0)
        if match_index >= message.commit_index:
            replica.caught_up = True
            replica.replication_due.fire()
        return AppendReply(
            term=storage.term,
            accepted=True,
            counts=replica.admitted,
            last_index=storage.last_index,
            match_index=match_index,
        )

    async def _on_snapshot(
        self, sender: Sender, message: SnapshotRequest
    ) -> Message | None:
        replica = self._replica
        if not await self._accept_leader(message):
            return None
        if message.term >= replica.storage.term:
            replica.follow(message.term, message.sender_id)
            if replica.durability.blocked_because:
                # The leader repeats the request at once.
                seconds = replica.settings.call_timeout_seconds / 2
                await replica.clock.sleep(seconds)
                return self._acknowledge_snapshot_contact(message)
            if await self._receive_chunk(message):
                return self._snapshot_reply(message.size, done=True)
        if not await self._sync_for_reply(share=_SNAPSHOT_SHARE):
            return self._acknowledge_snapshot_contact(message)
        return self._snapshot_reply(self._received_bytes, done=False)

    async def _on_rollback(
        self, sender: Sender, message: RollbackNotice
    ) -> Message | None:
        if await self._accept_leader(message):
            self._replica.halt(
                f"this disk ends at entry {message.found_index}, but entry "
                f"{message.acknowledged_index} was acknowledged from it: it "
                "holds an older image. Remove this member, empty the data "
                "folder and add it again."
            )
        return None

    async def _accept_leader(self, message: MemberMessage) -> bool:
        replica = self._replica
        if message.target_disk_id != replica.disk_id:
            return False
        if not self._founding.accepts_cluster(message.cluster_id):
            return False
        if not replica.identity.current.formed:
            await self._founding.join(message.cluster_id)
        return replica.identity.current.formed and replica.halt_reason is None

    def _has_previous_entry(self, message: AppendRequest) -> bool:
        # Committed entries are the same in the log of every later leader.
        if message.previous_index <= self._replica.commit_index:
            return True
        term = self._replica.storage.term_at(message.previous_index)
        return term == message.previous_term

    def _append_if_missing(self, entry: Entry) -> None:
        """Append an entry unless the log already has it.

        A delayed older request must not truncate the entries after it.
        """
        replica = self._replica
        if entry.index <= replica.commit_index:
            return
        if replica.storage.term_at(entry.index) != entry.term:
            replica.append_entry(entry)

    def _find_retry_index(self, message: AppendRequest) -> int:
        """Return the index from which the leader should retry.

        All entries of the conflicting term are skipped in one step
        (section 5.3 of the Raft paper).
        """
        storage = self._replica.storage
        if message.previous_index > storage.last_index:
            return storage.last_index + 1
        index = message.previous_index
        conflicting = storage.term_at(index)
        first = self._replica.commit_index + 1
        while index > first and storage.term_at(index - 1) == conflicting:
            index -= 1
        return index

    def _acknowledge_contact(
        self, message: AppendRequest, retry_index: int | None = None
    ) -> AppendReply | None:
        """Acknowledge the leader but none of its entries.

        The leader's lease needs only that this member withholds its vote,
        which it does without its disk. A term is told only once durable.

        :param retry_index: from where the leader should retry; None if it
            need not
        """
        replica = self._replica
        term = message.term
        if replica.storage.term != term:
            return None
        if not replica.durability.is_term_synced(term):
            return None
        return AppendReply(
            term=term,
            accepted=retry_index is None,
            counts=replica.admitted,
            last_index=replica.storage.last_index,
            retry_index=retry_index or 0,
            refusal=replica.durability.blocked_because,
        )

    def _acknowledge_snapshot_contact(
        self, message: SnapshotRequest
    ) -> SnapshotReply | None:
        """Acknowledge the leader while the disk is blocked."""
        replica = self._replica
        term = message.term
        if replica.storage.term != term:
            return None
        if not replica.durability.is_term_synced(term):
            return None
        return SnapshotReply(
            term=term,
            next_offset=self._received_bytes,
            done=False,
            counts=replica.admitted,
            refusal=replica.durability.blocked_because,
        )

    def _reject(self, retry_index: int) -> AppendReply:
        storage = self._replica.storage
        return AppendReply(
            term=storage.term,
            accepted=False,
            counts=self._replica.admitted,
            last_index=storage.last_index,
            retry_index=retry_index,
        )

    @property
    def _received_bytes(self) -> int:
        return len(self._partial.data) if self._partial else 0

    async def _sync_for_reply(self, *, share: float = 0.5) -> bool:
        """Wait for the disk for as long as the leader still gets the reply.

        :param share: of the time after which the call times out
        """
        seconds = self._replica.settings.call_timeout_seconds * share
        return await self._replica.durability.sync(seconds=seconds)

    async def _receive_chunk(self, message: SnapshotRequest) -> bool:
        """Add a chunk and install the snapshot once it is complete.

        :returns: whether the whole snapshot is synced
        """
        if message.index <= self._replica.commit_index:
            self._partial = None
            return (
                await self._sync_for_reply(share=_SNAPSHOT_SHARE)
                and self._replica.storage.durable_index >= message.index
            )
        partial = self._partial
        if partial is None or partial.digest != message.digest:
            partial = self._partial = PartialSnapshot(digest=message.digest)
        if message.offset == len(partial.data):
            partial.data.extend(message.data)
        if len(partial.data) < message.size:
            return False
        data = bytes(partial.data)
        if digest_of(data) != message.digest:
            self._partial = None
            return False
        timeout = self._replica.settings.call_timeout_seconds
        is_installed = await self._applier.install(
            Snapshot.of(
                index=message.index,
                term=message.index_term,
                configuration=message.configuration,
                data=data,
            ),
            seconds=timeout * _SNAPSHOT_SHARE,
        )
        # While the disk refuses it, the leader need not send it again.
        if is_installed and self._partial is partial:
            self._partial = None
        return is_installed and await self._sync_for_reply(
            share=_SNAPSHOT_SHARE
        )

    def _snapshot_reply(self, next_offset: int, *, done: bool) -> Message:
        return SnapshotReply(
            term=self._replica.storage.term,
            next_offset=next_offset,
            done=done,
            counts=self._replica.admitted,
        )

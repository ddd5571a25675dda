"""The leader's task for one other member.

It sends entries, heartbeats and, to a member that is too far behind, the
snapshot; and it keeps what that member has acknowledged.
"""

import math

from burdockdrum.consensus.membership import Member
from burdockdrum.consensus.messages import AppendReply
from burdockdrum.consensus.messages import AppendRequest
from burdockdrum.consensus.messages import RollbackNotice
from burdockdrum.consensus.messages import SnapshotReply
from burdockdrum.consensus.messages import SnapshotRequest
from burdockdrum.consensus.replica import Replica
from burdockdrum.consensus.signals import Signal
from burdockdrum.consensus.snapshot import Snapshot
from burdockdrum.peers import CallFailed
from burdockdrum.peers import Peers


class Replicator:
    """What one member holds, and the task that sends it the rest.

    ``acknowledged_at`` is when the last request that it answered was sent,
    by this VM's clock: the member heard of the leader then or later.
    """

    def __init__(
        self,
        *,
        replica: Replica,
        peers: Peers,
        member: Member,
        progressed: Signal,
    ) -> None:
        """Start from the end of the leader's log."""
        self._replica = replica
        self._peers = peers
        self._progressed = progressed
        self._term = replica.storage.term
        self._sent_at = -math.inf
        self._known_commit = 0
        self.member = member
        self.next_index = replica.storage.last_index + 1
        self.match_index = 0
        self.acknowledged_at = -math.inf
        self.wanted_at = -math.inf

    async def run(self) -> None:
        """Replicate until cancelled."""
        while True:
            try:
                if self._needs_snapshot():
                    await self._send_snapshot()
                else:
                    await self._send_entries()
            except CallFailed:
                # The call has waited its timeout, so this does not spin.
                continue
            await self._wait_for_work()

    async def _wait_for_work(self) -> None:
        replica = self._replica
        due = self._sent_at + replica.settings.heartbeat_seconds
        while not self._has_work() and replica.clock.monotonic() < due:
            await replica.send_wanted.wait_until(replica.clock, due)

    def _has_work(self) -> bool:
        replica = self._replica
        return (
            self.next_index <= replica.storage.last_index
            or self._known_commit < replica.commit_index
            or self.wanted_at > self._sent_at
        )

    def _needs_snapshot(self) -> bool:
        return self._replica.storage.term_at(self.next_index - 1) is None

    async def _send_entries(self) -> None:
        replica = self._replica
        storage = replica.storage
        previous = self.next_index - 1
        entries = storage.read_from(
            self.next_index, replica.settings.append_bytes
        )
        request = AppendRequest(
            **self._address_fields(),
            previous_index=previous,
            previous_term=storage.term_at(previous) or 0,
            commit_index=replica.commit_index,
            entries=entries,
        )
        sent_at = self._sent_at = replica.clock.monotonic()
        match_at_send = self.match_index
        reply = await self._peers.call(
            self.member.address,
            request,
            AppendReply,
            timeout=replica.settings.call_timeout_seconds,
        )
        if not self._note_answer(reply, sent_at):
            return
        if reply.accepted:
            self._known_commit = request.commit_index
            self._note_match(reply.match_index, reply.counts)
        elif reply.last_index < match_at_send:
            self._refuse_rollback(reply, match_at_send)
        else:
            self.next_index = max(
                self.match_index + 1,
                min(reply.retry_index, self.next_index - 1),
            )

    async def _send_snapshot(self) -> None:
        replica = self._replica
        snapshot = replica.snapshots.latest
        assert snapshot is not None, "compacted without a snapshot"
        offset = 0
        done = counts = False
        while not done:
            sent_at = self._sent_at = replica.clock.monotonic()
            reply = await self._peers.call(
                self.member.address,
                self._snapshot_part(snapshot, offset),
                SnapshotReply,
                timeout=replica.settings.call_timeout_seconds,
            )
            if not self._note_answer(reply, sent_at):
                return
            offset = reply.next_offset
            done = reply.done
            counts = reply.counts
        self._note_match(snapshot.index, counts)

    def _snapshot_part(
        self, snapshot: Snapshot, offset: int
    ) -> SnapshotRequest:
        size = self._replica.settings.snapshot_chunk_bytes
        return SnapshotRequest(
            **self._address_fields(),
            index=snapshot.index,
            index_term=snapshot.term,
            configuration=snapshot.configuration,
            digest=snapshot.digest,
            size=len(snapshot.data),
            offset=offset,
            data=snapshot.data[offset : offset + size],
        )

    def _address_fields(self) -> dict:
        replica = self._replica
        return {
            "cluster_id": replica.identity.current.cluster_id,
            "target_disk_id": self.member.disk_id,
            "term": self._term,
            "sender_id": replica.vm_id,
        }

    def _note_answer(
        self, reply: AppendReply | SnapshotReply, sent_at: float
    ) -> bool:
        """Note that the member answered.

        :returns: whether it still follows this leader
        """
        if reply.term != self._term:
            self._replica.observe_term(reply.term)
            return False
        if reply.counts:
            self.acknowledged_at = max(self.acknowledged_at, sent_at)
        self._progressed.fire()
        return True

    def _note_match(self, index: int, counts: bool) -> None:
        self.next_index = max(self.next_index, index + 1)
        if not counts:
            return
        self._replica.acknowledged(self.member.disk_id, self._term, index)
        self.match_index = max(self.match_index, index)
        self._progressed.fire()

    def _refuse_rollback(self, reply: AppendReply, acknowledged: int) -> None:
        # Within a term a follower's log only grows. One that went back was
        # put on an older image of its disk: entries that were counted on it
        # are gone, so it must not be counted again.
        replica = self._replica
        replica.timeline.record(
            "member.rolled_back",
            vm=self.member.vm_id,
            acknowledged=acknowledged,
            found=reply.last_index,
        )
        self._peers.send(
            self.member.address,
            RollbackNotice(
                **self._address_fields(),
                acknowledged_index=acknowledged,
                found_index=reply.last_index,
            ),
        )

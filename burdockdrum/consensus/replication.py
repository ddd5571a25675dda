"""The leader's task for one other member.

It sends entries, heartbeats and, to a member that is too far behind, the
snapshot; and it keeps what that member has acknowledged.
"""

import asyncio
import math

from burdockdrum.consensus.membership import Member
from burdockdrum.consensus.messages import AppendReply
from burdockdrum.consensus.messages import AppendRequest
from burdockdrum.consensus.messages import RollbackNotice
from burdockdrum.consensus.messages import SnapshotReply
from burdockdrum.consensus.messages import SnapshotRequest
from burdockdrum.consensus.records import Entry
from burdockdrum.consensus.replica import Replica
from burdockdrum.consensus.signals import Signal
from burdockdrum.consensus.signals import wait_until
from burdockdrum.consensus.snapshot import Snapshot
from burdockdrum.peers import CallFailed
from burdockdrum.peers import Peers

# Requests on their way to one member, and how many of the largest: more
# would only wait at a slow link until their calls are given up.
_WINDOW = 16
_WINDOW_APPENDS = 4


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
        next_index: int,
        progressed: Signal,
    ) -> None:
        """Start from an index that the member is believed to need."""
        self._replica = replica
        self._peers = peers
        self._progressed = progressed
        self._term = replica.storage.term
        self._sent_at = -math.inf
        self._sent_commit = 0
        self._in_flight = 0
        self._bytes_in_flight = 0
        self._window = 1
        self._answered = Signal()
        self.member = member
        self.next_index = next_index
        self.match_index = 0
        self.began_at = replica.clock.monotonic()
        self.acknowledged_at = -math.inf
        self.wanted_at = -math.inf

    async def run(self) -> None:
        """Replicate until cancelled.

        Requests don't wait for the answers to earlier ones, since a round
        trip between regions is far longer than the time between changes.
        """
        async with asyncio.TaskGroup() as group:
            while True:
                await self._wait_for_work()
                if not self._needs_snapshot():
                    request = self._next_request()
                    group.create_task(self._exchange(request))
                elif self._in_flight == 0:
                    await self._send_snapshot()
                else:
                    await self._answered.wait()

    async def _wait_for_work(self) -> None:
        replica = self._replica
        while True:
            if self._is_saturated():
                await self._answered.wait()
                continue
            due = self._sent_at + replica.settings.heartbeat_seconds
            if self._has_work() or replica.clock.monotonic() >= due:
                return
            await wait_until(
                replica.clock, due, replica.send_wanted, self._answered
            )

    def _is_saturated(self) -> bool:
        settings = self._replica.settings
        return (
            self._in_flight >= self._window
            or self._bytes_in_flight >= _WINDOW_APPENDS * settings.append_bytes
        )

    def _has_work(self) -> bool:
        replica = self._replica
        return (
            self.next_index <= replica.storage.last_index
            or self._sent_commit < replica.commit_index
            or self.wanted_at > self._sent_at
        )

    def _needs_snapshot(self) -> bool:
        return self._replica.storage.term_at(self.next_index - 1) is None

    async def _exchange(self, request: AppendRequest) -> None:
        sent_at = self._replica.clock.monotonic()
        match_at_send = self.match_index
        try:
            reply = await self._peers.call(
                self.member.address,
                request,
                AppendReply,
                timeout=self._replica.settings.call_timeout_seconds,
            )
            self._take_reply(request, reply, sent_at, match_at_send)
        except CallFailed:
            self._go_back(request.previous_index + 1)
        finally:
            self._in_flight -= 1
            self._bytes_in_flight -= _size_of(request.entries)
            self._answered.fire()

    def _next_request(self) -> AppendRequest:
        replica = self._replica
        storage = replica.storage
        previous = self.next_index - 1
        entries = storage.read_from(
            self.next_index, replica.settings.append_bytes
        )
        self.next_index += len(entries)
        self._in_flight += 1
        self._bytes_in_flight += _size_of(entries)
        self._sent_commit = replica.commit_index
        self._sent_at = replica.clock.monotonic()
        return AppendRequest(
            **self._address_fields(),
            previous_index=previous,
            previous_term=storage.term_at(previous) or 0,
            commit_index=replica.commit_index,
            entries=entries,
        )

    def _take_reply(
        self,
        request: AppendRequest,
        reply: AppendReply,
        sent_at: float,
        match_at_send: int,
    ) -> None:
        if not self._note_answer(reply, sent_at):
            return
        if reply.accepted:
            self._window = _WINDOW
            self._note_match(reply.match_index, reply.counts)
        elif reply.last_index < match_at_send:
            self._refuse_rollback(reply, match_at_send)
        else:
            self._go_back(min(reply.retry_index, request.previous_index))

    def _go_back(self, index: int) -> None:
        """Send again from an index, one request at a time at first."""
        self._window = 1
        self._sent_commit = 0
        self.next_index = max(
            self.match_index + 1, min(index, self.next_index)
        )

    async def _send_snapshot(self) -> None:
        replica = self._replica
        snapshot = replica.snapshots.latest
        assert snapshot is not None, "compacted without a snapshot"
        offset = 0
        done = counts = False
        while not done:
            sent_at = self._sent_at = replica.clock.monotonic()
            try:
                reply = await self._peers.call(
                    self.member.address,
                    self._snapshot_part(snapshot, offset),
                    SnapshotReply,
                    timeout=replica.settings.call_timeout_seconds,
                )
            except CallFailed:
                # The next request asks how much has come.
                return
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


def _size_of(entries: list[Entry]) -> int:
    return sum(len(entry.data) for entry in entries)

"""Replication from the leader to one other member.

Sends entries, heartbeats and, if the member is too far behind, the snapshot,
and tracks what the member has acknowledged.
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
from burdockdrum.logs import LoggedState
from burdockdrum.peers import CallFailed
from burdockdrum.peers import Peers

# Limits in flight to one member, in requests and in multiples of the largest
# append. More would only queue on a slow link until the calls time out.
_MAX_IN_FLIGHT_REQUESTS = 16
_MAX_IN_FLIGHT_APPENDS = 4


class Replicator:
    """Replicates the log to one member and tracks its progress.

    ``contact_at`` is when the last request that the member replied to was
    sent, by this VM's clock: the member received it then or later.
    ``acknowledged_at`` counts only replies of a member whose disk is not
    blocked.
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
        """Create it with the index at which replication starts."""
        self._replica = replica
        self._peers = peers
        self._progressed = progressed
        self._term = replica.storage.term
        self._sent_at = -math.inf
        self._sent_commit = 0
        self._in_flight = 0
        self._bytes_in_flight = 0
        self._window = 1
        self._reply_received = Signal()
        self.member = member
        self.next_index = next_index
        self.match_index = 0
        self.started_at = replica.clock.monotonic()
        self.contact_at = -math.inf
        self.acknowledged_at = -math.inf
        # Whether the member's disk was blocked at its last reply.
        self.is_blocked = False
        self.confirmation_requested_at = -math.inf
        self._failure = "nothing was sent yet"
        self._silence = LoggedState(
            begun="member.silent",
            ended="member.heard",
            read_time=replica.clock.monotonic,
        )

    async def run(self) -> None:
        """Replicate until cancelled.

        Requests are pipelined, since a round trip between regions takes far
        longer than the time between changes.
        """
        async with asyncio.TaskGroup() as group:
            while True:
                await self._wait_for_work()
                if not self._needs_snapshot():
                    request = self._next_request()
                    group.create_task(self._send_append(request))
                elif self._in_flight == 0:
                    await self._send_snapshot()
                else:
                    await self._reply_received.wait()

    def is_silent(self, seconds: float) -> bool:
        """Return whether no reply counted for so many seconds."""
        heard_at = max(self.acknowledged_at, self.started_at)
        return self._replica.clock.monotonic() - heard_at > seconds

    def log_silence(self, seconds: float) -> None:
        """Log once if no reply counted for so many seconds, and the end."""
        if self.is_silent(seconds):
            self._silence.report(
                member=self.member.vm_id,
                term=self._term,
                reason=self._failure,
            )
        else:
            self._silence.end(member=self.member.vm_id, term=self._term)

    async def _wait_for_work(self) -> None:
        replica = self._replica
        while True:
            if self._is_saturated():
                await self._reply_received.wait()
                continue
            due = self._sent_at + replica.settings.heartbeat_seconds
            if self._has_work() or replica.clock.monotonic() >= due:
                return
            await wait_until(
                replica.clock,
                due,
                replica.replication_due,
                self._reply_received,
            )

    def _is_saturated(self) -> bool:
        settings = self._replica.settings
        return (
            self._in_flight >= self._window
            or self._bytes_in_flight
            >= _MAX_IN_FLIGHT_APPENDS * settings.append_bytes
        )

    def _has_work(self) -> bool:
        replica = self._replica
        return (
            self.next_index <= replica.storage.last_index
            or self._sent_commit < replica.commit_index
            or self.confirmation_requested_at > self._sent_at
        )

    def _needs_snapshot(self) -> bool:
        return self._replica.storage.term_at(self.next_index - 1) is None

    async def _send_append(self, request: AppendRequest) -> None:
        sent_at = self._replica.clock.monotonic()
        match_at_send = self.match_index
        try:
            reply = await self._peers.call(
                self.member.address,
                request,
                AppendReply,
                timeout=self._replica.settings.call_timeout_seconds,
            )
            self._handle_reply(request, reply, sent_at, match_at_send)
        except CallFailed as error:
            self._failure = str(error)
            self._rewind(request.previous_index + 1)
        finally:
            self._in_flight -= 1
            self._bytes_in_flight -= _size_of(request.entries)
            self._reply_received.fire()

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
            **self._header_fields(),
            previous_index=previous,
            previous_term=storage.term_at(previous) or 0,
            commit_index=replica.commit_index,
            entries=entries,
        )

    def _handle_reply(
        self,
        request: AppendRequest,
        reply: AppendReply,
        sent_at: float,
        match_at_send: int,
    ) -> None:
        if not self._record_reply(reply, sent_at, reply.refusal):
            return
        if reply.refusal:
            if not reply.accepted:
                self._rewind(min(reply.retry_index, request.previous_index))
        elif reply.accepted:
            self._window = _MAX_IN_FLIGHT_REQUESTS
            self._record_match(reply.match_index, reply.counts)
        elif reply.last_index < match_at_send:
            self._report_rollback(reply, match_at_send)
        else:
            self._rewind(min(reply.retry_index, request.previous_index))

    def _rewind(self, index: int) -> None:
        """Resume from an index, with one request in flight at first."""
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
                    self._snapshot_chunk(snapshot, offset),
                    SnapshotReply,
                    timeout=replica.settings.call_timeout_seconds,
                )
            except CallFailed as error:
                self._failure = str(error)
                # The next attempt asks for the offset again.
                return
            if not self._record_reply(reply, sent_at, reply.refusal):
                return
            offset = reply.next_offset
            done = reply.done
            counts = reply.counts
        self._record_match(snapshot.index, counts)

    def _snapshot_chunk(
        self, snapshot: Snapshot, offset: int
    ) -> SnapshotRequest:
        size = self._replica.settings.snapshot_chunk_bytes
        return SnapshotRequest(
            **self._header_fields(),
            index=snapshot.index,
            index_term=snapshot.term,
            configuration=snapshot.configuration,
            digest=snapshot.digest,
            size=len(snapshot.data),
            offset=offset,
            data=snapshot.data[offset : offset + size],
        )

    def _header_fields(self) -> dict:
        replica = self._replica
        return {
            "cluster_id": replica.identity.current.cluster_id,
            "target_disk_id": self.member.disk_id,
            "term": self._term,
            "sender_id": replica.vm_id,
        }

    def _record_reply(
        self,
        reply: AppendReply | SnapshotReply,
        sent_at: float,
        refusal: str = "",
    ) -> bool:
        """Record a reply of the member.

        :param refusal: why its disk is blocked, if it is

        :returns: whether the member is still in this leader's term
        """
        if reply.term != self._term:
            self._replica.observe_term(reply.term)
            return False
        self.is_blocked = bool(refusal)
        if not reply.counts:
            self._failure = "it replies, but isn't admitted to quorums"
        else:
            self.contact_at = max(self.contact_at, sent_at)
            if refusal:
                self._failure = refusal
            else:
                self.acknowledged_at = max(self.acknowledged_at, sent_at)
        self._progressed.fire()
        return True

    def _record_match(self, index: int, counts: bool) -> None:
        self.next_index = max(self.next_index, index + 1)
        if not counts:
            return
        self._replica.on_disk_acknowledged(
            self.member.disk_id, self._term, index
        )
        self.match_index = max(self.match_index, index)
        self._progressed.fire()

    def _report_rollback(self, reply: AppendReply, acknowledged: int) -> None:
        # Within a term a follower's log only grows. One that shrank was
        # restored from an older disk image: it has lost entries that it
        # acknowledged, so it must not be in a quorum again.
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
                **self._header_fields(),
                acknowledged_index=acknowledged,
                found_index=reply.last_index,
            ),
        )


def _size_of(entries: list[Entry]) -> int:
    return sum(len(entry.data) for entry in entries)

"""Detects a disk that was restored from an older image.

Each member remembers, in memory, the newest term and index that every other
disk has acknowledged to it. As terms are synced before they are sent and a
log only grows within a term, a disk behind that position was rolled back.
After its start a member queries the others and votes and is in quorums only
once it has replies from a quorum, itself included. Until then it only stores
entries, as all members that it knows may have been replaced meanwhile.
"""

import asyncio
from dataclasses import dataclass

from burdockdrum.consensus.founding import Founding
from burdockdrum.consensus.membership import Configuration
from burdockdrum.consensus.membership import Member
from burdockdrum.consensus.messages import DiskStateQuery
from burdockdrum.consensus.messages import DiskStateReply
from burdockdrum.consensus.replica import Replica
from burdockdrum.consensus.signals import Signal
from burdockdrum.consensus.signals import wait_until
from burdockdrum.logs import LoggedState
from burdockdrum.peers import CallFailed
from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender

# Queries are repeated without waiting for the timeout of earlier ones, as
# members that start together miss each other's first query. Waiting would
# delay the following election.
_QUERY_INTERVAL_SECONDS = 0.1


@dataclass(frozen=True, kw_only=True, order=True)
class LogPosition:
    """The newest position in the log that a disk has acknowledged."""

    term: int
    index: int


class RollbackDetector:
    """Tracks the positions of other disks and verifies the own one."""

    def __init__(
        self, *, replica: Replica, founding: Founding, peers: Peers
    ) -> None:
        """Register the handler for other members' queries."""
        self._replica = replica
        self._founding = founding
        self._peers = peers
        self._answered_disk_ids: set[str] = set()
        self._reply_received = Signal()
        self._query_tasks: set[asyncio.Task[None]] = set()
        self._candidate_addresses_by_disk: dict[str, str] = {}
        self._awaited = LoggedState(
            begun="log.admission_awaited",
            ended="log.admitted",
            read_time=replica.clock.monotonic,
        )
        self._started_at = replica.clock.monotonic()
        self._newest_log_end = (0, 0)
        self._newest_reply_configuration = replica.configuration
        self._started_empty = not replica.identity.current.formed
        self._acknowledged_by_disk: dict[str, LogPosition] = {}
        self._term_at_start = replica.storage.term
        self._index_at_start = replica.storage.last_index
        replica.on_disk_acknowledged = self.record
        replica.on_candidate_seen = self._record_candidate
        peers.register(DiskStateQuery, self._on_query)

    def record(self, disk_id: str, term: int, index: int) -> None:
        """Record the position that a disk has acknowledged."""
        position = LogPosition(term=term, index=index)
        known = self._acknowledged_by_disk.get(disk_id, position)
        self._acknowledged_by_disk[disk_id] = max(position, known)

    async def run(self) -> None:
        """Admit this member once its disk is known not to be rolled back."""
        try:
            await self._run_until_admitted()
        finally:
            for task in self._query_tasks:
                task.cancel()

    async def _run_until_admitted(self) -> None:
        replica = self._replica
        while not replica.admitted and replica.halt_reason is None:
            if not replica.identity.current.formed:
                await self._founding.changed.wait()
            elif self._started_empty and replica.is_learner:
                await self._admit_learner()
            elif replica.is_voter or replica.is_learner:
                # A learner may have been promoted without knowing it.
                await self._admit_returned()
            else:
                await replica.replication_due.wait()
        self._awaited.end()

    async def _admit_learner(self) -> None:
        if self._replica.caught_up:
            self._replica.admitted = True
        else:
            await self._replica.replication_due.wait()

    async def _admit_returned(self) -> None:
        replica = self._replica
        if self._started_empty and replica.identity.current.founding is None:
            # A learner is promoted only after it has acknowledged the log,
            # so this data folder had the log before.
            replica.halt(
                "this disk belongs to a voter, but holds an older image, "
                "from before its promotion. Remove this member, empty the "
                "data folder and add it again."
            )
            return
        others = [
            member
            for member in self._newest_configuration().voters
            if member.disk_id != replica.disk_id
        ]
        answered = [m for m in others if m.disk_id in self._answered_disk_ids]
        if len(answered) >= (len(others) + 1) // 2:
            replica.admitted = True
            return
        self._log_waiting(others)
        addresses = {member.disk_id: member.address for member in others}
        addresses.update(self._candidate_addresses_by_disk)
        for disk_id, address in addresses.items():
            if disk_id not in self._answered_disk_ids:
                self._start_query(disk_id, address)
        deadline = replica.clock.monotonic() + _QUERY_INTERVAL_SECONDS
        await wait_until(replica.clock, deadline, self._reply_received)

    def _log_waiting(self, others: list[Member]) -> None:
        replica = self._replica
        waited = replica.clock.monotonic() - self._started_at
        if waited > replica.settings.election_timeout_seconds:
            self._awaited.report(
                silent=", ".join(
                    sorted(
                        member.vm_id
                        for member in others
                        if member.disk_id not in self._answered_disk_ids
                    )
                )
            )

    def _start_query(self, disk_id: str, address: str) -> None:
        task = asyncio.ensure_future(self._query(disk_id, address))
        self._query_tasks.add(task)
        task.add_done_callback(self._query_tasks.discard)

    def _newest_configuration(self) -> Configuration:
        """Return the newest configuration of this member and of the replies.

        The own log may end before other members were replaced. If all that
        it names are gone, this member would never be admitted, and the rest
        might need its vote to elect a leader.
        """
        storage = self._replica.storage
        if self._newest_log_end > (storage.last_term, storage.last_index):
            return self._newest_reply_configuration
        return self._replica.configuration

    async def _query(self, disk_id: str, address: str) -> None:
        replica = self._replica
        try:
            reply = await self._peers.call(
                address,
                DiskStateQuery(disk_id=replica.disk_id),
                DiskStateReply,
                timeout=replica.settings.call_timeout_seconds,
            )
        except CallFailed:
            return
        if reply.own_disk_id != disk_id:
            return
        self._answered_disk_ids.add(disk_id)
        self._reply_received.fire()
        if (reply.last_term, reply.last_index) > self._newest_log_end:
            self._newest_log_end = (reply.last_term, reply.last_index)
            self._newest_reply_configuration = reply.configuration
        self._check_for_rollback(reply)

    def _record_candidate(self, disk_id: str, address: str) -> None:
        if not self._replica.admitted:
            self._candidate_addresses_by_disk[disk_id] = address

    def _check_for_rollback(self, reply: DiskStateReply) -> None:
        term = self._term_at_start
        index = self._index_at_start
        is_rolled_back = reply.term > term or (
            reply.term == term and reply.index > index
        )
        if is_rolled_back:
            self._replica.halt(
                f"another member saw this disk at entry {reply.index} of "
                f"term {reply.term}, but it ends at entry {index} of term "
                f"{term}: it holds an older image. Remove this "
                "member, empty the data folder and add it again."
            )

    async def _on_query(
        self, sender: Sender, message: DiskStateQuery
    ) -> Message | None:
        known = self._acknowledged_by_disk.get(
            message.disk_id, LogPosition(term=0, index=0)
        )
        return DiskStateReply(
            own_disk_id=self._replica.disk_id,
            term=known.term,
            index=known.index,
            configuration=self._replica.configuration,
            last_term=self._replica.storage.last_term,
            last_index=self._replica.storage.last_index,
        )

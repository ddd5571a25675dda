"""Acquire claims by collecting votes of the claim replicas of this region.

Any VM of the region can coordinate: a claim depends only on the replicas'
votes, not on who collects them.
"""

import asyncio
from collections.abc import Iterable
from collections.abc import Mapping
import contextlib
from dataclasses import dataclass
import random

from burdockdrum.claims.messages import AcquireOutcome
from burdockdrum.claims.messages import AcquireReply
from burdockdrum.claims.messages import ClaimRecord
from burdockdrum.claims.messages import ClaimState
from burdockdrum.claims.messages import SettleCall
from burdockdrum.claims.messages import SettleReply
from burdockdrum.claims.messages import TicketCall
from burdockdrum.claims.messages import TicketReply
from burdockdrum.claims.messages import VoteCall
from burdockdrum.claims.messages import VoteOutcome
from burdockdrum.claims.messages import VoteReply
from burdockdrum.claims.recovery import majority
from burdockdrum.claims.replica import ClaimReplica
from burdockdrum.claims.tickets import make_ticket
from burdockdrum.peers import CallFailed
from burdockdrum.peers import Peers

VOTE_TIMEOUT_SECONDS = 1.0


@dataclass(frozen=True, kw_only=True)
class StoredAnswer:
    """The buffered answer of an earlier run under the same key."""

    status: int
    content_type: str
    headers: Mapping[str, str]
    body: bytes


class Coordinator:
    """Acquires and settles claims at the claim replicas of this region."""

    def __init__(
        self,
        *,
        peers: Peers,
        rng: random.Random,
        replica: ClaimReplica | None,
        addresses_by_id: dict[str, str],
    ) -> None:
        """Create a coordinator.

        :param replica: this VM's own replica, if it has one
        :param addresses_by_id: control addresses of all replicas
        """
        self._peers = peers
        self._rng = rng
        self._replica = replica
        self._addresses_by_id = addresses_by_id
        self._replica_ids = sorted(addresses_by_id)
        self._running: set[asyncio.Task] = set()

    async def acquire(self, record: ClaimRecord) -> AcquireReply:
        """Request votes, and release them if they are no majority."""
        votes = await self._collect_votes(record)
        known = _most_advanced(
            [
                vote.record
                for vote in votes
                if vote.record is not None
                and vote.record.owner != record.owner
            ]
        )
        # A majority decides. But if any replica knows that another run ended
        # or was lost, refuse: a second run would be worse.
        settled = known is not None and known.state is not ClaimState.GRANTED
        if not settled and count_valid_votes(votes) >= majority(
            len(self._replica_ids)
        ):
            return AcquireReply(outcome=AcquireOutcome.GRANTED)
        await self.release(record)
        if known is not None:
            return AcquireReply(outcome=AcquireOutcome.TAKEN, record=known)
        outcomes = {vote.outcome for vote in votes}
        if VoteOutcome.UNKNOWN in outcomes:
            return AcquireReply(outcome=AcquireOutcome.UNKNOWN)
        if VoteOutcome.FULL in outcomes:
            return AcquireReply(outcome=AcquireOutcome.FULL)
        return AcquireReply(outcome=AcquireOutcome.UNREACHABLE)

    async def _collect_votes(self, record: ClaimRecord) -> list[VoteReply]:
        """Return votes as soon as a majority granted the claim.

        An unreachable replica must not delay every request by the timeout.
        """
        call = VoteCall(keepers=self._replica_ids, record=record)
        pending = {
            asyncio.create_task(self._request_vote(vm_id, call))
            for vm_id in self._replica_ids
        }
        self._keep_running(pending)
        votes: list[VoteReply] = []
        needed = majority(len(self._replica_ids))
        while pending and count_valid_votes(votes) < needed:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            replies = (task.result() for task in done)
            votes += [reply for reply in replies if reply is not None]
        return votes

    async def release(self, record: ClaimRecord) -> None:
        """Release the votes for an owner whose request will not run."""
        await self.settle(
            SettleCall(
                client_id=record.client_id,
                key=record.key,
                owner=record.owner,
                state=None,
            )
        )

    async def settle(self, call: SettleCall) -> None:
        """Report the end of a run to every reachable replica.

        Returns once a majority has confirmed; the other calls go on in the
        background.
        """
        pending = {
            asyncio.create_task(self._send_settlement(vm_id, call))
            for vm_id in self._replica_ids
        }
        self._keep_running(pending)
        count = 0
        for confirmed in asyncio.as_completed(pending):
            count += await confirmed
            if count >= majority(len(self._replica_ids)):
                return

    async def issue_ticket(self) -> str | None:
        """Return a key of the current epoch, None if no replica is ready."""
        ticket = self.issue_own_ticket()
        if ticket is not None:
            return ticket
        for vm_id, address in self._addresses_by_id.items():
            if vm_id == self._peers.identity.vm_id:
                continue
            with contextlib.suppress(CallFailed):
                reply = await self._peers.call(
                    address,
                    TicketCall(),
                    TicketReply,
                    timeout=VOTE_TIMEOUT_SECONDS,
                )
                if reply.ticket is not None:
                    return reply.ticket
        return None

    def issue_own_ticket(self) -> str | None:
        """Return a key by this VM's replica, None if there is no ready one."""
        if self._replica is None or not self._replica.ready:
            return None
        return make_ticket(self._replica.epoch, self._rng)

    async def _request_vote(
        self, vm_id: str, call: VoteCall
    ) -> VoteReply | None:
        if vm_id == self._peers.identity.vm_id:
            return await self._replica.vote(call) if self._replica else None
        try:
            return await self._peers.call(
                self._addresses_by_id[vm_id],
                call,
                VoteReply,
                timeout=VOTE_TIMEOUT_SECONDS,
            )
        except CallFailed:
            return None

    def _keep_running(self, tasks: Iterable[asyncio.Task]) -> None:
        """Let tasks outlive their caller: one may be syncing a vote."""
        for task in tasks:
            self._running.add(task)
            task.add_done_callback(self._running.discard)

    async def _send_settlement(self, vm_id: str, call: SettleCall) -> bool:
        if vm_id == self._peers.identity.vm_id:
            if self._replica is None:
                return True
            return await self._replica.settle(call)
        address = self._addresses_by_id[vm_id]
        try:
            reply = await self._peers.call(
                address, call, SettleReply, timeout=VOTE_TIMEOUT_SECONDS
            )
        except CallFailed:
            return False
        return reply.stored


def count_valid_votes(votes: list[VoteReply]) -> int:
    """Count the granting votes that can form a majority together.

    A vote counts if it is from the newest epoch among the votes, and if no
    other voter knows of a later incarnation of its replica, which may have
    lost the vote.
    """
    granted = [vote for vote in votes if vote.outcome is VoteOutcome.GRANTED]
    newest = max((vote.epoch for vote in votes), default=None)
    return sum(
        vote.epoch == newest
        and all(
            other.incarnations.get(vote.vm_id, 0) <= vote.incarnation
            for other in granted
        )
        for vote in granted
    )


def _most_advanced(records: list[ClaimRecord]) -> ClaimRecord | None:
    """Return a claim with an answer, else a settled one, else any."""

    def progress(record: ClaimRecord) -> tuple[bool, bool]:
        settled = record.state is not ClaimState.GRANTED
        return (record.body is not None, settled)

    return max(records, key=progress, default=None)

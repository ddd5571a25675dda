"""Obtain claims from the keepers of this region.

Every VM of a region can do it for any entry VM: the keepers' votes decide,
not whoever collects them.
"""

import asyncio
from collections.abc import Iterable
from collections.abc import Mapping
import contextlib
from dataclasses import dataclass
import random

from burdockdrum.claims.keeper import Keeper
from burdockdrum.claims.messages import ClaimRecord
from burdockdrum.claims.messages import ClaimState
from burdockdrum.claims.messages import SettleCall
from burdockdrum.claims.messages import SettleReply
from burdockdrum.claims.messages import TakeOutcome
from burdockdrum.claims.messages import TakeReply
from burdockdrum.claims.messages import TicketCall
from burdockdrum.claims.messages import TicketReply
from burdockdrum.claims.messages import VoteCall
from burdockdrum.claims.messages import VoteOutcome
from burdockdrum.claims.messages import VoteReply
from burdockdrum.claims.recovery import majority
from burdockdrum.claims.tickets import make_ticket
from burdockdrum.peers import CallFailed
from burdockdrum.peers import Peers

VOTE_SECONDS = 1.0


@dataclass(frozen=True, kw_only=True)
class StoredAnswer:
    """The whole answer of an earlier run under the same key."""

    status: int
    content_type: str
    headers: Mapping[str, str]
    body: bytes


class Coordinator:
    """Collect the votes of a region's keepers."""

    def __init__(
        self,
        *,
        peers: Peers,
        rng: random.Random,
        keeper: Keeper | None,
        addresses_by_id: dict[str, str],
    ) -> None:
        """Create a coordinator.

        :param keeper: this VM's own, if it is one of the group
        :param addresses_by_id: control addresses of the whole group
        """
        self._peers = peers
        self._rng = rng
        self._keeper = keeper
        self._addresses_by_id = addresses_by_id
        self._keepers = sorted(addresses_by_id)
        self._running: set[asyncio.Task] = set()

    async def take(self, record: ClaimRecord) -> TakeReply:
        """Ask for the votes, and give them back if they don't suffice."""
        votes = await self._collect(record)
        known = _find_best(
            [
                vote.record
                for vote in votes
                if vote.record is not None
                and vote.record.owner != record.owner
            ]
        )
        # A majority decides; but if any keeper knows that another run has
        # begun to have effects, refusing costs less than being wrong.
        settled = known is not None and known.state is not ClaimState.GRANTED
        if not settled and count_valid(votes) >= majority(len(self._keepers)):
            return TakeReply(outcome=TakeOutcome.GRANTED)
        await self.give_back(record)
        if known is not None:
            return TakeReply(outcome=TakeOutcome.TAKEN, record=known)
        outcomes = {vote.outcome for vote in votes}
        if VoteOutcome.UNKNOWN in outcomes:
            return TakeReply(outcome=TakeOutcome.UNKNOWN)
        if VoteOutcome.FULL in outcomes:
            return TakeReply(outcome=TakeOutcome.FULL)
        return TakeReply(outcome=TakeOutcome.UNREACHABLE)

    async def _collect(self, record: ClaimRecord) -> list[VoteReply]:
        """Return the votes, without waiting for those not needed.

        A keeper that is down must not hold up each request for a second.
        """
        call = VoteCall(keepers=self._keepers, record=record)
        asking = {
            asyncio.create_task(self._ask(vm_id, call))
            for vm_id in self._keepers
        }
        self._keep(asking)
        votes: list[VoteReply] = []
        enough = majority(len(self._keepers))
        while asking and count_valid(votes) < enough:
            done, asking = await asyncio.wait(
                asking, return_when=asyncio.FIRST_COMPLETED
            )
            replies = (task.result() for task in done)
            votes += [reply for reply in replies if reply is not None]
        return votes

    async def give_back(self, record: ClaimRecord) -> None:
        """Withdraw what votes an owner has; it will not run."""
        await self.settle(
            SettleCall(
                client_id=record.client_id,
                key=record.key,
                owner=record.owner,
                state=None,
            )
        )

    async def settle(self, call: SettleCall) -> None:
        """Tell every keeper how a run ended, as far as they are reached.

        Return once a majority has heard of it; the rest are told while the
        caller has its answer.
        """
        telling = {
            asyncio.create_task(self._tell(vm_id, call))
            for vm_id in self._keepers
        }
        self._keep(telling)
        count = 0
        for told in asyncio.as_completed(telling):
            count += await told
            if count >= majority(len(self._keepers)):
                return

    async def issue_ticket(self) -> str | None:
        """Return a key of the present epoch, if a keeper is ready."""
        if self._keeper is not None:
            if not self._keeper.ready:
                return None
            return make_ticket(self._keeper.epoch, self._rng)
        for address in self._addresses_by_id.values():
            with contextlib.suppress(CallFailed):
                reply = await self._peers.call(
                    address, TicketCall(), TicketReply, timeout=VOTE_SECONDS
                )
                if reply.ticket is not None:
                    return reply.ticket
        return None

    async def _ask(self, vm_id: str, call: VoteCall) -> VoteReply | None:
        if vm_id == self._peers.identity.vm_id:
            return await self._keeper.vote(call) if self._keeper else None
        try:
            return await self._peers.call(
                self._addresses_by_id[vm_id],
                call,
                VoteReply,
                timeout=VOTE_SECONDS,
            )
        except CallFailed:
            return None

    def _keep(self, tasks: Iterable[asyncio.Task]) -> None:
        """Let tasks run to their end: one may be syncing a vote."""
        for task in tasks:
            self._running.add(task)
            task.add_done_callback(self._running.discard)

    async def _tell(self, vm_id: str, call: SettleCall) -> bool:
        if vm_id == self._peers.identity.vm_id:
            if self._keeper is not None:
                await self._keeper.settle(call)
            return True
        address = self._addresses_by_id[vm_id]
        try:
            await self._peers.call(
                address, call, SettleReply, timeout=VOTE_SECONDS
            )
        except CallFailed:
            return False
        return True


def count_valid(votes: list[VoteReply]) -> int:
    """Count the votes that hold together.

    A vote counts if its keeper is still in the newest epoch among them and
    no other keeper that voted knows of a later start of it, in which it may
    have forgotten this vote.
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


def _find_best(records: list[ClaimRecord]) -> ClaimRecord | None:
    """Return the claim of which most is known."""

    def weigh(record: ClaimRecord) -> tuple[bool, bool]:
        settled = record.state is not ClaimState.GRANTED
        return (record.body is not None, settled)

    return max(records, key=weigh, default=None)

"""The log's leader keeps the time of leases.

Renewals stay out of the log: after the leader's lease, as in Gray and
Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism" (1989). Only
grants, releases and changes of leader are agreed.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import random
from typing import Protocol

from loguru import logger

from burdockdrum.leases.messages import AcquireLease
from burdockdrum.leases.messages import GiveBackLease
from burdockdrum.leases.messages import LeaseAnswer
from burdockdrum.leases.messages import RenewLeases
from burdockdrum.leases.table import Grant
from burdockdrum.leases.table import GrantLease
from burdockdrum.leases.table import LeaseCommand
from burdockdrum.leases.table import LeaseResult
from burdockdrum.leases.table import LeaseTable
from burdockdrum.leases.table import OpenEpoch
from burdockdrum.leases.table import ReleaseLease
from burdockdrum.leases.timing import SUPERSEDE_SECONDS
from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender
from burdockdrum.ports import Clock

POLL_SECONDS = 0.2
PROPOSE_SECONDS = 2.0

Propose = Callable[[LeaseCommand, float], Awaitable[LeaseResult]]


class Leadership(Protocol):
    """What the keeper asks of the replicated log."""

    @property
    def is_leader(self) -> bool:
        """Say whether this VM leads, with a valid lease of its own."""
        ...

    @property
    def leader_id(self) -> str | None:
        """Return the VM that is known to lead."""
        ...

    @property
    def term(self) -> int:
        """Return the term; at most one VM leads in each."""
        ...


class NotProposed(Exception):
    """A command was not agreed, or its outcome is not known."""

    def __init__(self, message: str, *, may_apply: bool) -> None:
        """Create an error.

        :param may_apply: whether the command may have been applied or may be
        """
        super().__init__(message)
        self.may_apply = may_apply


class LeaseKeeper:
    """Grant, renew and take back leases, on each control VM.

    It acts only while this VM leads, in an epoch that it opened itself.
    """

    def __init__(
        self,
        *,
        peers: Peers,
        clock: Clock,
        rng: random.Random,
        table: LeaseTable,
        leadership: Leadership,
        propose: Propose,
    ) -> None:
        """Create a keeper that waits to lead."""
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._table = table
        self._leadership = leadership
        self._propose = propose
        self._term: int | None = None
        self._opener = ""
        self._opened_at = 0.0
        self._renewed_at_by_name: dict[str, float] = {}
        self._superseding: set[int] = set()
        table.listeners.append(self._note_grant)
        peers.register(AcquireLease, self._take_acquire)
        peers.register(RenewLeases, self._take_renew)
        peers.register(GiveBackLease, self._take_give_back)

    @property
    def is_keeper(self) -> bool:
        """Say whether this VM may judge now who holds what.

        A VM that led, lost the lead and leads again is in another term: what
        it remembers of renewals may be out of date, so it opens an epoch
        anew.
        """
        return (
            self._leadership.is_leader
            and self._leadership.term == self._term
            and self._table.opener == self._opener
        )

    async def run(self) -> None:
        """Open an epoch whenever this VM has come to lead."""
        while True:
            if self._leadership.is_leader and not self.is_keeper:
                await self._open_epoch()
            await self._clock.sleep(POLL_SECONDS)

    async def _open_epoch(self) -> None:
        term = self._leadership.term
        identity = self._peers.identity
        number = self._rng.getrandbits(64)
        opener = f"{identity.vm_id}/{identity.incarnation}/{term}/{number}"
        try:
            await self._propose(OpenEpoch(opener=opener), PROPOSE_SECONDS)
        except NotProposed as error:
            logger.info("the leases' epoch was not opened: {}", error)
            return
        self._term, self._opener = term, opener
        # Leaders before renewed grants that this one knows nothing of, so
        # each counts as renewed when the epoch began.
        self._opened_at = self._clock.monotonic()
        self._renewed_at_by_name.clear()
        self._superseding.clear()

    def _note_grant(self, grant: Grant) -> None:
        # Also for a grant whose proposal timed out here: its holder may get
        # it by asking again, and counts from when it asked first.
        self._renewed_at_by_name[grant.name] = self._clock.monotonic()

    def _remaining(self, name: str) -> float:
        renewed_at = self._renewed_at_by_name.get(name, self._opened_at)
        return renewed_at + SUPERSEDE_SECONDS - self._clock.monotonic()

    async def _take_acquire(
        self, sender: Sender, message: AcquireLease
    ) -> Message | None:
        if not self.is_keeper:
            return self._decline()
        current = self._table.grants_by_name.get(message.name)
        if current and current.attempt_id == message.attempt_id:
            # The answer was lost. Its holder counts from its first request.
            return LeaseAnswer(is_keeper=True, grant=current)
        superseded = current.fencing if current else 0
        remaining = self._remaining(message.name)
        if current is not None and remaining > 0:
            return LeaseAnswer(is_keeper=True, retry_after=remaining)
        command = GrantLease(
            epoch=self._table.epoch,
            name=message.name,
            holder_id=sender.vm_id,
            holder_incarnation=sender.incarnation,
            attempt_id=message.attempt_id,
            superseded=superseded,
        )
        return await self._grant(command)

    async def _grant(self, command: GrantLease) -> LeaseAnswer:
        # From here on the grant before is not renewed, or a renewal could
        # slip in between this judgement and the entry that follows it.
        self._superseding.add(command.superseded)
        try:
            result = await self._propose(command, PROPOSE_SECONDS)
        except NotProposed as error:
            if not error.may_apply:
                self._superseding.discard(command.superseded)
            return LeaseAnswer(is_keeper=True, retry_after=POLL_SECONDS)
        self._superseding.discard(command.superseded)
        if not result.done:
            return LeaseAnswer(is_keeper=True, retry_after=POLL_SECONDS)
        return LeaseAnswer(
            is_keeper=True, grant=result.grant, first=result.first
        )

    async def _take_renew(
        self, sender: Sender, message: RenewLeases
    ) -> Message | None:
        if not self.is_keeper:
            return self._decline()
        lost = [
            name
            for name, fencing in message.fencing_by_name.items()
            if not self._renew(sender, name, fencing)
        ]
        return LeaseAnswer(is_keeper=True, lost=lost)

    def _renew(self, sender: Sender, name: str, fencing: int) -> bool:
        grant = self._table.grants_by_name.get(name)
        if grant is None or grant.fencing != fencing:
            return False
        holder = (grant.holder_id, grant.holder_incarnation)
        if holder != (sender.vm_id, sender.incarnation):
            return False
        if fencing in self._superseding or self._remaining(name) <= 0:
            return False
        self._renewed_at_by_name[name] = self._clock.monotonic()
        return True

    async def _take_give_back(
        self, sender: Sender, message: GiveBackLease
    ) -> Message | None:
        if not self.is_keeper:
            return self._decline()
        command = ReleaseLease(name=message.name, fencing=message.fencing)
        try:
            await self._propose(command, PROPOSE_SECONDS)
        except NotProposed:
            return LeaseAnswer(is_keeper=True, retry_after=POLL_SECONDS)
        return LeaseAnswer(is_keeper=True, lost=[message.name])

    def _decline(self) -> LeaseAnswer:
        return LeaseAnswer(
            is_keeper=False, leader_id=self._leadership.leader_id
        )

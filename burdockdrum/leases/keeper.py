"""Grants, renewals and expiry of leases, on the leader of the log.

Only grants, releases and changes of leader go through the log. Renewals are
kept in the memory of the leader, as in Gray and Cheriton, "Leases: An
Efficient Fault-Tolerant Mechanism" (1989).
"""

from collections.abc import Awaitable
from collections.abc import Callable
import random
from typing import Protocol

from loguru import logger

from burdockdrum.leases.messages import AcquireLeaseRequest
from burdockdrum.leases.messages import LeaseResponse
from burdockdrum.leases.messages import ReleaseLeaseRequest
from burdockdrum.leases.messages import RenewLeasesRequest
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

POLL_INTERVAL_SECONDS = 0.2
PROPOSE_TIMEOUT_SECONDS = 2.0

Propose = Callable[[LeaseCommand, float], Awaitable[LeaseResult]]


class Leadership(Protocol):
    """Leadership of the replicated log."""

    @property
    def is_leader(self) -> bool:
        """Return whether this VM leads with a valid leader lease."""
        ...

    @property
    def leader_id(self) -> str | None:
        """Return the id of the known leader."""
        ...

    @property
    def term(self) -> int:
        """Return the term; each has at most one leader."""
        ...


class ProposalFailed(Exception):
    """A command was not committed, or its outcome is unknown."""

    def __init__(self, message: str, *, may_apply: bool) -> None:
        """Create an error.

        :param may_apply: whether the command may still be applied, or may
            have been
        """
        super().__init__(message)
        self.may_apply = may_apply


class LeaseKeeper:
    """Grants, renews and revokes leases; runs on every control VM.

    It is active only while this VM leads, in an epoch that it has opened.
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
        """Create an inactive lease manager."""
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
        table.listeners.append(self._record_grant)
        peers.register(AcquireLeaseRequest, self._receive_acquire)
        peers.register(RenewLeasesRequest, self._receive_renew)
        peers.register(ReleaseLeaseRequest, self._receive_release)

    @property
    def is_active(self) -> bool:
        """Return whether this VM may decide now who holds a lease.

        A VM that regains leadership is in another term and must open a new
        epoch, because other leaders may have renewed leases meanwhile.
        """
        return (
            self._leadership.is_leader
            and self._leadership.term == self._term
            and self._table.opener == self._opener
        )

    async def run(self) -> None:
        """Open an epoch whenever this VM becomes the leader."""
        while True:
            if self._leadership.is_leader and not self.is_active:
                await self._open_epoch()
            await self._clock.sleep(POLL_INTERVAL_SECONDS)

    async def _open_epoch(self) -> None:
        term = self._leadership.term
        identity = self._peers.identity
        number = self._rng.getrandbits(64)
        opener = f"{identity.vm_id}/{identity.incarnation}/{term}/{number}"
        try:
            await self._propose(
                OpenEpoch(opener=opener), PROPOSE_TIMEOUT_SECONDS
            )
        except ProposalFailed as error:
            logger.info("could not open a lease epoch: {}", error)
            return
        self._term, self._opener = term, opener
        # Renewals by earlier leaders are unknown here, so that every grant
        # counts as renewed when the epoch began.
        self._opened_at = self._clock.monotonic()
        self._renewed_at_by_name.clear()
        self._superseding.clear()

    def _record_grant(self, grant: Grant) -> None:
        # This includes grants whose proposal timed out: the holder can still
        # receive them with a retry.
        self._renewed_at_by_name[grant.name] = self._clock.monotonic()

    def _remaining(self, name: str) -> float:
        renewed_at = self._renewed_at_by_name.get(name, self._opened_at)
        return renewed_at + SUPERSEDE_SECONDS - self._clock.monotonic()

    async def _receive_acquire(
        self, sender: Sender, message: AcquireLeaseRequest
    ) -> Message | None:
        if not self.is_active:
            return self._not_leader_response()
        current = self._table.grants_by_name.get(message.name)
        if current and current.attempt_id == message.attempt_id:
            # A retry after a lost response. The holder's lease counts from its
            # first request.
            return LeaseResponse(from_leader=True, grant=current)
        superseded = current.fencing if current else 0
        remaining = self._remaining(message.name)
        if current is not None and remaining > 0:
            return LeaseResponse(from_leader=True, retry_after=remaining)
        command = GrantLease(
            epoch=self._table.epoch,
            name=message.name,
            holder_id=sender.vm_id,
            holder_incarnation=sender.incarnation,
            attempt_id=message.attempt_id,
            superseded=superseded,
        )
        return await self._grant(command)

    async def _grant(self, command: GrantLease) -> LeaseResponse:
        # Blocks renewals of the previous grant, which could otherwise happen
        # between the check of its expiry and the commit of this command.
        self._superseding.add(command.superseded)
        try:
            result = await self._propose(command, PROPOSE_TIMEOUT_SECONDS)
        except ProposalFailed as error:
            if not error.may_apply:
                self._superseding.discard(command.superseded)
            return LeaseResponse(
                from_leader=True, retry_after=POLL_INTERVAL_SECONDS
            )
        self._superseding.discard(command.superseded)
        if not result.done:
            return LeaseResponse(
                from_leader=True, retry_after=POLL_INTERVAL_SECONDS
            )
        return LeaseResponse(
            from_leader=True, grant=result.grant, first=result.first
        )

    async def _receive_renew(
        self, sender: Sender, message: RenewLeasesRequest
    ) -> Message | None:
        if not self.is_active:
            return self._not_leader_response()
        lost = [
            name
            for name, fencing in message.fencing_by_name.items()
            if not self._renew(sender, name, fencing)
        ]
        return LeaseResponse(from_leader=True, lost=lost)

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

    async def _receive_release(
        self, sender: Sender, message: ReleaseLeaseRequest
    ) -> Message | None:
        if not self.is_active:
            return self._not_leader_response()
        command = ReleaseLease(name=message.name, fencing=message.fencing)
        try:
            await self._propose(command, PROPOSE_TIMEOUT_SECONDS)
        except ProposalFailed:
            return LeaseResponse(
                from_leader=True, retry_after=POLL_INTERVAL_SECONDS
            )
        return LeaseResponse(from_leader=True, lost=[message.name])

    def _not_leader_response(self) -> LeaseResponse:
        return LeaseResponse(
            from_leader=False, leader_id=self._leadership.leader_id
        )

"""Quotas of teams and clients, enforced by the entry VMs of a data centre.

Each entry VM enforces its share of every quota without a round trip per
request, and borrows from other entry VMs if its share is used up.
"""

from collections.abc import Iterator
import dataclasses
from dataclasses import dataclass
import math
import random

from burdockdrum.admission.messages import BorrowReply
from burdockdrum.admission.messages import BorrowRequest
from burdockdrum.admission.messages import ReturnLoan
from burdockdrum.admission.shares import BORROWER_LOAN_SECONDS
from burdockdrum.admission.shares import ConcurrentShare
from burdockdrum.admission.shares import Loan
from burdockdrum.admission.shares import LOAN_SECONDS
from burdockdrum.admission.shares import RateShare
from burdockdrum.admission.shares import Resource
from burdockdrum.configuration import ConfigurationService
from burdockdrum.peers import CallFailed
from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender
from burdockdrum.ports import Clock
from burdockdrum.resources import Quota
from burdockdrum.routing import RoutingRequest
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from burdockdrum.vms import VmDirectory

BORROW_TIMEOUT_SECONDS = 0.15
MAX_LENDERS = 3
# How long no loan is requested after no VM has lent anything.
BORROW_BACKOFF_SECONDS = 0.5
# A VM loses its share after being unreachable for so long. Until then it may
# still be serving behind a network partition, and its share stays reserved.
VM_EXPIRY_SECONDS = 600.0
MAINTENANCE_INTERVAL_SECONDS = 0.5
# A loan in use is renewed when less than this is left until its expiry.
RENEWAL_MARGIN_SECONDS = 2.0

AnyShare = RateShare | ConcurrentShare


@dataclass(frozen=True, kw_only=True)
class _Charge:
    """What a request consumes of one limit."""

    subject: str
    resource: Resource
    share: AnyShare
    amount: float


class QuotaReservation:
    """The quota that a request holds; released at most once."""

    def __init__(self, *, clock: Clock, charges: list[_Charge]) -> None:
        """Create a reservation of charges that were already made."""
        self._clock = clock
        self._charges = charges

    def release(self, *, tokens: int) -> None:
        """Release concurrency, and correct the estimated number of tokens.

        :param tokens: how many were generated, or 0 if unknown
        """
        now = self._clock.monotonic()
        charges, self._charges = self._charges, []
        for charge in charges:
            match charge.share:
                case ConcurrentShare() as share:
                    share.in_use -= 1
                case RateShare() as share:
                    if charge.resource is Resource.TOKENS and tokens:
                        share.consume(tokens - charge.amount, now)


class QuotaEnforcer:
    """Enforces this VM's shares of all quotas, and manages loans."""

    is_restartable = True

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        configuration: ConfigurationService,
        peers: Peers,
        vms: VmDirectory,
    ) -> None:
        """Create an enforcer without shares."""
        self._clock = clock
        self._rng = rng
        self._configuration = configuration
        self._peers = peers
        self._vms = vms
        self._share_by_key: dict[tuple[str, Resource], AnyShare] = {}
        self._backoff_until_by_key: dict[tuple[str, Resource], float] = {}
        self._last_seen_by_vm: dict[str, float] = {}
        peers.register(BorrowRequest, self._handle_borrow)
        peers.register(ReturnLoan, self._handle_return)

    async def acquire(
        self, client_id: str, request: RoutingRequest
    ) -> QuotaReservation:
        """Charge a request to all limits on its client and team.

        :raises Refusal: with the limit's name and a time to retry after
        """
        charges = list(self._find_charges(client_id, request))
        for charge in charges:
            if not charge.share.can_acquire(self._now()):
                await self._borrow(charge)
        # Other requests may have been charged during the await.
        now = self._now()
        for charge in charges:
            if not charge.share.can_acquire(now):
                raise self._make_refusal(charge, now)
        for charge in charges:
            match charge.share:
                case ConcurrentShare() as share:
                    share.in_use += 1
                case RateShare() as share:
                    share.consume(charge.amount, now)
        return QuotaReservation(clock=self._clock, charges=charges)

    def _find_charges(
        self, client_id: str, request: RoutingRequest
    ) -> Iterator[_Charge]:
        configuration = self._configuration.current
        client = configuration.clients_by_id.get(client_id)
        if client is None:
            return
        yield from self._charges_for(
            f"client {client_id}", client.quota, request
        )
        team = configuration.teams_by_name.get(client.team or "")
        if team is not None:
            yield from self._charges_for(
                f"team {client.team}", team.quota, request
            )

    def _charges_for(
        self, subject: str, quota: Quota, request: RoutingRequest
    ) -> Iterator[_Charge]:
        amounts = (
            (Resource.REQUESTS, quota.requests_per_second, 1.0),
            (Resource.CONCURRENT, quota.concurrent_requests, 1.0),
            (
                Resource.TOKENS,
                quota.tokens_per_second,
                float(request.max_tokens),
            ),
        )
        for resource, limit, amount in amounts:
            if limit is not None:
                yield _Charge(
                    subject=subject,
                    resource=resource,
                    share=self._find_share(subject, resource, float(limit)),
                    amount=amount,
                )

    def _find_share(
        self, subject: str, resource: Resource, limit: float
    ) -> AnyShare:
        key = (subject, resource)
        share = self._share_by_key.get(key)
        if share is None:
            if resource is Resource.CONCURRENT:
                share = ConcurrentShare()
            else:
                share = RateShare(now=self._now())
            self._share_by_key[key] = share
        share.set_base(limit, self._base_share(resource, limit))
        return share

    def _base_share(self, resource: Resource, limit: float) -> float:
        """Return this VM's equal part; the parts add up to the limit."""
        vm_ids = self._known_vms()
        if resource is not Resource.CONCURRENT:
            return limit / len(vm_ids)
        index = vm_ids.index(self._vms.identity.vm_id)
        quotient, remainder = divmod(int(limit), len(vm_ids))
        return float(quotient + (index < remainder))

    def _known_vms(self) -> list[str]:
        """Return the sorted ids of this data centre's VMs that may be serving.

        An unreachable VM keeps its share, as it may still be serving behind
        a network partition.
        """
        now = self._now()
        identity = self._vms.identity
        for view in self._vms.live_vms():
            if view.identity.data_centre == identity.data_centre:
                self._last_seen_by_vm[view.identity.vm_id] = now
        oldest = now - VM_EXPIRY_SECONDS
        return sorted(
            vm_id
            for vm_id, last_seen in self._last_seen_by_vm.items()
            if last_seen >= oldest
        )

    async def run(self) -> None:
        """Renew loans in use and return unused ones until cancelled."""
        while True:
            await self._clock.sleep(MAINTENANCE_INTERVAL_SECONDS)
            # Shares depend on every VM seen so far, so VMs are recorded
            # even before the first quota is used.
            self._known_vms()
            for (subject, resource), share in list(self._share_by_key.items()):
                await self._maintain_loans(subject, resource, share)

    async def _maintain_loans(
        self, subject: str, resource: Resource, share: AnyShare
    ) -> None:
        now = self._now()
        match share:
            case RateShare():
                for loan in list(share.borrowed_by_id.values()):
                    if loan.expires_at <= now:
                        del share.borrowed_by_id[loan.loan_id]
            case ConcurrentShare():
                for loan in list(share.borrowed_by_id.values()):
                    due = loan.expires_at - now < RENEWAL_MARGIN_SECONDS
                    if due and share.in_use > share.base:
                        await self._request_loan(
                            subject, resource, share, loan
                        )
                for loan in share.find_unused_loans(self._now()):
                    del share.borrowed_by_id[loan.loan_id]
                    self._peers.send(
                        loan.peer,
                        ReturnLoan(
                            loan_id=loan.loan_id,
                            subject=subject,
                            resource=resource.value,
                        ),
                    )

    async def _borrow(self, charge: _Charge) -> None:
        """Request a loan from other VMs of the data centre, one by one."""
        key = (charge.subject, charge.resource)
        share = charge.share
        share.last_short_at = self._now()
        if self._backoff_until_by_key.get(key, -math.inf) > self._now():
            return
        own = self._vms.identity
        lenders = [
            view.identity.control_address
            for view in self._vms.live_vms()[1:]
            if view.identity.data_centre == own.data_centre
        ]
        self._rng.shuffle(lenders)
        for address in lenders[:MAX_LENDERS]:
            loan = Loan(
                loan_id=f"{own.vm_id}-{self._rng.getrandbits(64):x}",
                peer=address,
                amount=max(1.0, share.base / 2),
                expires_at=self._now(),
            )
            await self._request_loan(
                charge.subject, charge.resource, share, loan
            )
            if share.can_acquire(self._now()):
                return
        self._backoff_until_by_key[key] = self._now() + BORROW_BACKOFF_SECONDS

    async def _request_loan(
        self, subject: str, resource: Resource, share: AnyShare, loan: Loan
    ) -> None:
        """Request a loan, or its renewal."""
        requested_at = self._now()
        message = BorrowRequest(
            loan_id=loan.loan_id,
            subject=subject,
            resource=resource.value,
            amount=loan.amount,
        )
        try:
            reply = await self._peers.call(
                loan.peer, message, BorrowReply, timeout=BORROW_TIMEOUT_SECONDS
            )
        except CallFailed:
            return
        if reply.amount > 0:
            # Measured from the request, so that the loan expires here before
            # it does at the lender.
            expires_at = requested_at + min(
                BORROWER_LOAN_SECONDS, reply.seconds
            )
            share.borrowed_by_id[loan.loan_id] = dataclasses.replace(
                loan, amount=reply.amount, expires_at=expires_at
            )

    async def _handle_borrow(
        self, sender: Sender, message: BorrowRequest
    ) -> Message | None:
        resource = Resource(message.resource)
        limit = self._find_limit(message.subject, resource)
        if limit is None:
            return BorrowReply(amount=0.0, seconds=0.0)
        share = self._find_share(message.subject, resource, limit)
        amount = share.lend(
            loan_id=message.loan_id,
            peer=sender.address,
            wanted=message.amount,
            now=self._now(),
        )
        return BorrowReply(amount=amount, seconds=LOAN_SECONDS)

    async def _handle_return(
        self, sender: Sender, message: ReturnLoan
    ) -> Message | None:
        key = (message.subject, Resource(message.resource))
        share = self._share_by_key.get(key)
        if share is not None:
            share.lent_by_id.pop(message.loan_id, None)
        return None

    def _find_limit(self, subject: str, resource: Resource) -> float | None:
        configuration = self._configuration.current
        kind, _, name = subject.partition(" ")
        if kind == "client":
            owner = configuration.clients_by_id.get(name)
        else:
            owner = configuration.teams_by_name.get(name)  # type: ignore
        if owner is None:
            return None
        limit: float | None = getattr(owner.quota, resource.value)
        return limit

    def _make_refusal(self, charge: _Charge, now: float) -> Refusal:
        retry_after = 1.0
        if isinstance(charge.share, RateShare):
            retry_after = max(0.1, charge.share.seconds_until(now))
        return Refusal(
            code=RefusalCode.QUOTA,
            message=f"quota of {charge.subject} exceeded: "
            f"{charge.resource.value} {charge.share.limit:g}",
            verdict=Verdict.NOT_RUN,
            retry_after=retry_after,
        )

    def _now(self) -> float:
        return self._clock.monotonic()

"""Quotas of teams and clients over the entry VMs of a data centre."""

from collections.abc import Iterator
import dataclasses
from dataclasses import dataclass
import math
import random

from burdockdrum.admission.messages import Borrow
from burdockdrum.admission.messages import Lent
from burdockdrum.admission.messages import ReturnLoan
from burdockdrum.admission.shares import BORROWED_SECONDS
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
from burdockdrum.routing import Demand
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from burdockdrum.vms import VmDirectory

BORROW_TIMEOUT_SECONDS = 0.15
MAX_LENDERS = 3
# After nobody lent, a team over its quota is refused without asking again.
PAUSE_SECONDS = 0.5
# A VM that was not heard of for so long no longer has a part. Until then it
# may be cut off and serving: its part must not be used twice.
FORGET_SECONDS = 600.0
TEND_SECONDS = 0.5
# Loans in use are renewed when so much of them is left.
RENEW_SECONDS = 2.0

AnyShare = RateShare | ConcurrentShare


@dataclass(frozen=True, kw_only=True)
class _Claim:
    """What a request takes of one limit."""

    subject: str
    resource: Resource
    share: AnyShare
    amount: float


class QuotaHold:
    """What a request has taken; given back exactly once."""

    def __init__(self, *, clock: Clock, claims: list[_Claim]) -> None:
        """Take over what was taken."""
        self._clock = clock
        self._claims = claims

    def release(self, *, tokens: int) -> None:
        """Give places back, and correct the guess of the tokens.

        :param tokens: how many were generated, or 0 if nobody counted
        """
        now = self._clock.monotonic()
        claims, self._claims = self._claims, []
        for claim in claims:
            match claim.share:
                case ConcurrentShare() as share:
                    share.in_use -= 1
                case RateShare() as share:
                    if claim.resource is Resource.TOKENS and tokens:
                        share.take(tokens - claim.amount, now)


class QuotaLedger:
    """This VM's shares of all quotas, and loans between VMs."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        configuration: ConfigurationService,
        peers: Peers,
        vms: VmDirectory,
    ) -> None:
        """Create a ledger without shares."""
        self._clock = clock
        self._rng = rng
        self._configuration = configuration
        self._peers = peers
        self._vms = vms
        self._shares: dict[tuple[str, Resource], AnyShare] = {}
        self._pauses: dict[tuple[str, Resource], float] = {}
        self._seen_at_by_vm: dict[str, float] = {}
        peers.register(Borrow, self._take_borrow)
        peers.register(ReturnLoan, self._take_return)

    async def take(self, client_id: str, demand: Demand) -> QuotaHold:
        """Take a request's part of each limit on it.

        :raises Refusal: with the limit's name and when to come back
        """
        claims = list(self._find_claims(client_id, demand))
        for claim in claims:
            if not claim.share.can_take(self._now()):
                await self._borrow(claim)
        # Others may have taken while this waited: look at all once more.
        now = self._now()
        for claim in claims:
            if not claim.share.can_take(now):
                raise self._refuse(claim, now)
        for claim in claims:
            match claim.share:
                case ConcurrentShare() as share:
                    share.in_use += 1
                case RateShare() as share:
                    share.take(claim.amount, now)
        return QuotaHold(clock=self._clock, claims=claims)

    def _find_claims(self, client_id: str, demand: Demand) -> Iterator[_Claim]:
        configuration = self._configuration.current
        client = configuration.clients_by_id.get(client_id)
        if client is None:
            return
        yield from self._claims_of(f"client {client_id}", client.quota, demand)
        team = configuration.teams_by_name.get(client.team or "")
        if team is not None:
            yield from self._claims_of(
                f"team {client.team}", team.quota, demand
            )

    def _claims_of(
        self, subject: str, quota: Quota, demand: Demand
    ) -> Iterator[_Claim]:
        wanted = (
            (Resource.REQUESTS, quota.requests_per_second, 1.0),
            (Resource.CONCURRENT, quota.concurrent_requests, 1.0),
            (
                Resource.TOKENS,
                quota.tokens_per_second,
                float(demand.max_tokens),
            ),
        )
        for resource, limit, amount in wanted:
            if limit is not None:
                yield _Claim(
                    subject=subject,
                    resource=resource,
                    share=self._share(subject, resource, float(limit)),
                    amount=amount,
                )

    def _share(
        self, subject: str, resource: Resource, limit: float
    ) -> AnyShare:
        key = (subject, resource)
        share = self._shares.get(key)
        if share is None:
            if resource is Resource.CONCURRENT:
                share = ConcurrentShare()
            else:
                share = RateShare(now=self._now())
            self._shares[key] = share
        share.set_base(limit, self._equal_part(resource, limit))
        return share

    def _equal_part(self, resource: Resource, limit: float) -> float:
        """Return this VM's part: the parts of all add up to the limit."""
        vm_ids = self._known_vms()
        if resource is not Resource.CONCURRENT:
            return limit / len(vm_ids)
        index = vm_ids.index(self._vms.identity.vm_id)
        whole, rest = divmod(int(limit), len(vm_ids))
        return float(whole + (index < rest))

    def _known_vms(self) -> list[str]:
        """Return the ids of the VMs here that may be serving, sorted.

        One that fell silent keeps its part: it may be cut off and alive.
        """
        now = self._now()
        identity = self._vms.identity
        for view in self._vms.live_vms():
            if view.identity.data_centre == identity.data_centre:
                self._seen_at_by_vm[view.identity.vm_id] = now
        limit = now - FORGET_SECONDS
        return sorted(
            vm_id
            for vm_id, seen_at in self._seen_at_by_vm.items()
            if seen_at >= limit
        )

    async def run(self) -> None:
        """Renew loans in use, return the others, and watch for VMs."""
        while True:
            await self._clock.sleep(TEND_SECONDS)
            # Parts depend on who was ever seen, also before the first use.
            self._known_vms()
            for (subject, resource), share in list(self._shares.items()):
                await self._tend(subject, resource, share)

    async def _tend(
        self, subject: str, resource: Resource, share: AnyShare
    ) -> None:
        now = self._now()
        match share:
            case RateShare():
                for loan in list(share.borrowed_by_id.values()):
                    if loan.until <= now:
                        del share.borrowed_by_id[loan.loan_id]
            case ConcurrentShare():
                for loan in list(share.borrowed_by_id.values()):
                    due = loan.until - now < RENEW_SECONDS
                    if due and share.in_use > share.base:
                        await self._ask(subject, resource, share, loan)
                for loan in share.find_unused(self._now()):
                    del share.borrowed_by_id[loan.loan_id]
                    self._peers.send(
                        loan.peer,
                        ReturnLoan(
                            loan_id=loan.loan_id,
                            subject=subject,
                            resource=resource.value,
                        ),
                    )

    async def _borrow(self, claim: _Claim) -> None:
        """Ask other VMs here for a part of theirs, one after another."""
        key = (claim.subject, claim.resource)
        share = claim.share
        share.short_at = self._now()
        if self._pauses.get(key, -math.inf) > self._now():
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
                until=self._now(),
            )
            await self._ask(claim.subject, claim.resource, share, loan)
            if share.can_take(self._now()):
                return
        self._pauses[key] = self._now() + PAUSE_SECONDS

    async def _ask(
        self, subject: str, resource: Resource, share: AnyShare, loan: Loan
    ) -> None:
        """Ask for a loan, or for its renewal."""
        asked_at = self._now()
        message = Borrow(
            loan_id=loan.loan_id,
            subject=subject,
            resource=resource.value,
            amount=loan.amount,
        )
        try:
            reply = await self._peers.call(
                loan.peer, message, Lent, timeout=BORROW_TIMEOUT_SECONDS
            )
        except CallFailed:
            return
        if reply.amount > 0:
            # Counted from the asking: the lender began to count later.
            until = asked_at + min(BORROWED_SECONDS, reply.seconds)
            share.borrowed_by_id[loan.loan_id] = dataclasses.replace(
                loan, amount=reply.amount, until=until
            )

    async def _take_borrow(
        self, sender: Sender, message: Borrow
    ) -> Message | None:
        resource = Resource(message.resource)
        limit = self._find_limit(message.subject, resource)
        if limit is None:
            return Lent(amount=0.0, seconds=0.0)
        share = self._share(message.subject, resource, limit)
        amount = share.lend(
            loan_id=message.loan_id,
            peer=sender.address,
            wanted=message.amount,
            now=self._now(),
        )
        return Lent(amount=amount, seconds=LOAN_SECONDS)

    async def _take_return(
        self, sender: Sender, message: ReturnLoan
    ) -> Message | None:
        key = (message.subject, Resource(message.resource))
        share = self._shares.get(key)
        if share is not None:
            share.lent_by_id.pop(message.loan_id, None)
        return None

    def _find_limit(self, subject: str, resource: Resource) -> float | None:
        configuration = self._configuration.current
        sort, _, name = subject.partition(" ")
        if sort == "client":
            holder = configuration.clients_by_id.get(name)
        else:
            holder = configuration.teams_by_name.get(name)  # type: ignore
        if holder is None:
            return None
        limit: float | None = getattr(holder.quota, resource.value)
        return limit

    def _refuse(self, claim: _Claim, now: float) -> Refusal:
        retry_after = 1.0
        if isinstance(claim.share, RateShare):
            retry_after = max(0.1, claim.share.seconds_until(now))
        return Refusal(
            code=RefusalCode.QUOTA,
            message=f"{claim.subject} is at its quota: "
            f"{claim.resource.value} {claim.share.limit:g}",
            verdict=Verdict.NOT_RUN,
            retry_after=retry_after,
        )

    def _now(self) -> float:
        return self._clock.monotonic()

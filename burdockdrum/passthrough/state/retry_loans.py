"""Retries that entry VMs lend each other.

An entry that has used up its own retries asks others for some of theirs. So
the entry that sees the failures can use what the others leave. The lender
charges them to its own budget, so that the total stays the same.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import random

from burdockdrum.logs import log_decision
from burdockdrum.logs import log_failure
from burdockdrum.metrics import Metrics
from burdockdrum.passthrough.state.retry_budget import RetryBudget
from burdockdrum.peers import CallFailed
from burdockdrum.peers import Message
from burdockdrum.peers import Sender
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock

# Two round trips between regions.
LOAN_TIMEOUT_SECONDS = 0.3
RETRIES_A_LOAN = 4
# An entry asks no more often for a service, whatever the replies are.
MIN_ASK_INTERVAL_SECONDS = 0.1
# A lender that had nothing to lend is not asked again for this time.
DENIED_SECONDS = 1.0
# A lender that did not reply is not asked again for this time.
FAILED_SECONDS = 3.0
# Own region first, then another one.
MAX_LENDERS_ASKED = 2


class RetryLoanRequest(Message, frozen=True, kw_only=True, array_like=True):
    """An entry asks another one for retries of a service."""

    service: str
    number: int


class RetryLoanReply(Message, frozen=True, kw_only=True, array_like=True):
    """How many retries were lent."""

    number: int


class RetryLoans:
    """Borrows retries from other entries, and lends own ones."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        budget: RetryBudget,
        region: str,
        read_entries: Callable[[], Sequence[VmIdentity]],
        ask: Callable[[str, RetryLoanRequest], Awaitable[RetryLoanReply]],
    ) -> None:
        """Create it for the budget of an entry.

        :param region: the region of this entry
        :param read_entries: returns the other entries that are alive
        :param ask: sends a request to an address; raises ``CallFailed``
        """
        self._clock = clock
        self._rng = rng
        self._budget = budget
        self._region = region
        self._read_entries = read_entries
        self._ask = ask
        self._loans_total = metrics.counter(
            "burdockdrum_retry_loans_total",
            "Requests to other entries to lend retries, by result.",
        )
        self._next_ask_at_by_service: dict[str, float] = {}
        # When to ask a lender again, by service and lender.
        self._ask_again_at_by_key: dict[tuple[str, str], float] = {}

    async def borrow(self, service: str) -> bool:
        """Borrow retries of a service; return whether any were lent."""
        now = self._clock.monotonic()
        if now < self._next_ask_at_by_service.get(service, now):
            return False
        self._next_ask_at_by_service[service] = now + MIN_ASK_INTERVAL_SECONDS
        for lender in self._choose_lenders(service, now):
            if await self._borrow_from(lender, service):
                return True
        return False

    async def handle(
        self, sender: Sender, request: RetryLoanRequest
    ) -> RetryLoanReply:
        """Lend retries to another entry, if this one has some left."""
        number = self._budget.lend(request.service, request.number)
        if number:
            log_decision(
                "retry.lent",
                service=request.service,
                number=number,
                about_vm=sender.vm_id,
            )
        return RetryLoanReply(number=number)

    async def _borrow_from(self, lender: VmIdentity, service: str) -> bool:
        asked_at = self._clock.monotonic()
        request = RetryLoanRequest(service=service, number=RETRIES_A_LOAN)
        key = (service, lender.vm_id)
        try:
            reply = await self._ask(lender.control_address, request)
        except CallFailed as error:
            self._loans_total.increment(result="failed")
            self._ask_again_at_by_key[key] = asked_at + FAILED_SECONDS
            log_failure(
                "retry.loan_failed",
                service=service,
                about_vm=lender.vm_id,
                reason=str(error),
            )
            return False
        if not reply.number:
            self._loans_total.increment(result="denied")
            self._ask_again_at_by_key[key] = asked_at + DENIED_SECONDS
            return False
        self._loans_total.increment(result="granted")
        self._budget.borrow(service, reply.number, asked_at)
        log_decision(
            "retry.borrowed",
            service=service,
            number=reply.number,
            about_vm=lender.vm_id,
        )
        return True

    def _choose_lenders(self, service: str, now: float) -> list[VmIdentity]:
        self._ask_again_at_by_key = {
            key: at
            for key, at in self._ask_again_at_by_key.items()
            if at > now
        }
        candidates = [
            entry
            for entry in self._read_entries()
            if (service, entry.vm_id) not in self._ask_again_at_by_key
        ]
        self._rng.shuffle(candidates)
        near = [e for e in candidates if e.region == self._region]
        far = [e for e in candidates if e.region != self._region]
        return [*near[:1], *far[:1], *near[1:]][:MAX_LENDERS_ASKED]

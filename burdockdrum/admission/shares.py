"""One VM's share of one limit, including loans from and to other VMs.

A share is an equal part of the limit, plus what is borrowed, less what is
lent. Loans expire, and the lender counts a loan for longer than the
borrower, so that two VMs never use the same part of a limit at the same
time, even if they can't reach each other.
"""

from dataclasses import dataclass
import enum

LOAN_SECONDS = 5.0
# Shorter than the lender's term, to allow for clock drift and network delay.
BORROWER_LOAN_SECONDS = 4.5
# Requests that started under a loan may outlive it. Unless the borrower
# returns the loan, the lender reuses it only after the longest deadline.
MAX_REQUEST_SECONDS = 600.0
# Capacity of a token bucket, in seconds of its rate.
BURST_SECONDS = 1.0
# A VM that ran out of its own share this recently renews no loans.
RECENT_SHORTAGE_SECONDS = 5.0


class Resource(enum.Enum):
    """The kind of a limit."""

    REQUESTS = "requests_per_second"
    CONCURRENT = "concurrent_requests"
    TOKENS = "tokens_per_second"


@dataclass(frozen=True, kw_only=True)
class Loan:
    """An amount lent or borrowed until a time of this VM's clock."""

    loan_id: str
    peer: str
    amount: float
    expires_at: float


class Share:
    """Base class of shares: an equal part of a limit, and loans."""

    # How long requests may still use a loan after its expiry.
    release_delay_seconds = 0.0

    def __init__(self) -> None:
        """Create a share of size 0."""
        self.limit = 0.0
        self.base = 0.0
        self.last_short_at = float("-inf")
        self.borrowed_by_id: dict[str, Loan] = {}
        self.lent_by_id: dict[str, Loan] = {}

    def set_base(self, limit: float, base: float) -> None:
        """Set the limit and this VM's equal part of it."""
        self.limit = limit
        self.base = base

    def size(self, now: float) -> float:
        """Return the part of the limit that this VM may use."""
        borrowed = sum(
            loan.amount
            for loan in self.borrowed_by_id.values()
            if loan.expires_at > now
        )
        return max(0.0, self.base + borrowed - self._lent(now))

    def lend(
        self, *, loan_id: str, peer: str, wanted: float, now: float
    ) -> float:
        """Lend up to half of what is idle, or renew a loan.

        :returns: the amount lent
        """
        known = self.lent_by_id.get(loan_id)
        if known is not None:
            if now - self.last_short_at < RECENT_SHORTAGE_SECONDS:
                return 0.0
            amount = known.amount
        else:
            amount = min(wanted, self.idle(now))
        if amount <= 0:
            return 0.0
        self.lent_by_id[loan_id] = Loan(
            loan_id=loan_id,
            peer=peer,
            amount=amount,
            expires_at=now + LOAN_SECONDS,
        )
        return amount

    def idle(self, now: float) -> float:
        """Return the amount that may be lent."""
        raise NotImplementedError

    def _lent(self, now: float) -> float:
        expired_before = now - self.release_delay_seconds
        expired = [
            loan.loan_id
            for loan in self.lent_by_id.values()
            if loan.expires_at <= expired_before
        ]
        for loan_id in expired:
            del self.lent_by_id[loan_id]
        return sum(loan.amount for loan in self.lent_by_id.values())


class RateShare(Share):
    """A token bucket whose rate is the share."""

    def __init__(self, *, now: float) -> None:
        """Create a bucket that is full at its first use."""
        super().__init__()
        self._level: float | None = None
        self._updated_at = now

    def can_acquire(self, now: float) -> bool:
        """Return whether at least one token is left.

        A request may consume more than is left, as its cost is an estimate
        until it ends; the level then becomes negative.
        """
        return self._refill(now) >= 1

    def consume(self, amount: float, now: float) -> None:
        """Consume an amount; a negative one is refunded."""
        self._level = self._refill(now) - amount

    def seconds_until(self, now: float) -> float:
        """Return the seconds until a request may be admitted."""
        missing = max(0.0, 1 - self._refill(now))
        return missing / max(1e-3, self.size(now))

    def idle(self, now: float) -> float:
        """Return half of the rate if the bucket is nearly full."""
        level = self._refill(now)
        size = self.size(now)
        cap = max(1.0, size * BURST_SECONDS)
        return size / 2 if level >= cap * 0.75 else 0.0

    def _refill(self, now: float) -> float:
        size = self.size(now)
        cap = max(1.0, size * BURST_SECONDS)
        level = cap if self._level is None else self._level
        # Uses the current rate, although loans may have changed it since
        # the last update; the cap bounds the error.
        level = min(cap, level + size * (now - self._updated_at))
        self._level = level
        self._updated_at = now
        return level


class ConcurrentShare(Share):
    """A limit on the number of requests in flight."""

    release_delay_seconds = MAX_REQUEST_SECONDS

    def __init__(self) -> None:
        """Create a share without requests in flight."""
        super().__init__()
        self.in_use = 0

    def can_acquire(self, now: float) -> bool:
        """Return whether another request may start."""
        return self.in_use + 1 <= self.size(now)

    def idle(self, now: float) -> float:
        """Return half of the free capacity, rounded up."""
        free = int(self.size(now)) - self.in_use
        return float((free + 1) // 2) if free > 0 else 0.0

    def find_unused_loans(self, now: float) -> list[Loan]:
        """Return expired loans that no request in flight needs."""
        unused = []
        unneeded = self.base - self._lent(now) - self.in_use
        unneeded += sum(loan.amount for loan in self.borrowed_by_id.values())
        for loan in list(self.borrowed_by_id.values()):
            if loan.expires_at <= now and unneeded >= loan.amount:
                unneeded -= loan.amount
                unused.append(loan)
        return unused

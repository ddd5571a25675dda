"""One VM's share of one limit, with what is lent and borrowed.

A share is an equal part of the limit, plus what others have lent, less what
is lent to others. A loan ends by itself, and the lender counts it for
longer than the borrower, so that at no moment two VMs use the same part,
whether they hear of each other or not.
"""

from dataclasses import dataclass
import enum

LOAN_SECONDS = 5.0
# The borrower stops early: clocks drift, and the reply took time.
BORROWED_SECONDS = 4.5
# Requests that started under a loan outlive it. If the borrower can't say
# when they have ended, the lender waits for the longest deadline there is.
LONGEST_REQUEST_SECONDS = 600.0
# What a rate may save up, in seconds of its share.
BURST_SECONDS = 1.0
# A VM that was short itself so lately renews no loan.
SHORT_SECONDS = 5.0


class Resource(enum.Enum):
    """What a limit is on."""

    REQUESTS = "requests_per_second"
    CONCURRENT = "concurrent_requests"
    TOKENS = "tokens_per_second"


@dataclass(frozen=True, kw_only=True)
class Loan:
    """A part of a share at another VM until a time on this VM's clock."""

    loan_id: str
    peer: str
    amount: float
    until: float


class Share:
    """The base of shares: an equal part and loans."""

    # How long after the loan's end its use may go on.
    aftermath_seconds = 0.0

    def __init__(self) -> None:
        """Create a share of nothing."""
        self.limit = 0.0
        self.base = 0.0
        self.short_at = float("-inf")
        self.borrowed_by_id: dict[str, Loan] = {}
        self.lent_by_id: dict[str, Loan] = {}

    def set_base(self, limit: float, base: float) -> None:
        """Set the limit and the equal part of it."""
        self.limit = limit
        self.base = base

    def size(self, now: float) -> float:
        """Return what new requests may use now."""
        borrowed = sum(
            loan.amount
            for loan in self.borrowed_by_id.values()
            if loan.until > now
        )
        return max(0.0, self.base + borrowed - self._lent(now))

    def lend(
        self, *, loan_id: str, peer: str, wanted: float, now: float
    ) -> float:
        """Give up to half of what lies idle, or renew a loan.

        :returns: the amount lent
        """
        known = self.lent_by_id.get(loan_id)
        if known is not None:
            if now - self.short_at < SHORT_SECONDS:
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
            until=now + LOAN_SECONDS,
        )
        return amount

    def idle(self, now: float) -> float:
        """Return what may be lent."""
        raise NotImplementedError

    def _lent(self, now: float) -> float:
        limit = now - self.aftermath_seconds
        ended = [
            loan.loan_id
            for loan in self.lent_by_id.values()
            if loan.until <= limit
        ]
        for loan_id in ended:
            del self.lent_by_id[loan_id]
        return sum(loan.amount for loan in self.lent_by_id.values())


class RateShare(Share):
    """A token bucket whose rate is the share."""

    def __init__(self, *, now: float) -> None:
        """Create a bucket that is filled at its first use."""
        super().__init__()
        self._level: float | None = None
        self._updated_at = now

    def can_take(self, now: float) -> bool:
        """Say whether something is left.

        A request may take more than is left: its cost is a guess until it
        ends, and the debt is paid before the next.
        """
        return self._fill(now) >= 1

    def take(self, amount: float, now: float) -> None:
        """Take an amount; a negative one gives back."""
        self._level = self._fill(now) - amount

    def seconds_until(self, now: float) -> float:
        """Return when a request may pass again."""
        missing = max(0.0, 1 - self._fill(now))
        return missing / max(1e-3, self.size(now))

    def idle(self, now: float) -> float:
        """Return half of the rate if the bucket has been filling up."""
        level = self._fill(now)
        size = self.size(now)
        cap = max(1.0, size * BURST_SECONDS)
        return size / 2 if level >= cap * 0.75 else 0.0

    def _fill(self, now: float) -> float:
        size = self.size(now)
        cap = max(1.0, size * BURST_SECONDS)
        level = cap if self._level is None else self._level
        # A loan may have begun or ended since: the smaller of then and now
        # would need its history, and the cap bounds the difference.
        level = min(cap, level + size * (now - self._updated_at))
        self._level = level
        self._updated_at = now
        return level


class ConcurrentShare(Share):
    """A number of requests in flight."""

    aftermath_seconds = LONGEST_REQUEST_SECONDS

    def __init__(self) -> None:
        """Create a share without requests."""
        super().__init__()
        self.in_use = 0

    def can_take(self, now: float) -> bool:
        """Say whether one more may start."""
        return self.in_use + 1 <= self.size(now)

    def idle(self, now: float) -> float:
        """Return half of the free places, at least one of them."""
        free = int(self.size(now)) - self.in_use
        return float((free + 1) // 2) if free > 0 else 0.0

    def find_unused(self, now: float) -> list[Loan]:
        """Return the loans that no request in flight needs any more."""
        unused = []
        spare = self.base - self._lent(now) - self.in_use
        spare += sum(loan.amount for loan in self.borrowed_by_id.values())
        for loan in list(self.borrowed_by_id.values()):
            if loan.until <= now and spare >= loan.amount:
                spare -= loan.amount
                unused.append(loan)
        return unused

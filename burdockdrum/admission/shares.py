"""One VM's share of one limit, with what is lent and borrowed.

A share is an equal part of the limit, plus what others have lent, less what
is lent to others. A loan ends by itself: the lender counts it for longer
than the borrower, so that at no moment two VMs use the same part, whether
they hear of each other or not.
"""

import enum

LOAN_SECONDS = 5.0
# The borrower stops early: clocks drift, and the reply took time.
BORROWED_SECONDS = 4.5
# What a rate may save up, in seconds of its share.
BURST_SECONDS = 1.0


class Resource(enum.Enum):
    """What a limit is on."""

    REQUESTS = "requests_per_second"
    CONCURRENT = "concurrent_requests"
    TOKENS = "tokens_per_second"


class Share:
    """The base of shares: an equal part and loans."""

    def __init__(self) -> None:
        """Create a share of nothing."""
        self.limit = 0.0
        self.base = 0.0
        self._borrowed: list[tuple[float, float]] = []
        self._lent: list[tuple[float, float]] = []

    def set_base(self, limit: float, base: float) -> None:
        """Set the limit and the equal part of it."""
        self.limit = limit
        self.base = base

    def size(self, now: float) -> float:
        """Return the share as it is now."""
        self._borrowed = [loan for loan in self._borrowed if loan[1] > now]
        self._lent = [loan for loan in self._lent if loan[1] > now]
        borrowed = sum(amount for amount, _ in self._borrowed)
        lent = sum(amount for amount, _ in self._lent)
        return max(0.0, self.base + borrowed - lent)

    def borrow(self, amount: float, until: float) -> None:
        """Add what another VM lends."""
        self._borrowed.append((amount, until))

    def lend(self, wanted: float, now: float) -> float:
        """Give up to half of what lies idle for LOAN_SECONDS.

        :returns: the amount lent
        """
        amount = min(wanted, self.idle(now))
        if amount <= 0:
            return 0.0
        self._lent.append((amount, now + LOAN_SECONDS))
        return amount

    def idle(self, now: float) -> float:
        """Return what may be lent."""
        raise NotImplementedError


class RateShare(Share):
    """A token bucket whose rate is the share."""

    def __init__(self, *, now: float) -> None:
        """Create an empty bucket."""
        super().__init__()
        self._level: float | None = None
        self._updated_at = now

    def can_take(self, now: float) -> bool:
        """Say whether something is left.

        A request may take more than is left: its cost is a guess until it
        ends, and the debt is paid before the next.
        """
        self._fill(now)
        return self._level is not None and self._level >= 1

    def take(self, amount: float, now: float) -> None:
        """Take an amount; a negative one gives back."""
        self._fill(now)
        self._level = (self._level or 0.0) - amount

    def seconds_until(self, now: float) -> float:
        """Return when a request may pass again."""
        self._fill(now)
        missing = max(0.0, 1 - (self._level or 0.0))
        return missing / max(1e-3, self.size(now))

    def idle(self, now: float) -> float:
        """Return half of the rate if the bucket has been filling up."""
        self._fill(now)
        size = self.size(now)
        cap = max(1.0, size * BURST_SECONDS)
        if (self._level or 0.0) < cap * 0.75:
            return 0.0
        return size / 2

    def _fill(self, now: float) -> None:
        size = self.size(now)
        cap = max(1.0, size * BURST_SECONDS)
        level = cap if self._level is None else self._level
        level += size * (now - self._updated_at)
        self._level = min(cap, level)
        self._updated_at = now


class ConcurrentShare(Share):
    """A number of requests in flight."""

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

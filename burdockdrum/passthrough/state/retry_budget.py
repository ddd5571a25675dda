"""Retry budget: limits retries to a ratio of the requests and a burst.

Prevents retries from multiplying the load on a failing service. A retry is
charged by the entry VM that sends it, or that forwards it to another region,
just before it does: what counts is when it arrives.
"""

import collections
from dataclasses import dataclass

from burdockdrum.logs import log_decision
from burdockdrum.logs import log_failure
from burdockdrum.metrics import Metrics
from burdockdrum.passthrough.state.burst_shares import BurstShare
from burdockdrum.ports import Clock
from burdockdrum.registrations import LimitShares

# Parts of the limits that are used. A window of retries may follow requests of
# which a part is in no window that they are compared with.
RATIO_FRACTION = 0.8
BURST_FRACTION = 0.9
# Names the burst among the limits that the entries of a region divide.
BURST_KEY = "retry-burst"
# A charge is void if the retry has not been sent by then.
GRANT_SECONDS = 0.25
# From a charge to the arrival at an endpoint: a grant of the entry that
# forwards the retry, one of the entry that sends it, and the way to both.
MAX_DELIVERY_SECONDS = 1.0
# Retries that another entry VM lends are void after this time.
LOAN_SECONDS = 1.0
# The part of what a lender has left that it lends at once.
LENT_FRACTION = 0.5


@dataclass(frozen=True, kw_only=True)
class RetryGrant:
    """A retry that was charged to the budget at a monotonic time."""

    service: str
    granted_at: float


class RetryBudget:
    """The retries of an entry VM, in sliding windows.

    What an entry earns by its own requests needs no agreement with others. The
    burst is divided between regions, and in a region between the holders of
    its shares; see ``registrations.limit_shares``.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        metrics: Metrics,
        ratio: float,
        burst: float,
        window: float,
        regions: int = 1,
        shares: LimitShares,
    ) -> None:
        """Create a budget.

        :param ratio: retries per request, over all entry VMs
        :param burst: further retries in a window, over all entry VMs
        :param window: length of the sliding window in seconds
        :param regions: the number of regions that share the burst
        :param shares: divides limits between the entries of this region
        """
        self._decisions_total = metrics.counter(
            "burdockdrum_retry_decisions_total",
            "Retries that the retry budget granted or refused, by service.",
        )
        self._clock = clock
        self._ratio = ratio * RATIO_FRACTION
        self._shares = shares
        region_burst = burst * BURST_FRACTION / regions
        self._burst_share = BurstShare(
            clock=clock,
            window=window + MAX_DELIVERY_SECONDS + LOAN_SECONDS,
            read_share=lambda: shares.share_of(BURST_KEY, region_burst),
        )
        self._requests = _SlidingWindow(clock=clock, seconds=window)
        self._retries = _SlidingWindow(
            clock=clock, seconds=window + MAX_DELIVERY_SECONDS
        )
        # What others were lent, by the latest time at which they use it.
        self._lent = _SlidingWindow(
            clock=clock, seconds=window + MAX_DELIVERY_SECONDS
        )
        # When the retries that others have lent become void.
        self._borrowed_until: dict[str, collections.deque[float]] = (
            collections.defaultdict(collections.deque)
        )

    def update(self) -> None:
        """Take notice of the share held now; forget services out of use."""
        self._burst_share.read()
        for window in (self._requests, self._retries, self._lent):
            window.prune()
        now = self._clock.monotonic()
        for service, loans in list(self._borrowed_until.items()):
            if not loans or loans[-1] < now:
                del self._borrowed_until[service]

    def record_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        self._requests.add(service, self._clock.monotonic())

    def acquire(self, service: str, request_id: str) -> RetryGrant | None:
        """Charge a retry; return None if the budget doesn't allow it."""
        now = self._clock.monotonic()
        account = self._read_account(service)
        is_borrowed = False
        if account.available >= 1:
            self._retries.add(service, now)
        else:
            is_borrowed = self._use_loan(service)
        is_granted = account.available >= 1 or is_borrowed
        decision = "granted" if is_granted else "refused"
        self._decisions_total.increment(decision=decision, service=service)
        write_log = log_decision if is_granted else log_failure
        write_log(
            f"retry.{decision}",
            request_id=request_id,
            service=service,
            used=account.used,
            allowed=round(account.allowed, 2),
            requests=account.requests,
            burst_share=round(account.burst_share, 2),
            is_borrowed=is_borrowed,
            entries=self._shares.entry_count,
            entries_age=_round(self._shares.age_seconds),
        )
        return (
            RetryGrant(service=service, granted_at=now) if is_granted else None
        )

    def lend(self, service: str, wanted: int) -> int:
        """Charge retries that another entry VM may send.

        :returns: how many it may send in the next ``LOAN_SECONDS``
        """
        available = self._read_account(service).available
        number = min(wanted, int(available * LENT_FRACTION))
        used_by = self._clock.monotonic() + LOAN_SECONDS
        for _ in range(number):
            self._lent.add(service, used_by)
        return max(0, number)

    def borrow(self, service: str, number: int, asked_at: float) -> None:
        """Record retries that another entry VM has lent.

        :param asked_at: when it was asked, before it charged them
        """
        until = asked_at + LOAN_SECONDS
        self._borrowed_until[service].extend([until] * number)

    def _use_loan(self, service: str) -> bool:
        """Use a borrowed retry; return whether there was one."""
        loans = self._borrowed_until[service]
        while loans and loans[0] < self._clock.monotonic():
            loans.popleft()
        if not loans:
            return False
        loans.popleft()
        return True

    def _read_account(self, service: str) -> "_Account":
        return _Account(
            requests=self._requests.count(service),
            ratio=self._ratio,
            burst_share=self._burst_share.read(),
            used=self._retries.count(service) + self._lent.count(service),
        )

    def is_valid(self, grant: RetryGrant) -> bool:
        """Return whether the retry of a grant may be sent now."""
        return self._clock.monotonic() - grant.granted_at <= GRANT_SECONDS

    def release(self, grant: RetryGrant) -> None:
        """Undo the charge of a retry that was not sent."""
        self._retries.remove(grant.service, grant.granted_at)


@dataclass(frozen=True, kw_only=True)
class _Account:
    """The retries of a service in the current window.

    ``used`` includes those lent to other entry VMs.
    """

    requests: int
    ratio: float
    burst_share: float
    used: int

    @property
    def allowed(self) -> float:
        return self.burst_share + self.requests * self.ratio

    @property
    def available(self) -> float:
        return self.allowed - self.used


def _round(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)


class _SlidingWindow:
    """Counts events by key in a sliding window."""

    def __init__(self, *, clock: Clock, seconds: float) -> None:
        self._clock = clock
        self._seconds = seconds
        self._times_by_key: dict[str, collections.deque[float]] = {}

    def __len__(self) -> int:
        return sum(len(times) for times in self._times_by_key.values())

    def add(self, key: str, at: float) -> None:
        self._times_by_key.setdefault(key, collections.deque()).append(at)

    def prune(self) -> None:
        for key in list(self._times_by_key):
            if not self.count(key):
                del self._times_by_key[key]

    def remove(self, key: str, at: float) -> None:
        times = self._times_by_key.get(key)
        if times is not None and at in times:
            times.remove(at)

    def count(self, key: str) -> int:
        times = self._times_by_key.get(key)
        if times is None:
            return 0
        oldest = self._clock.monotonic() - self._seconds
        while times and times[0] < oldest:
            times.popleft()
        return len(times)

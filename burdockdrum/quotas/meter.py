"""Metering of the teams' usage, and enforcement of their rate limits.

Decides locally, from the usage that other entries have reported, so that no
request waits for a message.
"""

from collections.abc import Mapping
from dataclasses import dataclass
import random

from burdockdrum.callers import Caller
from burdockdrum.callers import CallerFinder
from burdockdrum.metrics import Metrics
from burdockdrum.ports import Clock
from burdockdrum.quotas.decaying import DecayingSum
from burdockdrum.quotas.limits import admitted_fraction
from burdockdrum.quotas.limits import estimate_retry_seconds
from burdockdrum.quotas.limits import is_near_limit
from burdockdrum.quotas.limits import REQUESTED_DECAY_SECONDS
from burdockdrum.quotas.limits import update_burst_used
from burdockdrum.quotas.limits import UsageEstimate
from burdockdrum.quotas.limits import USED_DECAY_SECONDS
from burdockdrum.quotas.sharing import UsageSharing
from burdockdrum.quotas.sums import Usage
from burdockdrum.resources import RateLimit
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict

MIN_RETRY_SECONDS = 0.3
MAX_RETRY_SECONDS = 5.0
# Spreads the retries of callers that are refused at the same time.
RETRY_JITTER_FACTOR = 2.0


@dataclass(frozen=True, kw_only=True)
class Charge:
    """A request's charge to its team's limit, in the limit's unit."""

    team: str
    cost: float


class _TeamCounter:
    """A team's local usage and demand, and its used burst over all VMs."""

    def __init__(self, *, limit: RateLimit, now: float) -> None:
        self.limit = limit
        self.used = DecayingSum(seconds=USED_DECAY_SECONDS, now=now)
        self.requested = DecayingSum(seconds=REQUESTED_DECAY_SECONDS, now=now)
        self.burst_used = 0.0
        self.burst_updated_at = now

    def read(self, now: float) -> Usage:
        return Usage(
            used=self.used.read(now) / USED_DECAY_SECONDS,
            requested=self.requested.read(now) / REQUESTED_DECAY_SECONDS,
        )


class QuotaMeter:
    """Admits requests within their teams' limits over all VMs."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        callers: CallerFinder,
        sharing: UsageSharing,
        metrics: Metrics,
    ) -> None:
        """Create a meter without usage."""
        self._clock = clock
        self._rng = rng
        self._callers = callers
        self._sharing = sharing
        self._counter_by_team: dict[str, _TeamCounter] = {}
        sharing.local_usage = self.local_usage
        sharing.read_burst_used = self._read_burst_used
        sharing.set_burst_used = self._set_burst_used
        sharing.is_any_near_limit = self._is_any_near_limit
        self._used_total = metrics.counter(
            "burdockdrum_team_used_total",
            "What teams have used of their limits, in the limits' units.",
        )
        self._refused_total = metrics.counter(
            "burdockdrum_team_refused_total",
            "Requests that were refused by the limits of teams.",
        )

    def acquire(self, caller: Caller, tokens: int) -> Charge | None:
        """Charge a request to the limit of its team, or refuse it.

        :param tokens: the request's tokens of input and output, 0 if unknown
        :returns: the charge, to refund if the request does not run; None if
            there is no limit
        :raises Refusal: with the limit, the estimated usage, and a time to
            retry after
        """
        limit, team = caller.limit, caller.team
        if limit is None or team is None:
            return None
        now = self._clock.monotonic()
        counter = self._find_counter(team, limit, now)
        cost = cost_of(limit, tokens)
        counter.requested.add(cost, now)
        estimate = self._estimate_usage(team, counter, now)
        if self._rng.random() >= admitted_fraction(limit, estimate):
            self._refused_total.increment(team=team)
            raise self._make_refusal(team, limit, estimate)
        counter.used.add(cost, now)
        self._used_total.increment(cost, team=team)
        return Charge(team=team, cost=cost)

    def refund(self, charge: Charge) -> None:
        """Refund the charge of a request that has not run."""
        counter = self._counter_by_team.get(charge.team)
        if counter is not None:
            counter.used.add(-charge.cost, self._clock.monotonic())
            self._used_total.increment(-charge.cost, team=charge.team)

    def local_usage(self) -> Mapping[str, Usage]:
        """Return the local usage of each team that has a limit."""
        now = self._clock.monotonic()
        usage_by_team = {}
        for team, caller in self._callers.callers_by_team.items():
            if caller.limit is not None:
                counter = self._find_counter(team, caller.limit, now)
                self._estimate_usage(team, counter, now)
                usage_by_team[team] = counter.read(now)
        return usage_by_team

    def _find_counter(
        self, team: str, limit: RateLimit, now: float
    ) -> _TeamCounter:
        counter = self._counter_by_team.get(team)
        if counter is None or counter.limit.unit != limit.unit:
            counter = self._counter_by_team[team] = _TeamCounter(
                limit=limit, now=now
            )
        counter.limit = limit
        return counter

    def _estimate_usage(
        self, team: str, counter: _TeamCounter, now: float
    ) -> UsageEstimate:
        usage = self._sharing.others(team).plus(counter.read(now))
        reserved = self._sharing.reserved_fraction(team)
        counter.burst_used = update_burst_used(
            counter.limit,
            counter.burst_used,
            usage.used,
            reserved,
            now - counter.burst_updated_at,
        )
        counter.burst_updated_at = now
        return UsageEstimate(
            used=usage.used,
            requested=usage.requested,
            burst_used=counter.burst_used,
            reserved=reserved,
            age=self._sharing.age,
        )

    def _read_burst_used(self, team: str) -> float:
        counter = self._counter_by_team.get(team)
        if counter is None:
            return 0.0
        return self._estimate_usage(
            team, counter, self._clock.monotonic()
        ).burst_used

    def _is_any_near_limit(self) -> bool:
        """Return whether any team is near its limit."""
        now = self._clock.monotonic()
        return any(
            is_near_limit(
                counter.limit, self._estimate_usage(team, counter, now)
            )
            for team, counter in self._counter_by_team.items()
        )

    def _set_burst_used(self, team: str, burst_used: float) -> None:
        """Replace the used burst by the aggregator's value."""
        counter = self._counter_by_team.get(team)
        if counter is not None:
            counter.burst_used = burst_used
            counter.burst_updated_at = self._clock.monotonic()

    def _make_refusal(
        self, team: str, limit: RateLimit, estimate: UsageEstimate
    ) -> Refusal:
        wait = estimate_retry_seconds(limit, estimate)
        wait *= self._rng.uniform(1.0, RETRY_JITTER_FACTOR)
        last_report = (
            "never" if estimate.age is None else f"{estimate.age:.1f} s ago"
        )
        return Refusal(
            code=RefusalCode.QUOTA,
            message=f"team {team!r} is at its limit of {limit.per_second:g} "
            f"{limit.unit} per second: {estimate.requested:.0f} requested, "
            f"{estimate.used:.0f} used, last report from other entries "
            f"{last_report}, {estimate.reserved:.0%} of the limit reserved "
            "for unreachable data centres",
            verdict=Verdict.NOT_RUN,
            retry_after=min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, wait)),
        )


def cost_of(limit: RateLimit, tokens: int) -> float:
    """Return the cost of a request, in the unit of a limit."""
    match limit.unit:
        case "requests":
            return 1.0
        case "tokens":
            return float(tokens or limit.plain_tokens)

"""How much of a team's demand may be admitted under its rate limit.

Every entry admits the same fraction of the requests, computed from the
estimated usage of all entries. No entry needs a share of its own, so demand
may move between entries and regions.
"""

from dataclasses import dataclass

from burdockdrum.resources import RateLimit

# Time constants. Usage is averaged briefly, as reports add their own delay;
# demand long enough to average over a few large requests.
USED_DECAY_SECONDS = 0.3
REQUESTED_DECAY_SECONDS = 0.7
# A smaller burst would be used up before the entries' reports arrive.
MIN_BURST_SECONDS = 0.5
# How fast the remaining burst may be used up.
BURST_SPEND_SECONDS = 0.4
# How fast usage beyond the burst is paid back. A fraction of the limit is
# admitted meanwhile, so that admission doesn't oscillate between all and
# nothing.
OVERUSE_REPAY_SECONDS = 2.0
MIN_ADMITTED_FRACTION = 0.25
# A team whose demand exceeds this fraction of its limit is near it.
NEAR_LIMIT_FRACTION = 0.7


@dataclass(frozen=True, kw_only=True)
class UsageEstimate:
    """A team's estimated usage by all VMs.

    ``used`` and ``requested`` are rates, in the limit's unit per second.
    ``burst_used`` is the used amount of the burst. ``reserved`` is the
    fraction of the limit that is reserved for unreachable data centres.
    ``age`` is the age of the other VMs' reports in seconds, None if there
    are none.
    """

    used: float
    requested: float
    burst_used: float = 0.0
    reserved: float = 0.0
    age: float | None = None


def burst_capacity(limit: RateLimit) -> float:
    """Return the size of the burst, in the limit's unit."""
    return max(limit.burst, limit.per_second * MIN_BURST_SECONDS)


def update_burst_used(
    limit: RateLimit,
    burst_used: float,
    used: float,
    reserved: float,
    seconds: float,
) -> float:
    """Return the used amount of a burst after ``seconds`` at a usage rate."""
    rate = limit.per_second * (1 - reserved)
    return max(0.0, burst_used + (used - rate) * seconds)


def admitted_fraction(limit: RateLimit, usage: UsageEstimate) -> float:
    """Return the fraction of the demand to admit, from 0 to 1."""
    available = 1 - usage.reserved
    rate = limit.per_second * available
    # The most recent usage is not in the used burst yet.
    recent = max(0.0, usage.used - rate) * USED_DECAY_SECONDS
    free = burst_capacity(limit) * available - usage.burst_used - recent
    if free >= 0:
        allowed = rate + free / BURST_SPEND_SECONDS
    else:
        minimum = rate * MIN_ADMITTED_FRACTION
        allowed = max(minimum, rate + free / OVERUSE_REPAY_SECONDS)
    return 1.0 if usage.requested <= allowed else allowed / usage.requested


def is_near_limit(limit: RateLimit, usage: UsageEstimate) -> bool:
    """Return whether a team may soon reach its limit."""
    return (
        usage.burst_used > 0
        or usage.requested > limit.per_second * NEAR_LIMIT_FRACTION
    )


def estimate_retry_seconds(limit: RateLimit, usage: UsageEstimate) -> float:
    """Return after how many seconds a retry is likely to be admitted.

    Assumes that the demand stays as it is.
    """
    available = max(1 - usage.reserved, 1e-3)
    rate = limit.per_second * available
    excess = max(0.0, usage.burst_used - burst_capacity(limit) * available)
    # Excess demand competes for the capacity when it is free again.
    contention = max(0.0, usage.requested / rate - 1) * REQUESTED_DECAY_SECONDS
    return excess / rate + contention

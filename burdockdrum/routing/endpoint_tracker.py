"""The state that a VM keeps for one incarnation of an endpoint."""

import math
import random

from burdockdrum.endpoints import Endpoint
from burdockdrum.routing.health import EndpointHealth
from burdockdrum.routing.local_load import LocalLoad
from burdockdrum.routing.speed import ConcurrencyLimit
from burdockdrum.routing.speed import Speed
from burdockdrum.routing.speed import SpeedModel

# A first token is overdue after its expected time multiplied by the factor,
# plus the margin.
OVERDUE_FACTOR = 4.0
OVERDUE_MARGIN_SECONDS = 1.5
# Ratio to the typical slowness of the service that makes an outlier.
OUTLIER_SLOWNESS = 3.0
# Interval between trial requests to an endpoint that is otherwise avoided.
TRIAL_INTERVAL_SECONDS = 4.0
_MIN_SAMPLES = 3


class EndpointTracker:
    """Local load, health, speed and concurrency limit of an endpoint."""

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        rng: random.Random,
        slow_start_seconds: float,
        start_speed: Speed,
    ) -> None:
        """Create the tracker of a newly announced endpoint."""
        self.incarnation = endpoint.incarnation
        self.name = f"{endpoint.endpoint_id}@{endpoint.incarnation}"
        self.local_load = LocalLoad()
        self.suspects = 0
        self.is_outlier = False
        self.last_attempt_at = -math.inf
        self.health = EndpointHealth(
            rng=rng, slow_start_seconds=slow_start_seconds
        )
        self.speed = SpeedModel(start=start_speed)
        self.limit = ConcurrencyLimit(slots=endpoint.slots)
        self.service_seconds = 1.0
        # Monotonic time at which each pending first token is overdue.
        self._overdue_at_by_attempt: dict[int, float] = {}

    def estimate_others(self, endpoint: Endpoint) -> int:
        """Return the requests of other VMs as of the last report."""
        reported = endpoint.running + endpoint.waiting
        return self.local_load.estimate_others(reported, endpoint.reported_at)

    def current_limit(self, now: float) -> float:
        """Return the current limit on requests in flight."""
        if self.health.is_half_open(now) or self.is_outlier:
            return 1.0
        share = self.health.capacity_fraction(now)
        return max(1.0, self.limit.value * share) if share else 0.0

    def update_outlier(
        self, typical_slowness: float, typical: Speed, now: float
    ) -> None:
        """Update whether the endpoint is much slower than is typical."""
        speed = self.speed
        limit = OUTLIER_SLOWNESS * max(1.0, typical_slowness)
        was_outlier = self.is_outlier
        self.is_outlier = (
            speed.samples >= _MIN_SAMPLES and speed.slowness > limit
        )
        if was_outlier and not self.is_outlier:
            # Its speed averages are out of date and would keep requests,
            # and so new measurements, away from it.
            self.speed = SpeedModel(start=typical)
            self.health.begin_slow_start(now)

    def is_due_for_trial(self, typical: Speed, now: float) -> bool:
        """Return whether to send a trial request to a slow endpoint.

        Without trial requests an endpoint that was slow once would never be
        selected again, and its recovery would not be detected.
        """
        avoided = (
            self.is_outlier
            or self.health.is_half_open(now)
            or self.speed.is_slower_than(typical)
        )
        return (
            avoided
            and not self.local_load.count
            and now - self.last_attempt_at >= TRIAL_INTERVAL_SECONDS
        )

    def expect_first_token(
        self, attempt: int, now: float, expected: float
    ) -> None:
        """Set when the first token of an attempt will be overdue."""
        overdue_at = now + expected * OVERDUE_FACTOR + OVERDUE_MARGIN_SECONDS
        self._overdue_at_by_attempt[attempt] = overdue_at

    def clear_first_token(self, attempt: int) -> None:
        """Stop expecting the first token of an attempt."""
        self._overdue_at_by_attempt.pop(attempt, None)

    def is_overdue(self, attempt: int, now: float) -> bool:
        """Return whether the first token of an attempt is overdue."""
        return self._overdue_at_by_attempt.get(attempt, math.inf) < now

    def is_unresponsive(self, now: float) -> bool:
        """Return whether the oldest pending first token is overdue.

        An endpoint that accepts requests but does not answer looks idle in
        its reports. It would attract all requests until their deadlines.
        """
        oldest = next(iter(self._overdue_at_by_attempt.values()), None)
        return oldest is not None and oldest < now

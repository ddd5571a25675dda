"""What one VM has learned of one incarnation of an endpoint."""

import math
import random

from burdockdrum.endpoints import Endpoint
from burdockdrum.routing.health import EndpointHealth
from burdockdrum.routing.load import OwnLoad
from burdockdrum.routing.speed import ConcurrencyLimit
from burdockdrum.routing.speed import Speed
from burdockdrum.routing.speed import SpeedModel

# A first token is overdue after this many times its expected seconds, and
# this many seconds besides.
OVERDUE_FACTOR = 4.0
OVERDUE_SECONDS = 1.5
# Times slower than the service's others that makes an outlier.
OUTLIER_SLOWNESS = 3.0
# An endpoint that is held back gets one request in so many seconds.
TRIAL_SECONDS = 4.0
_MIN_SAMPLES = 3


class EndpointTracker:
    """Own load, health, speed and limit of an endpoint."""

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        rng: random.Random,
        slow_start_seconds: float,
        start_speed: Speed,
    ) -> None:
        """Create the tracker of an endpoint that was just heard of."""
        self.incarnation = endpoint.incarnation
        self.name = f"{endpoint.endpoint_id}@{endpoint.incarnation}"
        self.own = OwnLoad()
        self.suspects = 0
        self.is_outlier = False
        self.tried_at = -math.inf
        self.health = EndpointHealth(
            rng=rng, slow_start_seconds=slow_start_seconds
        )
        self.speed = SpeedModel(start=start_speed)
        self.limit = ConcurrencyLimit(slots=endpoint.slots)
        self.service_seconds = 1.0
        # When the first token of each attempt that waits for it is overdue.
        self._overdue_at_by_attempt: dict[int, float] = {}

    def estimate_others(self, endpoint: Endpoint) -> int:
        """Return other VMs' requests there, as of the last report."""
        reported = endpoint.running + endpoint.waiting
        return self.own.estimate_others(reported, endpoint.reported_at)

    def current_limit(self, now: float) -> float:
        """Return how many requests it may have in flight now."""
        if self.health.is_on_trial(now) or self.is_outlier:
            return 1.0
        share = self.health.share(now)
        return max(1.0, self.limit.value * share) if share else 0.0

    def compare(
        self, typical_slowness: float, typical: Speed, now: float
    ) -> None:
        """Judge anew whether it is far slower than its service's others."""
        speed = self.speed
        limit = OUTLIER_SLOWNESS * max(1.0, typical_slowness)
        was_outlier = self.is_outlier
        self.is_outlier = (
            speed.samples >= _MIN_SAMPLES and speed.slowness > limit
        )
        if was_outlier and not self.is_outlier:
            # What was learned of it while it was slow would keep all work
            # away from it, and nothing new would be learned.
            self.speed = SpeedModel(start=typical)
            self.health.start_slowly(now)

    def is_due_for_trial(self, typical: Speed, now: float) -> bool:
        """Say whether it should get one request although others are better.

        Without it an endpoint that was slow once would never be chosen
        again, and its recovery never noticed.
        """
        held_back = (
            self.is_outlier
            or self.health.is_on_trial(now)
            or self.speed.is_slower_than(typical)
        )
        return (
            held_back
            and not self.own.count
            and now - self.tried_at >= TRIAL_SECONDS
        )

    def expect_first_token(
        self, attempt: int, now: float, expected: float
    ) -> None:
        """Note when an attempt's first token will be overdue."""
        overdue_at = now + expected * OVERDUE_FACTOR + OVERDUE_SECONDS
        self._overdue_at_by_attempt[attempt] = overdue_at

    def got_first_token(self, attempt: int) -> None:
        """Expect no more of an attempt."""
        self._overdue_at_by_attempt.pop(attempt, None)

    def is_overdue(self, attempt: int, now: float) -> bool:
        """Say whether an attempt's first token should have come."""
        return self._overdue_at_by_attempt.get(attempt, math.inf) < now

    def is_silent(self, now: float) -> bool:
        """Say whether the oldest first token is overdue.

        An endpoint that takes requests and answers none looks idle in its
        own reports; without this it would draw all work until timeouts
        tell, which are as long as the deadlines.
        """
        oldest = next(iter(self._overdue_at_by_attempt.values()), None)
        return oldest is not None and oldest < now

"""Outlier ejection of endpoints, based on the outcomes of real requests.

A failing endpoint is ejected for a time that doubles with each ejection. It
is then half-open, with one request at a time, and returns with a slow start.
There are no active health checks: an endpoint can pass them and still not
answer requests.
"""

import random

FAILURES_TO_EJECT = 3
ERROR_RATE_TO_EJECT = 0.5
# Outcomes before the error rate is considered.
MIN_OUTCOMES = 8
MIN_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 30.0
# Consecutive successes that end the half-open state.
SUCCESSES_TO_RESTORE = 2
# Fraction of the concurrency limit at the beginning of a slow start.
SLOW_START_MIN_FRACTION = 0.25
_ERROR_RATE_WEIGHT = 0.1


class EndpointHealth:
    """The ejection state of one incarnation of an endpoint."""

    def __init__(
        self, *, rng: random.Random, slow_start_seconds: float
    ) -> None:
        """Create the state of a healthy endpoint."""
        self._rng = rng
        self._slow_start_seconds = slow_start_seconds
        self._consecutive_failures = 0
        self._half_open_successes = 0
        self._outcomes = 0
        self._error_rate = 0.0
        self._ejection_seconds = MIN_EJECTION_SECONDS
        self._ejected_until: float | None = None
        self._slow_start_began_at: float | None = None

    def begin_slow_start(self, now: float) -> None:
        """Begin a slow start, because the endpoint's caches are empty."""
        self._slow_start_began_at = now

    def record_success(self, now: float) -> None:
        """Record a complete answer."""
        self._consecutive_failures = 0
        self._outcomes += 1
        self._error_rate *= 1 - _ERROR_RATE_WEIGHT
        if self._ejected_until is None:
            return
        self._half_open_successes += 1
        if self._half_open_successes >= SUCCESSES_TO_RESTORE:
            self._ejected_until = None
            self._error_rate = 0.0
            self._ejection_seconds = MIN_EJECTION_SECONDS
            self.begin_slow_start(now)

    def record_failure(self, now: float) -> bool:
        """Record a failed attempt; return whether it ejects the endpoint."""
        self._consecutive_failures += 1
        self._outcomes += 1
        self._error_rate += (1 - self._error_rate) * _ERROR_RATE_WEIGHT
        fails_often = (
            self._outcomes >= MIN_OUTCOMES
            and self._error_rate > ERROR_RATE_TO_EJECT
        )
        failed_half_open = (
            self._ejected_until is not None and now >= self._ejected_until
        )
        if (
            self._consecutive_failures >= FAILURES_TO_EJECT
            or fails_often
            or failed_half_open
        ):
            return self.eject(now)
        return False

    def eject(self, now: float) -> bool:
        """Eject the endpoint; return False if it is ejected already."""
        if self._ejected_until is not None and now < self._ejected_until:
            return False
        # Jitter keeps the entry VMs from retrying at the same time.
        seconds = self._ejection_seconds * (0.75 + 0.5 * self._rng.random())
        self._ejected_until = now + seconds
        self._ejection_seconds = min(
            MAX_EJECTION_SECONDS, self._ejection_seconds * 2
        )
        self._half_open_successes = 0
        return True

    def is_ejected(self, now: float) -> bool:
        """Return whether the endpoint is ejected and gets no requests."""
        return self._ejected_until is not None and now < self._ejected_until

    def is_half_open(self, now: float) -> bool:
        """Return whether the ejection is over but not yet confirmed.

        A half-open endpoint gets one request at a time.
        """
        return self._ejected_until is not None and now >= self._ejected_until

    def capacity_fraction(self, now: float) -> float:
        """Return the usable fraction of the concurrency limit, 0 to 1."""
        if self.is_ejected(now):
            return 0.0
        if self._slow_start_began_at is None:
            return 1.0
        if self._slow_start_seconds <= 0:
            return 1.0
        progress = (now - self._slow_start_began_at) / self._slow_start_seconds
        if progress >= 1:
            self._slow_start_began_at = None
            return 1.0
        return (
            SLOW_START_MIN_FRACTION + (1 - SLOW_START_MIN_FRACTION) * progress
        )

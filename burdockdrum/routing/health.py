"""Whether an endpoint deserves new work, learned from real requests.

Outlier ejection with a doubling pause, then one request at a time, then a
slow start. No probes are sent of its own accord: an endpoint that answers
probes but no requests would pass them.
"""

import random

FAILURES_TO_EJECT = 3
ERROR_RATE_TO_EJECT = 0.5
# The error rate counts after this many outcomes.
MIN_OUTCOMES = 8
FIRST_PAUSE_SECONDS = 1.0
MAX_PAUSE_SECONDS = 30.0
# Successes in a row that end the time of one request at a time.
SUCCESSES_TO_RETURN = 2
# What a returning endpoint gets of its limit at first.
SLOW_START_FLOOR = 0.25
_RATE_WEIGHT = 0.1


class EndpointHealth:
    """What the outcomes at one incarnation of an endpoint say of it."""

    def __init__(
        self, *, rng: random.Random, slow_start_seconds: float
    ) -> None:
        """Create the health of an endpoint that nothing is held against."""
        self._rng = rng
        self._slow_start_seconds = slow_start_seconds
        self._failures = 0
        self._successes = 0
        self._outcomes = 0
        self._error_rate = 0.0
        self._pause = FIRST_PAUSE_SECONDS
        self._ejected_until: float | None = None
        self._ramp_from: float | None = None

    def start_slowly(self, now: float) -> None:
        """Ramp up from now: the endpoint's caches are cold."""
        self._ramp_from = now

    def note_success(self, now: float) -> None:
        """Take in an answer that came as it should."""
        self._failures = 0
        self._outcomes += 1
        self._error_rate *= 1 - _RATE_WEIGHT
        if self._ejected_until is None:
            return
        self._successes += 1
        if self._successes >= SUCCESSES_TO_RETURN:
            self._ejected_until = None
            self._error_rate = 0.0
            self._pause = FIRST_PAUSE_SECONDS
            self.start_slowly(now)

    def note_failure(self, now: float) -> bool:
        """Take in a failed attempt; say whether it ejects the endpoint."""
        self._failures += 1
        self._outcomes += 1
        self._error_rate += (1 - self._error_rate) * _RATE_WEIGHT
        often = (
            self._outcomes >= MIN_OUTCOMES
            and self._error_rate > ERROR_RATE_TO_EJECT
        )
        tried_again = (
            self._ejected_until is not None and now >= self._ejected_until
        )
        if self._failures >= FAILURES_TO_EJECT or often or tried_again:
            return self.eject(now)
        return False

    def eject(self, now: float) -> bool:
        """Give no work for a pause; say whether that is news."""
        if self._ejected_until is not None and now < self._ejected_until:
            return False
        # Jitter keeps the entry VMs from trying again all at once.
        pause = self._pause * (0.75 + 0.5 * self._rng.random())
        self._ejected_until = now + pause
        self._pause = min(MAX_PAUSE_SECONDS, self._pause * 2)
        self._successes = 0
        return True

    def is_ejected(self, now: float) -> bool:
        """Say whether the endpoint is in its pause."""
        return self._ejected_until is not None and now < self._ejected_until

    def is_on_trial(self, now: float) -> bool:
        """Say whether it may have one request at a time."""
        return self._ejected_until is not None and now >= self._ejected_until

    def share(self, now: float) -> float:
        """Return how much of its limit the endpoint may use, 0 to 1."""
        if self.is_ejected(now):
            return 0.0
        if self._ramp_from is None:
            return 1.0
        if self._slow_start_seconds <= 0:
            return 1.0
        ramp = (now - self._ramp_from) / self._slow_start_seconds
        if ramp >= 1:
            self._ramp_from = None
            return 1.0
        return SLOW_START_FLOOR + (1 - SLOW_START_FLOOR) * ramp

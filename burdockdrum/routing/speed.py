"""Models of an endpoint's speed and concurrency limit.

Both are updated from the measured times of real requests.
"""

from dataclasses import dataclass

# Initial values, in seconds per token.
DEFAULT_PREFILL_SECONDS = 0.0002
DEFAULT_DECODE_SECONDS = 0.02
# Prefill of other requests in a batch may delay a first token by this much;
# the endpoint is not slow because of it.
BATCHING_DELAY_SECONDS = 0.4
# A time below this fraction of the average replaces the average.
RECOVERY_FACTOR = 0.5
# Ratio to the typical time per token above which it hardly gets requests.
_SLOW_FACTOR = 1.5
_SPEED_WEIGHT = 0.15
_SLOWNESS_WEIGHT = 0.3
# Shorter prompts give no useful measurement of the prefill speed.
_MIN_PREFILL_TOKENS = 256
# The limit is decreased when the time to first token exceeds the expected
# time multiplied by the factor, plus the margin.
_LATE_FACTOR = 2.0
_LATE_MARGIN_SECONDS = 1.0
_DECREASE_FACTOR = 0.9
_DECREASE_INTERVAL_SECONDS = 1.0


@dataclass(frozen=True, kw_only=True)
class Speed:
    """Seconds per token of prefill and of decode."""

    prefill_seconds: float = DEFAULT_PREFILL_SECONDS
    decode_seconds: float = DEFAULT_DECODE_SECONDS


class SpeedModel:
    """Moving averages of an endpoint's speed."""

    def __init__(self, *, start: Speed) -> None:
        """Start with the typical speed of the service."""
        self._prefill_seconds = start.prefill_seconds
        self._decode_seconds = start.decode_seconds
        # Ratio of observed to expected time to first token.
        self.slowness = 1.0
        self.samples = 0

    @property
    def speed(self) -> Speed:
        """Return the current averages."""
        return Speed(
            prefill_seconds=self._prefill_seconds,
            decode_seconds=self._decode_seconds,
        )

    def is_slower_than(self, typical: Speed) -> bool:
        """Return whether it is too slow to be selected normally."""
        return (
            self._decode_seconds > typical.decode_seconds * _SLOW_FACTOR
            or self._prefill_seconds
            > typical.prefill_seconds * _SLOW_FACTOR * 2
        )

    def record_first_token(
        self, *, seconds: float, expected: float, uncached_tokens: float
    ) -> None:
        """Record a time to first token.

        :param expected: the time at the service's typical speed
        :param uncached_tokens: prompt tokens assumed not to be cached
        """
        self.samples += 1
        ratio = min(20.0, seconds / (expected + BATCHING_DELAY_SECONDS))
        self.slowness += _SLOWNESS_WEIGHT * (ratio - self.slowness)
        if uncached_tokens >= _MIN_PREFILL_TOKENS:
            observed = (
                max(0.0, seconds - self._decode_seconds) / uncached_tokens
            )
            self._prefill_seconds += _SPEED_WEIGHT * (
                observed - self._prefill_seconds
            )

    def record_decode(self, *, seconds: float, tokens: int) -> None:
        """Record the time of the tokens after the first."""
        if tokens <= 0:
            return
        observed = seconds / tokens
        if observed < self._decode_seconds * RECOVERY_FACTOR:
            # It has recovered. The average would take many requests to
            # show that, and a slow endpoint gets few.
            self._decode_seconds = observed
        else:
            self._decode_seconds += _SPEED_WEIGHT * (
                observed - self._decode_seconds
            )


class ConcurrencyLimit:
    """An adaptive limit on the requests in flight at an endpoint.

    Additive increase and multiplicative decrease (Chiu and Jain, "Analysis
    of the increase and decrease algorithms", 1989) on the time to the first
    token, as TCP Vegas (Brakmo et al., 1994) uses growing delay instead
    of loss as the signal of a queue. The announced slots are the upper
    bound, because an endpoint may announce more than it can sustain.
    """

    def __init__(self, *, slots: int) -> None:
        """Start at the number of announced slots."""
        self._slots = max(1, slots)
        self._decreased_at = float("-inf")
        self.value = float(self._slots)

    def adjust(
        self, *, seconds: float, expected: float, load: float, now: float
    ) -> None:
        """Adjust the limit to a time to first token.

        :param load: requests at the endpoint when the attempt began
        """
        late = seconds > expected * _LATE_FACTOR + _LATE_MARGIN_SECONDS
        if late and load <= self.value:
            if now - self._decreased_at > _DECREASE_INTERVAL_SECONDS:
                self._decreased_at = now
                self.value = max(1.0, self.value * _DECREASE_FACTOR)
        elif not late and load >= self.value * 0.7:
            self.value = min(self._slots, self.value + 1 / self.value)

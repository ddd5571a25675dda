"""How fast an endpoint is and how much it takes at once, as observed."""

from dataclasses import dataclass

# Starting points until the first answers; seconds.
DEFAULT_PREFILL_SECONDS = 0.0002
DEFAULT_TOKEN_SECONDS = 0.02
# A first token may wait this long for other prompts of its batch to be
# read: an endpoint is not slow for that.
BATCH_SECONDS = 0.4
# An answer in less than this share of the expected time starts anew.
RECOVERED_SHARE = 0.5
# Times slower than typical from which an endpoint hardly gets requests.
_SLOW_FACTOR = 1.5
_WEIGHT = 0.15
_SLOWNESS_WEIGHT = 0.3
# Prompts shorter than this say little about the time to read a token.
_MIN_PREFILL_TOKENS = 256
# The limit sinks when the first token takes this many times as long as
# expected, and this many seconds more than that.
_LATE_FACTOR = 2.0
_LATE_SECONDS = 1.0
_DECREASE = 0.9
_DECREASE_EVERY_SECONDS = 1.0


@dataclass(frozen=True, kw_only=True)
class Speed:
    """Seconds to read a token of a prompt and to generate one."""

    prefill: float = DEFAULT_PREFILL_SECONDS
    token: float = DEFAULT_TOKEN_SECONDS


class SpeedModel:
    """Moving averages of an endpoint's speed."""

    def __init__(self, *, start: Speed) -> None:
        """Begin with what is typical of the service."""
        self._prefill = start.prefill
        self._token = start.token
        # Observed over expected time to the first token.
        self.slowness = 1.0
        self.samples = 0

    @property
    def speed(self) -> Speed:
        """Return the averages."""
        return Speed(prefill=self._prefill, token=self._token)

    def is_slower_than(self, typical: Speed) -> bool:
        """Say whether the choice would hardly ever fall on it."""
        return (
            self._token > typical.token * _SLOW_FACTOR
            or self._prefill > typical.prefill * _SLOW_FACTOR * 2
        )

    def learn_first_token(
        self, *, seconds: float, expected: float, tokens_read: float
    ) -> None:
        """Take in the time to a first token.

        :param expected: what the service's typical speed would have given
        :param tokens_read: tokens of the prompt that were thought uncached
        """
        self.samples += 1
        ratio = min(20.0, seconds / (expected + BATCH_SECONDS))
        self.slowness += _SLOWNESS_WEIGHT * (ratio - self.slowness)
        if tokens_read >= _MIN_PREFILL_TOKENS:
            observed = max(0.0, seconds - self._token) / tokens_read
            self._prefill += _WEIGHT * (observed - self._prefill)

    def learn_tokens(self, *, seconds: float, tokens: int) -> None:
        """Take in the time that tokens after the first took."""
        if tokens <= 0:
            return
        observed = seconds / tokens
        if observed < self._token * RECOVERED_SHARE:
            # It has recovered: an average would hold the past against it
            # for many requests, which it would not get.
            self._token = observed
        else:
            self._token += _WEIGHT * (observed - self._token)


class ConcurrencyLimit:
    """How many requests an endpoint is given at once.

    Additive increase and multiplicative decrease (Chiu and Jain, "Analysis
    of the increase and decrease algorithms", 1989) on the time to the first
    token, as TCP Vegas (Brakmo et al., 1994) takes growing delay and not
    loss for the sign of a queue. The slots that the endpoint announces are
    the ceiling: it may have announced more than it can carry.
    """

    def __init__(self, *, slots: int) -> None:
        """Start at the ceiling."""
        self._slots = max(1, slots)
        self._decreased_at = float("-inf")
        self.value = float(self._slots)

    def learn(
        self, *, seconds: float, expected: float, load: float, now: float
    ) -> None:
        """Take in the time to a first token against what was expected.

        :param load: the requests at the endpoint when it was sent
        """
        late = seconds > expected * _LATE_FACTOR + _LATE_SECONDS
        if late and load <= self.value:
            if now - self._decreased_at > _DECREASE_EVERY_SECONDS:
                self._decreased_at = now
                self.value = max(1.0, self.value * _DECREASE)
        elif not late and load >= self.value * 0.7:
            self.value = min(self._slots, self.value + 1 / self.value)

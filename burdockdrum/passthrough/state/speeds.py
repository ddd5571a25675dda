"""How much faster or slower each endpoint of a service is than is typical.

The ratios of observed to expected times are kept as decaying sums: one for
the lasting speed, and two for what the endpoint does now. Entries of a
region tell each other what they added. Times are passed in; nothing here
reads a clock.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import math

from burdockdrum.logs import log_decision
from burdockdrum.registrations import SpeedSum

# Decay times of the three sums.
LASTING_SECONDS = 10.0
RECENT_SECONDS = 2.5
CURRENT_SECONDS = 0.6
# A slow endpoint without a sample for so long is forgotten faster: it may have
# recovered, which only a request can show.
UNUSED_SECONDS = 3.0
# Weight at which half of a sum's deviation is believed. A single sample of
# the current speed has an unknown cause in most cases.
LASTING_HALF_TRUST = 2.0
CURRENT_HALF_TRUST = 2.0
# Squares of the deviations, in standard errors, from which on a change is
# believed; the shorter sum holds fewer samples, of one cause more often.
RECENT_EVIDENCE = 4.0
CURRENT_EVIDENCE = 9.0
# Limits the lasting weight, so that many entries can't make a belief rigid,
# and how much a single observation says.
MAX_WEIGHT = 200.0
MAX_DEVIATION = math.log(8.0)
# Least gain of the moving average of what all endpoints have in common.
_COMMON_GAIN = 0.05
_COMMON_MAX_STEP = math.log(2.0)
# Variance of a source of observations before any, and up to which one counts
# with its whole weight.
_PRIOR_VARIANCE = 0.5
_PRECISE_VARIANCE = 0.25
# An endpoint's weight below which it doesn't count for the median.
_MIN_MEDIAN_WEIGHT = 1.0
# Below it an endpoint's sums are as good as none.
_FORGOTTEN_WEIGHT = 0.02
# The typical speed is computed after each of the first observations, later
# only after so many, as that takes longer than an observation.
INITIAL_MEDIANS = 32
MEDIAN_INTERVAL = 8
# Limits what an endpoint contributes to the typical speed.
_MAX_TYPICAL_DEVIATION = math.log(2.0)
# A change of the lasting belief is logged from this ratio on.
LOGGED_CHANGE = math.log(1.25)


@dataclass(kw_only=True, slots=True)
class DecayingSum:
    """Weights and weighted logarithms of ratios, decaying in time."""

    decay_seconds: float
    weight: float = 0.0
    weighted_log: float = 0.0
    updated_at: float = 0.0

    def decay(self, now: float, seconds: float | None = None) -> None:
        """Let the sum decay up to a time; an earlier one changes nothing.

        :param seconds: another decay time for this while
        """
        passed = now - self.updated_at
        if passed <= 0:
            return
        factor = math.exp(-passed / (seconds or self.decay_seconds))
        self.weight *= factor
        self.weighted_log *= factor
        self.updated_at = now

    def add(self, weight: float, weighted_log: float, now: float) -> None:
        """Add a sample, or a sum of samples."""
        self.decay(now)
        self.weight += weight
        self.weighted_log += weighted_log
        if self.weight > MAX_WEIGHT:
            self.weighted_log *= MAX_WEIGHT / self.weight
            self.weight = MAX_WEIGHT

    def shrink_towards(self, prior: float, half_trust: float) -> float:
        """Return the mean, moved to a prior by the weight ``half_trust``."""
        return (self.weighted_log + prior * half_trust) / (
            self.weight + half_trust
        )

    def evidence_against(self, belief: float) -> float:
        """Return the square of how many standard errors the mean is off."""
        if not self.weight:
            return 0.0
        difference = self.weighted_log / self.weight - belief
        return difference**2 * self.weight / _PRECISE_VARIANCE


@dataclass(kw_only=True, slots=True)
class _EndpointSpeed:
    lasting: DecayingSum = field(
        default_factory=lambda: DecayingSum(decay_seconds=LASTING_SECONDS)
    )
    recent: DecayingSum = field(
        default_factory=lambda: DecayingSum(decay_seconds=RECENT_SECONDS)
    )
    current: DecayingSum = field(
        default_factory=lambda: DecayingSum(decay_seconds=CURRENT_SECONDS)
    )
    belief: float = 0.0
    logged: float = 0.0
    sampled_at: float = 0.0
    _factor: float = 1.0
    _factor_median: float | None = None

    def add(self, weight: float, weighted_log: float, now: float) -> None:
        self.sampled_at = now
        self.lasting.add(weight, weighted_log, now)
        self.recent.add(weight, weighted_log, now)
        self.current.add(weight, weighted_log, now)

    def decay(self, now: float, median: float) -> None:
        is_slow = self.lasting.weighted_log > median * self.lasting.weight
        is_unused = now - self.sampled_at > UNUSED_SECONDS
        seconds = RECENT_SECONDS if is_slow and is_unused else None
        self.lasting.decay(now, seconds)
        self.recent.decay(now)
        self.current.decay(now)

    def update(self, median: float) -> None:
        """Update the belief, which without samples is the median."""
        self.belief = self._believe(median)
        self._factor_median = None

    def factor(self, median: float) -> float:
        """Return the believed time as a multiple of the typical one."""
        if self._factor_median != median:
            self._factor_median = median
            self._factor = math.exp(self.belief - median)
        return self._factor

    def _believe(self, median: float) -> float:
        """Return the logarithm of the present speed.

        A shorter sum counts only if it differs from what the longer ones say
        by more than its samples would by chance: with many samples a change
        is noticed by the shortest, with few by the longer one.
        """
        belief = self.lasting.shrink_towards(median, LASTING_HALF_TRUST)
        for part, evidence in (
            (self.recent, RECENT_EVIDENCE),
            (self.current, CURRENT_EVIDENCE),
        ):
            if part.evidence_against(belief) >= evidence:
                belief = part.shrink_towards(belief, CURRENT_HALF_TRUST)
        return belief


@dataclass(kw_only=True, slots=True)
class _Source:
    """What all ratios of one source of observations have in common.

    ``common`` is their mean logarithm for a typical endpoint, ``variance``
    how much a single one says too much or too little.
    """

    common: float
    variance: float = _PRIOR_VARIANCE
    weight: float = 0.0

    def precision(self) -> float:
        """Return how much an observation says, at most 1.

        What is common is as uncertain as the observations that it comes from.
        """
        certainty = self.weight / (self.weight + 1.0)
        return certainty * min(1.0, _PRECISE_VARIANCE / self.variance)

    def update(self, error: float, weight: float) -> None:
        """Record by how much an observation differs from the belief."""
        self.weight += weight
        gain = max(_COMMON_GAIN, 1 / (1 + self.weight)) * min(1.0, weight)
        self.common += _clip(error, _COMMON_MAX_STEP) * gain
        self.variance += (error**2 - self.variance) * gain * 0.5


class EndpointSpeeds:
    """The speeds of one service's endpoints, as multiples of the typical."""

    def __init__(self, *, service: str) -> None:
        """Create it without observations; all endpoints seem typical."""
        self._service = service
        self._speeds_by_id: dict[str, _EndpointSpeed] = {}
        self._sources_by_name: dict[str, _Source] = {}
        self._news_by_id: dict[str, DecayingSum] = {}
        self._median = 0.0
        self._observations = 0

    def factor(self, endpoint_id: str) -> float:
        """Return an endpoint's times as a multiple of the typical ones."""
        speed = self._speeds_by_id.get(endpoint_id)
        return speed.factor(self._median) if speed is not None else 1.0

    def factors_by_id(self) -> dict[str, float]:
        """Return the factors of all endpoints with observations."""
        return {
            endpoint_id: self.factor(endpoint_id)
            for endpoint_id in self._speeds_by_id
        }

    def record(
        self,
        endpoint_id: str,
        *,
        source: str,
        ratio: float,
        weight: float,
        now: float,
    ) -> None:
        """Record an observation of this entry.

        What all endpoints have in common for a source of observations is an
        error of its expected times, and is subtracted.

        :param source: what was observed, and under which conditions
        :param ratio: the observed time relative to what a typical endpoint
            is expected to take; above 0
        :param weight: 1 for a request's time to first token
        """
        speed = self._speeds_by_id.setdefault(endpoint_id, _EndpointSpeed())
        log_ratio = math.log(ratio)
        deviation_before = speed.belief - self._median
        known = self._sources_by_name.get(source)
        if known is None:
            known = _Source(common=log_ratio - deviation_before)
            self._sources_by_name[source] = known
        deviation = _clip(log_ratio - known.common, MAX_DEVIATION)
        precision = known.precision()
        known.update(deviation - deviation_before, weight)
        weight *= precision
        self._add(speed, weight, weight * deviation, now)
        self._observations += 1
        if (
            self._observations <= INITIAL_MEDIANS
            or self._observations % MEDIAN_INTERVAL == 0
        ):
            self._update_median()
        news = self._news_by_id.get(endpoint_id)
        if news is None:
            news = DecayingSum(decay_seconds=LASTING_SECONDS, updated_at=now)
            self._news_by_id[endpoint_id] = news
        news.add(weight, weight * deviation, now)

    def observed_deviation(self, endpoint_id: str) -> float:
        """Return the mean logarithm of an endpoint's ratios, or 0."""
        speed = self._speeds_by_id.get(endpoint_id)
        if speed is None or not speed.lasting.weight:
            return 0.0
        return speed.lasting.weighted_log / speed.lasting.weight - self._median

    def expected_ratio(self, endpoint_id: str, source: str) -> float | None:
        """Return the expected ratio of a source, None if unknown."""
        known = self._sources_by_name.get(source)
        if known is None:
            return None
        return math.exp(known.common) * self.factor(endpoint_id)

    def receive(self, told: SpeedSum, now: float) -> None:
        """Add what another entry observed."""
        speed = self._speeds_by_id.setdefault(
            told.endpoint_id, _EndpointSpeed()
        )
        limit = MAX_DEVIATION * told.weight
        weighted_log = _clip(told.weighted_log, limit)
        self._add(speed, told.weight, weighted_log, now)

    def pop_news(self) -> list[SpeedSum]:
        """Return and forget what this entry observed since the last call."""
        news, self._news_by_id = self._news_by_id, {}
        return _encode(news.items())

    def read_all(self, now: float) -> list[SpeedSum]:
        """Return the sums of the lasting speeds."""
        for speed in self._speeds_by_id.values():
            speed.decay(now, self._median)
        return _encode(
            (endpoint_id, speed.lasting)
            for endpoint_id, speed in self._speeds_by_id.items()
        )

    def refresh(self, now: float) -> None:
        """Let all sums decay, and update the median and the beliefs."""
        for endpoint_id, speed in list(self._speeds_by_id.items()):
            speed.decay(now, self._median)
            if speed.lasting.weight < _FORGOTTEN_WEIGHT:
                del self._speeds_by_id[endpoint_id]
        self._update_median()
        for endpoint_id, speed in self._speeds_by_id.items():
            speed.update(self._median)
            self._log_change(endpoint_id, speed)

    def remove(self, endpoint_id: str) -> None:
        """Remove an endpoint that no longer exists."""
        self._speeds_by_id.pop(endpoint_id, None)
        self._news_by_id.pop(endpoint_id, None)

    def _add(
        self,
        speed: _EndpointSpeed,
        weight: float,
        weighted_log: float,
        now: float,
    ) -> None:
        speed.add(weight, weighted_log, now)
        speed.update(self._median)

    def _update_median(self) -> None:
        means = sorted(
            speed.lasting.shrink_towards(0.0, LASTING_HALF_TRUST)
            for speed in self._speeds_by_id.values()
            if speed.lasting.weight >= _MIN_MEDIAN_WEIGHT
        )
        if not means:
            return
        middle = means[len(means) // 2]
        self._median = middle + sum(
            _clip(mean - middle, _MAX_TYPICAL_DEVIATION) for mean in means
        ) / len(means)

    def _log_change(self, endpoint_id: str, speed: _EndpointSpeed) -> None:
        lasting = speed.lasting.shrink_towards(
            self._median, LASTING_HALF_TRUST
        )
        belief = lasting - self._median
        if abs(belief - speed.logged) < LOGGED_CHANGE:
            return
        log_decision(
            "endpoint.speed_changed",
            service=self._service,
            endpoint_id=endpoint_id,
            time_factor=round(math.exp(belief), 2),
            previous=round(math.exp(speed.logged), 2),
            weight=round(speed.lasting.weight, 1),
        )
        speed.logged = belief


def _clip(value: float, limit: float) -> float:
    return max(-limit, min(limit, value))


def _encode(sums: Iterable[tuple[str, DecayingSum]]) -> list[SpeedSum]:
    encoded = (
        SpeedSum.make(endpoint_id, part.weight, part.weighted_log)
        for endpoint_id, part in sums
    )
    return [told for told in encoded if told.hundredths]

"""Online non-negative least squares fit of durations by size.

Observations are kept as one mean for each bucket of sizes, so that the many
short prompts don't outweigh the few long ones. The fit minimizes the relative
error; a prior stands in for buckets without observations.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import replace
import itertools
import math

Features = tuple[float, ...]

# Weight of a bucket's prior, in observations. The prior keeps the curve's
# shape where nothing was observed.
PRIOR_WEIGHT = 0.5
# Limits a mean's weight, so that it follows changes of speed: at the request
# rates of a busy service within about ten seconds.
MAX_WEIGHT = 24.0
# After this many observations in a row on one side of a mean, its weight is
# halved: most such streaks are a change of speed and not noise. By chance only
# one in 32 rows of six observations is on one side.
STREAK_LENGTH = 6
MIN_WEIGHT_AFTER_STREAK = 4.0
# Clips an observation's ratio to the mean: outliers come from unknown queues
# or endpoints that hang.
MAX_OBSERVATION_RATIO = 2.0
# The curve is fitted after each of the first INITIAL_FITS observations, later
# only once per FIT_INTERVAL, as a fit is far costlier than an update.
FIT_INTERVAL = 16
INITIAL_FITS = 32


@dataclass(kw_only=True)
class _SizeMean:
    """The mean of one bucket's observations.

    The mean of the seconds is geometric, which limits the effect of outliers.
    """

    features: list[float]
    prior: float
    seconds: float
    weight: float
    streak: int = 0

    @property
    def is_observed(self) -> bool:
        return self.weight > PRIOR_WEIGHT

    def update(self, features: Features, seconds: float) -> None:
        ratio = seconds / self.seconds
        clipped = min(
            max(ratio, 1 / MAX_OBSERVATION_RATIO), MAX_OBSERVATION_RATIO
        )
        self._count_streak(ratio)
        self.weight = min(self.weight + 1.0, MAX_WEIGHT)
        gain = 1.0 / self.weight if self.weight > 1.0 else 1.0
        self.seconds *= clipped**gain
        for index, value in enumerate(features):
            self.features[index] += gain * (value - self.features[index])

    def _count_streak(self, ratio: float) -> None:
        step = 1 if ratio > 1 else -1
        self.streak = self.streak + step if self.streak * step > 0 else step
        if abs(self.streak) >= STREAK_LENGTH:
            self.streak = 0
            self.weight = max(
                self.weight / 2, min(self.weight, MIN_WEIGHT_AFTER_STREAK)
            )


class ObservedCurve:
    """Predicts seconds as a linear combination of features."""

    def __init__(
        self,
        *,
        prior: dict[int, tuple[Features, float]],
        required_feature: int,
    ) -> None:
        """Create a curve fitted to a prior.

        :param prior: features and seconds by bucket key
        :param required_feature: index of a feature whose coefficient must be
            positive
        """
        self._required_feature = required_feature
        self._means_by_key = {
            key: _SizeMean(
                features=list(features),
                prior=seconds,
                seconds=seconds,
                weight=PRIOR_WEIGHT,
            )
            for key, (features, seconds) in prior.items()
        }
        self._unfitted_observations = 0
        self._observations = 0
        self.coefficients: Features = self._fit()

    def seconds(self, features: Features) -> float:
        """Return the predicted seconds for some features."""
        total = 0.0
        for value, coefficient in zip(
            features, self.coefficients, strict=True
        ):
            total += value * coefficient
        return total

    def record(self, key: int, features: Features, seconds: float) -> None:
        """Record an observation.

        :param key: the bucket, one of the prior's keys
        """
        self._means_by_key[key].update(features, seconds)
        self._unfitted_observations += 1
        self._observations += 1
        if (
            self._unfitted_observations >= FIT_INTERVAL
            or self._observations <= INITIAL_FITS
        ):
            self._unfitted_observations = 0
            self.coefficients = self._fit()

    def _fit(self) -> Features:
        """Return the non-negative coefficients of least error.

        Tries every subset of the two or three features and keeps the best
        one whose coefficients are all positive. If none of them includes the
        required feature, the previous coefficients stay.
        """
        means = self._scale_unobserved()
        feature_count = len(means[0].features)
        best: Features | None = None
        least_error = float("inf")
        for size in range(feature_count, 0, -1):
            for chosen in itertools.combinations(range(feature_count), size):
                if self._required_feature not in chosen:
                    continue
                solution = _solve(means, chosen)
                if solution is None or min(solution) <= 0:
                    continue
                candidate = [0.0] * feature_count
                for index, value in zip(chosen, solution, strict=True):
                    candidate[index] = value
                error = _error(means, candidate)
                if error < least_error:
                    best, least_error = tuple(candidate), error
        return best if best is not None else self.coefficients

    def _scale_unobserved(self) -> list[_SizeMean]:
        """Return the means, with unobserved buckets scaled like the others.

        An engine that is slower than the prior at some sizes is slower at the
        others too; without this the first long prompts after a start would be
        underestimated.
        """
        means = list(self._means_by_key.values())
        observed = [mean for mean in means if mean.is_observed]
        total = sum(mean.weight for mean in observed)
        if not total:
            return means
        logs = [m.weight * math.log(m.seconds / m.prior) for m in observed]
        scale = math.exp(sum(logs) / total)
        return [
            mean
            if mean.is_observed
            else replace(mean, seconds=mean.prior * scale)
            for mean in means
        ]


def _error(means: list[_SizeMean], coefficients: Sequence[float]) -> float:
    total = 0.0
    for mean in means:
        expected = sum(
            value * coefficient
            for value, coefficient in zip(
                mean.features, coefficients, strict=True
            )
        )
        total += mean.weight * (expected / mean.seconds - 1) ** 2
    return total


def _solve(
    means: list[_SizeMean], chosen: Sequence[int]
) -> list[float] | None:
    """Return the weighted least squares solution, None if singular.

    :param chosen: indexes of the features to use
    """
    size = len(chosen)
    rows = [[0.0] * (size + 1) for _ in range(size)]
    for mean in means:
        scaled = [mean.features[index] / mean.seconds for index in chosen]
        for i in range(size):
            for j in range(size):
                rows[i][j] += mean.weight * scaled[i] * scaled[j]
            rows[i][size] += mean.weight * scaled[i]
    return _eliminate(rows)


def _eliminate(rows: list[list[float]]) -> list[float] | None:
    """Solve linear equations by Gauss-Jordan elimination with pivoting."""
    size = len(rows)
    for column in range(size):
        pivot = max(range(column, size), key=lambda r: abs(rows[r][column]))
        rows[column], rows[pivot] = rows[pivot], rows[column]
        if rows[column][column] == 0.0:
            return None
        for other in range(size):
            if other != column:
                factor = rows[other][column] / rows[column][column]
                rows[other] = [
                    value - factor * lead
                    for value, lead in zip(
                        rows[other], rows[column], strict=True
                    )
                ]
    return [rows[i][size] / rows[i][i] for i in range(size)]

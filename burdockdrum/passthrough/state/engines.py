"""Estimate prefill, decode and transfer times of a service's engines.

The estimates start from a prior and are fitted to the times that this entry
VM observes, so that no engine's speed has to be configured.
"""

from dataclasses import dataclass
from dataclasses import field
import math

from burdockdrum.passthrough.state.length_factors import LengthFactors
from burdockdrum.passthrough.state.observed_curve import Features
from burdockdrum.passthrough.state.observed_curve import ObservedCurve
from burdockdrum.passthrough.state.pace import PaceSample
from burdockdrum.passthrough.state.prefixes import PrefixFetch
from burdockdrum.passthrough.state.prompts import Prompt
from burdockdrum.passthrough.state.speeds import EndpointSpeeds
from burdockdrum.registrations import SpeedSum
from burdockdrum.settings import MechanismSettings

# Prior for a dense model of 70 billion parameters on four accelerators. The
# time to first token grows with the prompt's tokens and, for attention, with
# its pairs of tokens. The prior must not be pessimistic: requests that are
# expected to be late are refused, and after a restart there are no samples yet
# to correct the estimates.
PRIOR_FIRST_TOKEN_SECONDS = 0.02
PRIOR_PREFILL_TOKEN_SECONDS = 1 / 85_000
PRIOR_PREFILL_PAIR_SECONDS = 2.75e-10
# A decode step generates one token for each running request. A step that also
# prefills a chunk of a prompt takes this much longer.
PRIOR_DECODE_STEP_SECONDS = 0.0035
PRIOR_PREFILL_STEP_SECONDS = 0.024
# Setup time of a fetch, and how much longer it takes than the link's nominal
# speed says: the transfers of an endpoint are serialized.
PRIOR_FETCH_SECONDS = 0.01
PRIOR_FETCH_FACTOR = 1.5
# A fetch from another region needs some more round trips of 110 ms each; such
# fetches have a curve of their own.
PRIOR_REMOTE_FETCH_SECONDS = 0.25
# Prefill observations are bucketed by powers of two of the number of tokens;
# prompts of more than 2**17 tokens are not expected.
_MIN_POWER = 7
_MAX_POWER = 17
# Fetches are bucketed by powers of two of the link's milliseconds, up to
# about a second.
_MAX_FETCH_POWER = 10
# Decode observations are bucketed by the share of time spent on prefill.
_PREFILL_SHARE_BUCKETS = 5
# Endpoints whose speed is not known well enough to explain a sample up to this
# ratio don't contribute to the service's curve: one failing endpoint must not
# slow the estimates down.
_MAX_TYPICAL_DEVIATION = math.log(2.0)
# Sources of observations of the endpoints' speeds (see ``EndpointSpeeds``).
_FIRST_TOKEN = "first token"
_QUEUED_FIRST_TOKEN = "queued first token"
# Weight of a time to first token behind a queue, whose length is an estimate.
_QUEUED_WEIGHT = 0.2


# Indexes of the features whose coefficient must be positive: the prefill of a
# token, the decode step itself, and the time over the link.
_TOKEN_FEATURE = 1
_STEP_FEATURE = 0
_LINK_FEATURE = 1


def _prefill_features(tokens: float, pairs: float) -> Features:
    return (1.0, tokens, pairs)


def count_attention_pairs(prompt: Prompt, uncached_tokens: int) -> float:
    """Return how many pairs of tokens attention covers in a prefill.

    :param uncached_tokens: tokens at the end of the prompt to be prefilled
    """
    cached = max(0, prompt.tokens - uncached_tokens)
    return (prompt.tokens**2 - cached**2) / 2


def _prefill_prior() -> dict[int, tuple[Features, float]]:
    prior: dict[int, tuple[Features, float]] = {}
    for power in range(_MIN_POWER, _MAX_POWER + 1):
        tokens = float(2**power)
        pairs = tokens * tokens / 2
        seconds = (
            PRIOR_FIRST_TOKEN_SECONDS
            + tokens * PRIOR_PREFILL_TOKEN_SECONDS
            + pairs * PRIOR_PREFILL_PAIR_SECONDS
        )
        prior[power] = (_prefill_features(tokens, pairs), seconds)
    return prior


def _decode_prior() -> dict[int, tuple[Features, float]]:
    prior: dict[int, tuple[Features, float]] = {}
    for bucket in range(_PREFILL_SHARE_BUCKETS):
        prefill_share = (bucket + 0.5) / _PREFILL_SHARE_BUCKETS
        seconds = (
            PRIOR_DECODE_STEP_SECONDS
            + prefill_share * PRIOR_PREFILL_STEP_SECONDS
        )
        prior[bucket] = ((1.0, prefill_share), seconds)
    return prior


def _fetching_prior(setup_seconds: float) -> dict[int, tuple[Features, float]]:
    prior: dict[int, tuple[Features, float]] = {}
    for power in range(_MAX_FETCH_POWER + 1):
        link = 2**power / 1000
        seconds = setup_seconds + link * PRIOR_FETCH_FACTOR
        prior[power] = ((1.0, link), seconds)
    return prior


@dataclass(kw_only=True)
class _ServiceCurves:
    prefill: ObservedCurve = field(
        default_factory=lambda: ObservedCurve(
            prior=_prefill_prior(), required_feature=_TOKEN_FEATURE
        )
    )
    decode: ObservedCurve = field(
        default_factory=lambda: ObservedCurve(
            prior=_decode_prior(), required_feature=_STEP_FEATURE
        )
    )
    fetching: ObservedCurve = field(
        default_factory=lambda: ObservedCurve(
            prior=_fetching_prior(PRIOR_FETCH_SECONDS),
            required_feature=_LINK_FEATURE,
        )
    )
    remote_fetching: ObservedCurve = field(
        default_factory=lambda: ObservedCurve(
            prior=_fetching_prior(PRIOR_REMOTE_FETCH_SECONDS),
            required_feature=_LINK_FEATURE,
        )
    )
    length_factors: LengthFactors = field(default_factory=LengthFactors)


class EngineEstimates:
    """Engine speeds by service, as observed by this entry VM."""

    def __init__(self, *, mechanisms: MechanismSettings | None = None) -> None:
        """Start from the prior.

        :param mechanisms: the enabled parts of the policy; default all
        """
        self._mechanisms = mechanisms or MechanismSettings()
        self._curves_by_service: dict[str, _ServiceCurves] = {}
        self._speeds_by_service: dict[str, EndpointSpeeds] = {}

    def first_token_seconds(self, service: str) -> float:
        """Return the time to first token of a fully cached prompt."""
        return self._curves(service).prefill.coefficients[0]

    def prefill_token_seconds(self, service: str) -> float:
        """Return the prefill time of a token, without attention pairs."""
        return self._curves(service).prefill.coefficients[1]

    def endpoint_token_seconds(self, service: str, endpoint_id: str) -> float:
        """Return the prefill time of a token at one endpoint."""
        factor = self.time_factor(service, endpoint_id)
        return self.prefill_token_seconds(service) * factor

    def prefill_seconds(
        self, service: str, prompt: Prompt, uncached_tokens: int
    ) -> float:
        """Return the prefill time of the last tokens of a prompt."""
        features = _prefill_features(
            uncached_tokens, count_attention_pairs(prompt, uncached_tokens)
        )
        curve = self._curves(service).prefill
        return curve.seconds(features) - curve.coefficients[0]

    def decode_step_seconds(
        self, service: str, prefill_share: float, output_tokens: int = 0
    ) -> float:
        """Return the mean time of a decode step during a response.

        :param prefill_share: share of the engine's time spent on prefill
        :param output_tokens: expected length of the response, 0 if unknown
        """
        curves = self._curves(service)
        seconds = curves.decode.seconds((1.0, min(1.0, prefill_share)))
        if not output_tokens:
            return seconds
        return seconds * curves.length_factors.factor(output_tokens)

    def fetch_seconds(self, service: str, fetch: PrefixFetch | None) -> float:
        """Return the time to fetch a cached prefix, 0 without a fetch."""
        if fetch is None:
            return 0.0
        curve = self._fetch_curve(service, fetch)
        return curve.seconds((1.0, fetch.transfer_seconds))

    def time_factor(self, service: str, endpoint_id: str) -> float:
        """Return an endpoint's times as a multiple of the service's."""
        if not self._mechanisms.endpoint_speeds:
            return 1.0
        speeds = self._speeds_by_service.get(service)
        return speeds.factor(endpoint_id) if speeds is not None else 1.0

    def time_factors_by_id(self) -> dict[str, float]:
        """Return the factors of all endpoints with observations."""
        factors: dict[str, float] = {}
        for speeds in self._speeds_by_service.values():
            factors |= speeds.factors_by_id()
        return factors

    def record_first_token(
        self,
        service: str,
        endpoint_id: str,
        prompt: Prompt,
        uncached_tokens: int,
        seconds: float,
        now: float = 0.0,
    ) -> None:
        """Record the time to first token of a request that did not queue."""
        curve = self._curves(service).prefill
        features = _prefill_features(
            uncached_tokens, count_attention_pairs(prompt, uncached_tokens)
        )
        expected = curve.seconds(features)
        if expected <= 0:
            return
        self._speeds(service).record(
            endpoint_id,
            source=_FIRST_TOKEN,
            ratio=seconds / expected,
            weight=1.0,
            now=now,
        )
        factor = self.time_factor(service, endpoint_id)
        if self._mechanisms.observed_engines and self._is_explained(
            service, endpoint_id, factor
        ):
            power = max(uncached_tokens, 1).bit_length() - 1
            key = max(_MIN_POWER, min(_MAX_POWER, power))
            curve.record(key, features, seconds / factor)

    def record_queued_first_token(
        self, service: str, endpoint_id: str, ratio: float, now: float
    ) -> None:
        """Record the time to first token of a request that queued.

        :param ratio: of the time to what a typical endpoint would take
        """
        if self._mechanisms.endpoint_speeds:
            self._speeds(service).record(
                endpoint_id,
                source=_QUEUED_FIRST_TOKEN,
                ratio=ratio,
                weight=_QUEUED_WEIGHT,
                now=now,
            )

    def record_pace(
        self, service: str, endpoint_id: str, sample: PaceSample, now: float
    ) -> None:
        """Record the pace at which an endpoint writes its responses."""
        self._speeds(service).record(
            endpoint_id,
            source=sample.source,
            ratio=sample.seconds,
            weight=sample.weight,
            now=now,
        )

    def expected_pace(
        self, service: str, endpoint_id: str, source: str
    ) -> float | None:
        """Return the expected seconds between events, None if unknown."""
        return self._speeds(service).expected_ratio(endpoint_id, source)

    def refresh_speeds(self, now: float) -> None:
        """Update what is believed of the endpoints' speeds."""
        for speeds in self._speeds_by_service.values():
            speeds.refresh(now)

    def pop_speed_news(self) -> list[SpeedSum]:
        """Return and forget the observations since the last call."""
        if not self._mechanisms.endpoint_speeds:
            return []
        return [
            told
            for speeds in self._speeds_by_service.values()
            for told in speeds.pop_news()
        ]

    def read_speeds(self, now: float) -> list[SpeedSum]:
        """Return what is known of the lasting speeds of all endpoints."""
        if not self._mechanisms.endpoint_speeds:
            return []
        return [
            told
            for speeds in self._speeds_by_service.values()
            for told in speeds.read_all(now)
        ]

    def receive_speed(self, service: str, told: SpeedSum, now: float) -> None:
        """Add what other entries observed of an endpoint."""
        if self._mechanisms.endpoint_speeds:
            self._speeds(service).receive(told, now)

    def record_fetch(
        self, service: str, fetch: PrefixFetch, seconds: float
    ) -> None:
        """Record how long a fetch delayed the first token."""
        if not self._mechanisms.observed_engines:
            return
        power = max(1, round(fetch.transfer_seconds * 1000)).bit_length() - 1
        self._fetch_curve(service, fetch).record(
            min(power, _MAX_FETCH_POWER),
            (1.0, fetch.transfer_seconds),
            seconds,
        )

    def record_decode(
        self,
        service: str,
        seconds: float,
        prefill_share: float,
        output_tokens: int = 0,
    ) -> None:
        """Record the seconds per token of a decoded response.

        :param prefill_share: share of the engine's time spent on prefill
        :param output_tokens: length of the response, 0 if unknown
        """
        if not self._mechanisms.observed_engines:
            return
        prefill_share = min(1.0, prefill_share)
        bucket = min(
            _PREFILL_SHARE_BUCKETS - 1,
            int(prefill_share * _PREFILL_SHARE_BUCKETS),
        )
        curves = self._curves(service)
        features = (1.0, prefill_share)
        if output_tokens:
            expected = curves.decode.seconds(features)
            curves.length_factors.record(output_tokens, seconds / expected)
        curves.decode.record(bucket, features, seconds)

    def remove_endpoint(self, endpoint_id: str) -> None:
        """Remove an endpoint that no longer exists."""
        for speeds in self._speeds_by_service.values():
            speeds.remove(endpoint_id)

    def _fetch_curve(self, service: str, fetch: PrefixFetch) -> ObservedCurve:
        curves = self._curves(service)
        return (
            curves.remote_fetching
            if fetch.is_cross_region
            else curves.fetching
        )

    def _is_explained(
        self, service: str, endpoint_id: str, factor: float
    ) -> bool:
        """Return whether the factor explains an endpoint's deviation."""
        mean = self._speeds(service).observed_deviation(endpoint_id)
        return abs(mean - math.log(factor)) <= _MAX_TYPICAL_DEVIATION

    def _speeds(self, service: str) -> EndpointSpeeds:
        speeds = self._speeds_by_service.get(service)
        if speeds is None:
            speeds = EndpointSpeeds(service=service)
            self._speeds_by_service[service] = speeds
        return speeds

    def _curves(self, service: str) -> _ServiceCurves:
        curves = self._curves_by_service.get(service)
        if curves is None:
            curves = self._curves_by_service[service] = _ServiceCurves()
        return curves

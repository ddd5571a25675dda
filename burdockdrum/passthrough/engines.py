"""How fast the engines of a service read and write, as observed.

Nothing here is an engine's figure but a prior, which the first dozen
observations of a size replace.
"""

from dataclasses import dataclass
from dataclasses import field
import math

from burdockdrum.passthrough.beginnings import Fetch
from burdockdrum.passthrough.observed_curve import Features
from burdockdrum.passthrough.observed_curve import ObservedCurve
from burdockdrum.passthrough.prompts import Prompt
from burdockdrum.settings import MechanismSettings

# Until anything was observed: a mid-size model on one server (a dense model
# of 70 billion parameters on four accelerators). The first part takes a few
# steps, reading a prompt a time for each token and for each pair of tokens.
# It is no slower than engines usually are: what is expected to be late is
# refused, and after a full stop nothing has been observed yet.
PRIOR_FIRST_SECONDS = 0.02
PRIOR_TOKEN_SECONDS = 1 / 85_000
PRIOR_PAIR_SECONDS = 2.75e-10
# A step that writes a token for each running request; one that also reads a
# part of a prompt, as an engine does while any waits to be read.
PRIOR_STEP_SECONDS = 0.0035
PRIOR_READING_STEP_SECONDS = 0.024
# Fetching takes a moment to begin, and longer than the link's speed says:
# transfers of an endpoint come one after the other.
PRIOR_FETCH_SECONDS = 0.01
PRIOR_FETCH_TIMES = 1.5
# From another region it takes some round trips of 110 ms more. They are
# learned apart from those within a region.
PRIOR_FAR_FETCH_SECONDS = 0.25
# Sizes are told apart by powers of two of the tokens that are read, from
# 2**7; nobody sends more than 2**17.
_FIRST_POWER = 7
_LAST_POWER = 17
# Fetches by powers of two of the milliseconds over the link, up to a second.
_LAST_FETCH_POWER = 10
# Shares of the time that an engine reads, told apart in fifths.
_BUSY_PARTS = 5
# What an endpoint differs by from its service is believed after so many
# observations; each one moves it by a tenth at most.
_ENDPOINT_OBSERVATIONS = 6.0
_ENDPOINT_GAIN = 0.1
_MAX_STEP = math.log(2.0)
# An endpoint that differs by more from the usual one is not asked for what
# is usual: it may be the one that is failing.
_ODD = math.log(1.6)


# The places of features that are never free: a token that is read, a step
# without a prompt to read beside it, and the time over the link.
_TOKENS = 1
_STEP = 0
_LINK = 1


def _reading_features(tokens: float, pairs: float) -> Features:
    return (1.0, tokens, pairs)


def count_pairs(prompt: Prompt, unread_tokens: int) -> float:
    """Return how many pairs of tokens reading the last ones looks at."""
    held = max(0, prompt.tokens - unread_tokens)
    return (prompt.tokens**2 - held**2) / 2


def _reading_prior() -> dict[int, tuple[Features, float]]:
    prior: dict[int, tuple[Features, float]] = {}
    for power in range(_FIRST_POWER, _LAST_POWER + 1):
        tokens = float(2**power)
        pairs = tokens * tokens / 2
        seconds = (
            PRIOR_FIRST_SECONDS
            + tokens * PRIOR_TOKEN_SECONDS
            + pairs * PRIOR_PAIR_SECONDS
        )
        prior[power] = (_reading_features(tokens, pairs), seconds)
    return prior


def _writing_prior() -> dict[int, tuple[Features, float]]:
    prior: dict[int, tuple[Features, float]] = {}
    for part in range(_BUSY_PARTS):
        busy = (part + 0.5) / _BUSY_PARTS
        seconds = PRIOR_STEP_SECONDS + busy * PRIOR_READING_STEP_SECONDS
        prior[part] = ((1.0, busy), seconds)
    return prior


def _fetching_prior(begin: float) -> dict[int, tuple[Features, float]]:
    prior: dict[int, tuple[Features, float]] = {}
    for power in range(_LAST_FETCH_POWER + 1):
        link = 2**power / 1000
        seconds = begin + link * PRIOR_FETCH_TIMES
        prior[power] = ((1.0, link), seconds)
    return prior


@dataclass(kw_only=True)
class _Difference:
    """The logarithm of what one endpoint takes against its service."""

    value: float = 0.0
    observations: int = 0

    def take(self, ratio: float) -> None:
        step = math.log(ratio) - self.value
        step = max(-_MAX_STEP, min(_MAX_STEP, step))
        self.observations += 1
        self.value += step * max(_ENDPOINT_GAIN, 1 / self.observations)

    def factor(self, usual: float) -> float:
        count = self.observations
        trust = count / (count + _ENDPOINT_OBSERVATIONS)
        return math.exp((self.value - usual) * trust)


@dataclass(kw_only=True)
class _ServiceView:
    reading: ObservedCurve = field(
        default_factory=lambda: ObservedCurve(
            prior=_reading_prior(), needed=_TOKENS
        )
    )
    writing: ObservedCurve = field(
        default_factory=lambda: ObservedCurve(
            prior=_writing_prior(), needed=_STEP
        )
    )
    fetching: ObservedCurve = field(
        default_factory=lambda: ObservedCurve(
            prior=_fetching_prior(PRIOR_FETCH_SECONDS), needed=_LINK
        )
    )
    far_fetching: ObservedCurve = field(
        default_factory=lambda: ObservedCurve(
            prior=_fetching_prior(PRIOR_FAR_FETCH_SECONDS), needed=_LINK
        )
    )
    differences_by_id: dict[str, _Difference] = field(default_factory=dict)
    usual_difference: float = 0.0

    def take_difference(self, endpoint_id: str, ratio: float) -> float:
        """Take in one; return how far the endpoint is from the usual one."""
        difference = self.differences_by_id.setdefault(
            endpoint_id, _Difference()
        )
        difference.take(ratio)
        values = sorted(d.value for d in self.differences_by_id.values())
        self.usual_difference = values[len(values) // 2]
        return difference.value - self.usual_difference


class Engines:
    """What this entry has seen of each service's engines."""

    def __init__(self, *, mechanisms: MechanismSettings | None = None) -> None:
        """Know the prior only."""
        self._mechanisms = mechanisms or MechanismSettings()
        self._views_by_service: dict[str, _ServiceView] = {}

    def first_seconds(self, service: str) -> float:
        """Return what the first part takes with nothing to read."""
        return self._view(service).reading.coefficients[0]

    def token_seconds(self, service: str) -> float:
        """Return what each further token of a prompt takes to read."""
        return self._view(service).reading.coefficients[1]

    def reading_seconds(
        self, service: str, prompt: Prompt, unread_tokens: int
    ) -> float:
        """Return how long it takes to read the last tokens of a prompt."""
        features = _reading_features(
            unread_tokens, count_pairs(prompt, unread_tokens)
        )
        curve = self._view(service).reading
        return curve.seconds(features) - curve.coefficients[0]

    def step_seconds(self, service: str, busy: float) -> float:
        """Return how long an engine takes to write a token for everyone.

        :param busy: the share of its time in which it also reads prompts
        """
        return self._view(service).writing.seconds((1.0, min(1.0, busy)))

    def fetch_seconds(self, service: str, fetch: Fetch | None) -> float:
        """Return how long it takes to fetch a beginning, if one is."""
        if fetch is None:
            return 0.0
        curve = self._fetch_curve(service, fetch)
        return curve.seconds((1.0, fetch.link_seconds))

    def factor(self, service: str, endpoint_id: str) -> float:
        """Return how many times as long an endpoint takes as is usual."""
        view = self._view(service)
        difference = view.differences_by_id.get(endpoint_id)
        if difference is None or not self._mechanisms.endpoint_speeds:
            return 1.0
        return difference.factor(view.usual_difference)

    def note_first_part(
        self,
        service: str,
        endpoint_id: str,
        prompt: Prompt,
        unread_tokens: int,
        seconds: float,
    ) -> None:
        """Take note of when the first part came of what had no queue."""
        view = self._view(service)
        features = _reading_features(
            unread_tokens, count_pairs(prompt, unread_tokens)
        )
        expected = view.reading.seconds(features)
        if expected <= 0:
            return
        ratio = seconds / expected
        is_usual = abs(view.take_difference(endpoint_id, ratio)) <= _ODD
        if is_usual and self._mechanisms.observed_engines:
            power = max(unread_tokens, 1).bit_length() - 1
            key = max(_FIRST_POWER, min(_LAST_POWER, power))
            view.reading.note(key, features, seconds)

    def note_fetch(self, service: str, fetch: Fetch, seconds: float) -> None:
        """Take note of what a fetch added to the time of a first part."""
        if not self._mechanisms.observed_engines:
            return
        power = max(1, round(fetch.link_seconds * 1000)).bit_length() - 1
        self._fetch_curve(service, fetch).note(
            min(power, _LAST_FETCH_POWER), (1.0, fetch.link_seconds), seconds
        )

    def note_writing(self, service: str, seconds: float, busy: float) -> None:
        """Take note of what a token took to write.

        :param busy: the share of its time in which the engine read prompts
        """
        if not self._mechanisms.observed_engines:
            return
        busy = min(1.0, busy)
        part = min(_BUSY_PARTS - 1, int(busy * _BUSY_PARTS))
        self._view(service).writing.note(part, (1.0, busy), seconds)

    def forget(self, endpoint_id: str) -> None:
        """Forget an endpoint that is gone."""
        for view in self._views_by_service.values():
            view.differences_by_id.pop(endpoint_id, None)

    def _fetch_curve(self, service: str, fetch: Fetch) -> ObservedCurve:
        view = self._view(service)
        return view.far_fetching if fetch.is_far else view.fetching

    def _view(self, service: str) -> _ServiceView:
        view = self._views_by_service.get(service)
        if view is None:
            view = self._views_by_service[service] = _ServiceView()
        return view

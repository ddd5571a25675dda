"""An attempt at an endpoint, which reports its timing to the router."""

from collections.abc import Callable

from burdockdrum.endpoints import Endpoint
from burdockdrum.ports import Clock
from burdockdrum.routing.endpoint_tracker import EndpointTracker
from burdockdrum.routing.model import AttemptFacts
from burdockdrum.routing.model import AttemptOutcome
from burdockdrum.routing.model import RoutingRequest


class Attempt:
    """An attempt in flight, which must be finished.

    ``load`` is the estimated number of requests at the endpoint when the
    attempt began, ``uncached_tokens`` the prompt tokens that were assumed
    not to be cached, and ``expected_first_token`` the seconds to the first
    token at the service's typical speed.
    """

    def __init__(
        self,
        *,
        number: int,
        clock: Clock,
        endpoint: Endpoint,
        request: RoutingRequest,
        tracker: EndpointTracker,
        load: float,
        uncached_tokens: float,
        expected_first_token: float,
        on_first_token: Callable[["Attempt", float], None],
        on_silence: Callable[["Attempt"], None],
        on_finish: Callable[["Attempt", AttemptFacts], None],
    ) -> None:
        """Start timing the attempt."""
        self.number = number
        self.endpoint = endpoint
        self.request = request
        self.tracker = tracker
        self.load = load
        self.uncached_tokens = uncached_tokens
        self.expected_first_token = expected_first_token
        self._clock = clock
        # Whether a silence was reported that goes on.
        self.is_silent = False
        self._on_first_token = on_first_token
        self._on_silence = on_silence
        self._on_finish = on_finish
        self._started_at = clock.monotonic()
        self._first_token_seconds: float | None = None
        self._finished = False

    def record_first_token(self) -> None:
        """Record the arrival of the first part of the answer, or another."""
        self.is_silent = False
        if self._first_token_seconds is None:
            seconds = self._clock.monotonic() - self._started_at
            self._first_token_seconds = seconds
            self._on_first_token(self, seconds)

    def record_silence(self) -> None:
        """Record that the endpoint is silent; repeats have no effect."""
        if not self.is_silent and not self._finished:
            self.is_silent = True
            self._on_silence(self)

    def finish(self, outcome: AttemptOutcome, *, tokens: int = 0) -> None:
        """Record how the attempt ended; later calls have no effect.

        :param tokens: number of generated tokens, or 0 if unknown
        """
        if self._finished:
            return
        self._finished = True
        facts = AttemptFacts(
            outcome=outcome,
            first_token_seconds=self._first_token_seconds,
            total_seconds=self._clock.monotonic() - self._started_at,
            tokens=tokens,
        )
        self._on_finish(self, facts)

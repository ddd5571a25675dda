"""One request at one endpoint, for the router to learn from."""

from collections.abc import Callable

from burdockdrum.endpoints import Endpoint
from burdockdrum.ports import Clock
from burdockdrum.routing.model import AttemptFacts
from burdockdrum.routing.model import AttemptOutcome
from burdockdrum.routing.model import Demand
from burdockdrum.routing.tracking import EndpointTracker


class Attempt:
    """An attempt that was counted and has to be finished.

    ``load`` is what the endpoint had when it began, ``tokens_read`` the
    tokens of the prompt that were thought not to be in its cache, and
    ``expected_first`` the seconds to the first token at the service's
    typical speed.
    """

    def __init__(
        self,
        *,
        number: int,
        clock: Clock,
        endpoint: Endpoint,
        demand: Demand,
        tracker: EndpointTracker,
        load: float,
        tokens_read: float,
        expected_first: float,
        on_first_token: Callable[["Attempt", float], None],
        on_finish: Callable[["Attempt", AttemptFacts], None],
    ) -> None:
        """Note that the attempt has begun."""
        self.number = number
        self.endpoint = endpoint
        self.demand = demand
        self.tracker = tracker
        self.load = load
        self.tokens_read = tokens_read
        self.expected_first = expected_first
        self._clock = clock
        self._on_first_token = on_first_token
        self._on_finish = on_finish
        self._started_at = clock.monotonic()
        self._first_token_seconds: float | None = None
        self._finished = False

    def note_first_token(self) -> None:
        """Note that the first part of the answer has come."""
        if self._first_token_seconds is None:
            seconds = self._clock.monotonic() - self._started_at
            self._first_token_seconds = seconds
            self._on_first_token(self, seconds)

    def finish(self, outcome: AttemptOutcome, *, tokens: int = 0) -> None:
        """Note how the attempt ended; later calls change nothing.

        :param tokens: generated, or 0 if nobody counted
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

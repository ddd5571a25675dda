"""Learn run times and engine speeds from this entry VM's requests.

Decides which observations are meaningful: a queued request, for example, says
nothing about the speed of prefill.
"""

from dataclasses import dataclass

from burdockdrum.passthrough.state.endpoint_state import InFlightRequest
from burdockdrum.passthrough.state.endpoint_state import RatedEndpoint
from burdockdrum.passthrough.state.engines import EngineEstimates
from burdockdrum.passthrough.state.estimate_errors import EstimateErrors
from burdockdrum.resources import Backend

# Assumed until a request of the service has completed.
DEFAULT_RUN_SECONDS = 0.5
# Weight of the previous average when a run time is added; the average follows
# about the last 20 run times.
_AVERAGE_DECAY = 0.95
# The time to first token is only used as a sample if the tokens queued before
# the request are at most this fraction of its own.
MAX_QUEUED_FRACTION = 0.1
# Floor of a sample, so that a coarse clock doesn't yield zero.
MIN_FIRST_CHUNK_SECONDS = 0.001


@dataclass(kw_only=True)
class _Holding:
    """Decaying sums of the tokens held in memory, and for how long."""

    tokens: float = 0.0
    token_seconds: float = 0.0

    def record(self, tokens: int, seconds: float) -> None:
        self.tokens = self.tokens * _AVERAGE_DECAY + tokens
        self.token_seconds *= _AVERAGE_DECAY
        self.token_seconds += tokens * seconds


class RequestTimings:
    """Average run times and estimate errors by service."""

    def __init__(self, *, engines: EngineEstimates) -> None:
        """Start without observations.

        :param engines: receives samples of prefill, decode and fetch times
        """
        self._engines = engines
        self._run_seconds_by_service: dict[str, float] = {}
        self._holding_by_service: dict[str, _Holding] = {}
        self._errors_by_service: dict[str, EstimateErrors] = {}

    def errors_of(self, service: str) -> EstimateErrors:
        """Return the estimate errors of a service."""
        return self._errors_by_service.setdefault(service, EstimateErrors())

    def run_seconds(self, service: str) -> float:
        """Return how long a request of a service holds a slot on average."""
        return self._run_seconds_by_service.get(service, DEFAULT_RUN_SECONDS)

    def held_seconds(self, service: str) -> float:
        """Return how long a token is held in an engine's memory."""
        holding = self._holding_by_service.get(service)
        if holding is None:
            return self.run_seconds(service)
        return holding.token_seconds / holding.tokens

    def record_run(self, service: str, seconds: float) -> None:
        """Record how long a request held a slot."""
        mean = self.run_seconds(service)
        self._run_seconds_by_service[service] = (
            mean * _AVERAGE_DECAY + seconds * (1 - _AVERAGE_DECAY)
        )

    def record_first_token(
        self, in_flight_request: InFlightRequest, now: float
    ) -> None:
        """Record the time to first token of a request."""
        choice = in_flight_request.choice
        wait = choice.wait
        self.errors_of(choice.endpoint.service).record(
            in_flight_request.rank,
            choice.prefill_share,
            now - in_flight_request.began_at - wait.queue - wait.service_time,
        )
        uncached = choice.uncached_tokens
        seconds = max(
            MIN_FIRST_CHUNK_SECONDS, now - in_flight_request.began_at
        )
        if choice.queued_tokens > uncached * MAX_QUEUED_FRACTION:
            self._record_queued(choice, seconds, now)
            return
        service = choice.endpoint.service
        if choice.fetch is None:
            self._engines.record_first_token(
                service,
                choice.endpoint.endpoint_id,
                in_flight_request.prompt,
                uncached,
                seconds,
                now,
            )
            return
        fetching = self._engines.fetch_seconds(service, choice.fetch)
        rest = wait.service_time - fetching
        self._engines.record_fetch(
            service,
            choice.fetch,
            max(MIN_FIRST_CHUNK_SECONDS, seconds - rest),
        )

    def _record_queued(
        self, choice: RatedEndpoint, seconds: float, now: float
    ) -> None:
        """Record the time to first token behind a known queue.

        The wait was estimated with the endpoint's factor at that time.
        """
        if choice.fetch is not None or not choice.prefill_cost_tokens:
            return
        wait = choice.wait
        expected = wait.queue + wait.service_time + wait.expected_error
        if expected <= 0:
            return
        self._engines.record_queued_first_token(
            choice.endpoint.service,
            choice.endpoint.endpoint_id,
            seconds / expected * choice.time_factor,
            now,
        )

    def record_unanswered(
        self, in_flight_request: InFlightRequest, now: float
    ) -> None:
        """Record a request that ended without a first token.

        Its error is at least what it has waited too long. Without these, the
        errors would be those of requests that were lucky.
        """
        choice = in_flight_request.choice
        waited = now - in_flight_request.began_at
        error = waited - choice.wait.queue - choice.wait.service_time
        if error > 0:
            self.errors_of(choice.endpoint.service).record(
                in_flight_request.rank, choice.prefill_share, error
            )

    def record_completion(
        self, in_flight_request: InFlightRequest, backend: Backend, now: float
    ) -> None:
        """Record a complete response."""
        # Time in the endpoint's queue doesn't hold a slot.
        began = in_flight_request.began_at
        if in_flight_request.first_output_at is not None:
            began = max(
                began,
                in_flight_request.first_output_at
                - in_flight_request.choice.wait.service_time,
            )
        endpoint = in_flight_request.endpoint
        service = endpoint.service
        factor = self._engines.time_factor(service, endpoint.endpoint_id)
        self.record_run(service, (now - began) / factor)
        tokens = in_flight_request.prompt.memory_tokens
        if tokens:
            self._holding_by_service.setdefault(service, _Holding()).record(
                tokens, (now - began) / factor
            )
        self._record_decode(in_flight_request, backend)

    def _record_decode(
        self, in_flight_request: InFlightRequest, backend: Backend
    ) -> None:
        first, last = (
            in_flight_request.first_output_at,
            in_flight_request.last_output_at,
        )
        engine = backend.engine
        if engine is None or first is None or last is None:
            return
        tokens = (
            in_flight_request.chunks_received - 1
        ) * engine.tokens_an_event
        if tokens > 0 and last > first:
            endpoint = in_flight_request.endpoint
            factor = self._engines.time_factor(
                endpoint.service, endpoint.endpoint_id
            )
            self._engines.record_decode(
                endpoint.service,
                (last - first) / tokens / factor,
                in_flight_request.choice.prefill_share,
                tokens,
            )

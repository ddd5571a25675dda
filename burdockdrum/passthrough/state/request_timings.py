"""Learn run times and engine speeds from this entry VM's requests.

Decides which observations are meaningful: a queued request, for example, says
nothing about the speed of prefill.
"""

from burdockdrum.passthrough.state.endpoint_state import InFlightRequest
from burdockdrum.passthrough.state.engines import EngineEstimates
from burdockdrum.passthrough.state.estimate_errors import EstimateErrors
from burdockdrum.resources import Backend

# Assumed until a request of the service has completed.
DEFAULT_RUN_SECONDS = 0.5
# Weight of the previous average when a run time is added.
_AVERAGE_DECAY = 0.95
# The time to first token is only used as a sample if the tokens queued before
# the request are at most this fraction of its own.
MAX_QUEUED_FRACTION = 0.1
# Floor of a sample, so that a coarse clock doesn't yield zero.
MIN_FIRST_CHUNK_SECONDS = 0.001


class RequestTimings:
    """Average run times and estimate errors by service."""

    def __init__(self, *, engines: EngineEstimates) -> None:
        """Start without observations.

        :param engines: receives samples of prefill, decode and fetch times
        """
        self._engines = engines
        self._run_seconds_by_service: dict[str, float] = {}
        self._errors_by_service: dict[str, EstimateErrors] = {}

    def errors_of(self, service: str) -> EstimateErrors:
        """Return the estimate errors of a service."""
        return self._errors_by_service.setdefault(service, EstimateErrors())

    def run_seconds(self, service: str) -> float:
        """Return how long a request of a service holds a slot on average."""
        return self._run_seconds_by_service.get(service, DEFAULT_RUN_SECONDS)

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
        if choice.queued_tokens > uncached * MAX_QUEUED_FRACTION:
            return
        service = choice.endpoint.service
        seconds = max(
            MIN_FIRST_CHUNK_SECONDS, now - in_flight_request.began_at
        )
        if choice.fetch is None:
            self._engines.record_first_token(
                service,
                choice.endpoint.endpoint_id,
                in_flight_request.prompt,
                uncached,
                seconds,
            )
            return
        fetching = self._engines.fetch_seconds(service, choice.fetch)
        rest = wait.service_time - fetching
        self._engines.record_fetch(
            service,
            choice.fetch,
            max(MIN_FIRST_CHUNK_SECONDS, seconds - rest),
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
        self.record_run(in_flight_request.endpoint.service, now - began)
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
            self._engines.record_decode(
                in_flight_request.endpoint.service,
                (last - first) / tokens,
                in_flight_request.choice.prefill_share,
                tokens,
            )

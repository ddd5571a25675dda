"""Observe the endpoints' speeds, and exchange what entries observed."""

from collections.abc import Callable
from collections.abc import Mapping

from burdockdrum.passthrough.state import EndpointState
from burdockdrum.passthrough.state import EngineEstimates
from burdockdrum.passthrough.state import InFlightRequest
from burdockdrum.ports import Clock
from burdockdrum.registrations import Load
from burdockdrum.registrations import RegisteredEndpoint
from burdockdrum.registrations import SpeedSum
from burdockdrum.settings import MechanismSettings

# Least time between two samples of the pace of running responses.
PACE_INTERVAL_SECONDS = 0.1


class SpeedObserver:
    """Takes samples of this entry VM's responses, and of other entries."""

    def __init__(
        self,
        *,
        clock: Clock,
        engines: EngineEstimates,
        read_endpoints: Callable[[], Mapping[str, RegisteredEndpoint]],
        read_load: Callable[[str], Load],
        states_by_id: Mapping[str, EndpointState],
        mechanisms: MechanismSettings,
    ) -> None:
        """Create it.

        :param engines: receives the samples
        :param read_endpoints: returns the registered endpoints by id
        :param read_load: returns the load of other entry VMs at an endpoint
        :param states_by_id: this entry VM's state of each endpoint, as kept
            by the fleet
        :param mechanisms: the enabled parts of the policy
        """
        self._clock = clock
        self._engines = engines
        self._read_endpoints = read_endpoints
        self._read_load = read_load
        self._states_by_id = states_by_id
        self._mechanisms = mechanisms
        self._updated_at = float("-inf")

    def record_event(
        self, in_flight_request: InFlightRequest, now: float
    ) -> None:
        """Record an event of a response, before its time is set."""
        previous_at = in_flight_request.last_output_at
        choice = in_flight_request.choice
        if previous_at is None or not choice.prefill_cost_tokens:
            return
        state = self._states_by_id.get(choice.endpoint.endpoint_id)
        if state is not None:
            state.pace.record_event(previous_at, now)

    def pop_news(self) -> list[SpeedSum]:
        """Return what this entry observed since the last call."""
        self._update()
        return self._engines.pop_speed_news()

    def read_all(self) -> list[SpeedSum]:
        """Return what is known of the speeds of all endpoints."""
        return self._engines.read_speeds(self._clock.monotonic())

    def receive(self, news: list[SpeedSum]) -> None:
        """Add what other entries observed."""
        now = self._clock.monotonic()
        endpoints_by_id = self._read_endpoints()
        for told in news:
            endpoint = endpoints_by_id.get(told.endpoint_id)
            if endpoint is not None:
                self._engines.receive_speed(endpoint.service, told, now)

    def _update(self) -> None:
        """Update beliefs from the pace of the running responses."""
        now = self._clock.monotonic()
        is_due = now - self._updated_at >= PACE_INTERVAL_SECONDS
        if not is_due or not self._mechanisms.endpoint_speeds:
            return
        self._updated_at = now
        for endpoint_id, state in self._states_by_id.items():
            if state.in_flight_requests:
                self._observe_pace(endpoint_id, state, now)
        self._engines.refresh_speeds(now)

    def _observe_pace(
        self, endpoint_id: str, state: EndpointState, now: float
    ) -> None:
        load = state.load(now, float("inf"), counts_progress=False)
        load.merge(self._read_load(endpoint_id))
        sample = state.close_pace_window(
            load,
            lambda source: self._engines.expected_pace(
                state.service, endpoint_id, source
            ),
            now,
        )
        if sample is not None:
            self._engines.record_pace(state.service, endpoint_id, sample, now)

"""Which endpoints of this region may be sent a request now."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Container
from collections.abc import Mapping

from burdockdrum.passthrough.selection.candidates import Candidates
from burdockdrum.passthrough.selection.candidates import split_candidates
from burdockdrum.passthrough.selection.stalls import StallDetector
from burdockdrum.passthrough.state import AnnouncedSlowStarts
from burdockdrum.passthrough.state import BackoffGate
from burdockdrum.passthrough.state import EndpointLimits
from burdockdrum.passthrough.state import EndpointState
from burdockdrum.passthrough.state import equal_share
from burdockdrum.passthrough.state import may_add_connection
from burdockdrum.passthrough.state import SlowStartGate
from burdockdrum.ports import Clock
from burdockdrum.registrations import Load
from burdockdrum.registrations import RegisteredEndpoint
from burdockdrum.registrations import UNKNOWN_INCARNATION
from burdockdrum.resources import Backend


class Eligibility:
    """Excludes endpoints that can't, mustn't or don't want to be used."""

    def __init__(
        self,
        *,
        clock: Clock,
        read_endpoints: Callable[[], dict[str, RegisteredEndpoint]],
        read_load: Callable[[str], Load],
        states_by_id: Mapping[str, EndpointState],
        stalls: StallDetector,
        slow_start_gate: SlowStartGate,
        slow_starts: AnnouncedSlowStarts,
        limits: EndpointLimits,
        backoff_gate: BackoffGate,
        may_have_place: Callable[[str], bool],
    ) -> None:
        """Create it.

        :param read_endpoints: returns the registered endpoints by id
        :param read_load: returns the load of other entry VMs at an endpoint
        :param states_by_id: this entry VM's state of each endpoint, as kept
            by the fleet
        :param may_have_place: returns whether an endpoint may have a place
            for a request, if it needs one
        """
        # The number of entries of this region.
        self.entries = 1
        self._clock = clock
        self._read_endpoints = read_endpoints
        self._read_load = read_load
        self._states_by_id = states_by_id
        self._stalls = stalls
        self._slow_start_gate = slow_start_gate
        self._slow_starts = slow_starts
        self._limits = limits
        self._backoff_gate = backoff_gate
        self._may_have_place = may_have_place

    def list_live(self, service: str) -> list[RegisteredEndpoint]:
        """Return the endpoints of a service that accept requests here."""
        now = self._clock.monotonic()
        return [
            endpoint
            for endpoint in self._read_endpoints().values()
            if endpoint.service == service
            and not endpoint.is_draining
            and (endpoint.ends_at is None or endpoint.ends_at > now)
        ]

    def split(
        self,
        live: Collection[RegisteredEndpoint],
        backend: Backend,
        tried: Container[str],
        closed_data_centres: Container[str],
    ) -> Candidates:
        """Return the eligible ones of live endpoints, by what they announced.

        :param tried: ids of endpoints to exclude
        :param closed_data_centres: data centres that get no new requests
        """
        now = self._clock.monotonic()
        share = equal_share(backend, self.entries)
        eligible = [
            endpoint
            for endpoint in live
            if endpoint.endpoint_id not in tried
            and endpoint.data_centre not in closed_data_centres
            and self._is_eligible(endpoint, backend, share, now)
        ]
        return split_candidates(
            eligible, self._limits, self._backoff_gate.closed_ids()
        )

    def list_sources(
        self, live: Collection[RegisteredEndpoint]
    ) -> list[RegisteredEndpoint]:
        """Return those of live endpoints that may serve prefix fetches."""
        now = self._clock.monotonic()
        backing_off = self._backoff_gate.backing_off_ids()
        return [
            endpoint
            for endpoint in live
            if endpoint.endpoint_id not in backing_off
            and self._is_responsive(endpoint, now)
        ]

    def may_fetch_from(self, endpoint_id: str) -> bool:
        """Return whether an endpoint of any region may serve fetches."""
        return not self._backoff_gate.is_backing_off(endpoint_id)

    def is_in_slow_start(
        self, endpoint: RegisteredEndpoint, backend: Backend, now: float
    ) -> bool:
        """Return whether an endpoint accepts only a low rate of requests."""
        if endpoint.slow_start_until > now:
            return True
        if self._slow_starts.ends_at(endpoint.endpoint_id) > now:
            return True
        if (
            endpoint.incarnation == UNKNOWN_INCARNATION
            or not backend.cold_seconds
        ):
            # A restarted endpoint has a new id and refuses requests for the
            # old one.
            return False
        state = self._states_by_id.get(endpoint.endpoint_id)
        return state is not None and state.health.may_have_restarted(
            now, backend.cold_seconds
        )

    def acquire_slow_start(
        self, endpoint: RegisteredEndpoint, backend: Backend
    ) -> bool:
        """Count a request to an endpoint in slow start, if it may be sent."""
        return self._slow_start_gate.acquire(
            endpoint.endpoint_id,
            backend.cold_requests_per_second,
            self.entries,
        )

    def _is_eligible(
        self,
        endpoint: RegisteredEndpoint,
        backend: Backend,
        share: int,
        now: float,
    ) -> bool:
        state = self._states_by_id.get(endpoint.endpoint_id)
        if state is not None:
            if not state.health.is_reachable(now):
                return False
            # Within its equal share an entry needs no reports of others.
            if len(
                state.in_flight_requests
            ) >= share and not self._may_add_connection(
                endpoint, state, backend
            ):
                return False
        if not self._may_have_place(endpoint.endpoint_id):
            return False
        if self.is_in_slow_start(endpoint, backend, now):
            return self._slow_start_gate.is_open(
                endpoint.endpoint_id,
                backend.cold_requests_per_second,
                self.entries,
            )
        return True

    def _may_add_connection(
        self,
        endpoint: RegisteredEndpoint,
        state: EndpointState,
        backend: Backend,
    ) -> bool:
        own = len(state.in_flight_requests)
        others = self._read_load(endpoint.endpoint_id).requests
        return may_add_connection(backend, self.entries, own, others)

    def _is_responsive(self, endpoint: RegisteredEndpoint, now: float) -> bool:
        """Return whether an endpoint sends heartbeats and responses."""
        if endpoint.is_unreachable:
            return False
        state = self._states_by_id.get(endpoint.endpoint_id)
        if state is None:
            return True
        return state.health.is_reachable(now) and not self._stalls.is_suspect(
            state, now
        )

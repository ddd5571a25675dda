"""Select an endpoint of this region for a request.

Combines the registered endpoints, the load that this and other entry VMs have
there, endpoint health and cached prefixes.
"""

from collections.abc import Callable
from dataclasses import replace
import random

from burdockdrum.holdings import PrefixCacheTable
from burdockdrum.metrics import Metrics
from burdockdrum.passthrough.selection.candidates import Candidates
from burdockdrum.passthrough.selection.eligibility import Eligibility
from burdockdrum.passthrough.selection.endpoint_rater import EndpointRater
from burdockdrum.passthrough.selection.endpoint_rater import RatedRequest
from burdockdrum.passthrough.selection.output_pace import OutputNeeds
from burdockdrum.passthrough.selection.prefix_finder import PrefixFinder
from burdockdrum.passthrough.selection.speed_observer import SpeedObserver
from burdockdrum.passthrough.selection.stale_load import draw
from burdockdrum.passthrough.selection.stale_load import find_level
from burdockdrum.passthrough.selection.stalls import StallDetector
from burdockdrum.passthrough.selection.versions import ANY_VERSION
from burdockdrum.passthrough.selection.versions import AnyVersion
from burdockdrum.passthrough.selection.versions import EstablishedVersion
from burdockdrum.passthrough.selection.versions import OnlyVersion
from burdockdrum.passthrough.selection.versions import VersionFilter
from burdockdrum.passthrough.state import AnnouncedSlowStarts
from burdockdrum.passthrough.state import BackoffGate
from burdockdrum.passthrough.state import EndpointHealth
from burdockdrum.passthrough.state import EndpointLimits
from burdockdrum.passthrough.state import EndpointState
from burdockdrum.passthrough.state import EngineEstimates
from burdockdrum.passthrough.state import InFlightRequest
from burdockdrum.passthrough.state import max_idle_connections
from burdockdrum.passthrough.state import PrefixCacheView
from burdockdrum.passthrough.state import Prompt
from burdockdrum.passthrough.state import RatedEndpoint
from burdockdrum.passthrough.state import RequestedBackoff
from burdockdrum.passthrough.state import RequestedBackoffs
from burdockdrum.passthrough.state import RequestTimings
from burdockdrum.passthrough.state import SlowStartGate
from burdockdrum.passthrough.state import TeamRequest
from burdockdrum.pauses import PauseDetector
from burdockdrum.ports import Clock
from burdockdrum.registrations import Load
from burdockdrum.registrations import RankLoad
from burdockdrum.registrations import RegisteredEndpoint
from burdockdrum.registrations import UNKNOWN_INCARNATION
from burdockdrum.resources import Backend
from burdockdrum.resources import Route
from burdockdrum.settings import MechanismSettings

# Least expected work when drawing an endpoint: those whose estimates differ by
# less share the requests.
TIE_MARGIN_SECONDS = 0.002
# Time between requests that probe silent endpoints of the same service.
SILENT_PROBE_SPACING_SECONDS = 2.0
# Shorter times in which a response is not read don't matter.
MIN_UNREAD_SECONDS = 0.05


class Fleet:
    """The endpoints of this region, and this entry VM's requests there."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        read_endpoints: Callable[[], dict[str, RegisteredEndpoint]],
        read_load: Callable[[str], Load],
        read_unreported_entries: Callable[[], int] = int,
        read_load_age: Callable[[], float] = float,
        drop_endpoint: Callable[[str], None] = lambda endpoint_id: None,
        prefix_cache_table: PrefixCacheTable | None = None,
        mark_shared: Callable[[str], None] = lambda part_id: None,
        read_region: Callable[[str], str | None] = lambda name: None,
        mechanisms: MechanismSettings | None = None,
        data_centre: str | None = None,
        crossing_seconds: float = 0.0,
        limits: EndpointLimits | None = None,
        backoffs: RequestedBackoffs | None = None,
        slow_starts: AnnouncedSlowStarts | None = None,
        is_chosen: Callable[[str, int], bool | None] = lambda *_: None,
        may_have_place: Callable[[str], bool] = lambda endpoint_id: True,
        pauses: PauseDetector | None = None,
        is_established: Callable[[str, str], bool] = lambda *_: True,
    ) -> None:
        """Create a fleet.

        :param read_endpoints: returns the registered endpoints by id
        :param read_load: returns the load of other entry VMs at an endpoint
        :param read_unreported_entries: returns how many entry VMs report no
            load
        :param read_load_age: returns the age of the reported loads in seconds
        :param drop_endpoint: removes an endpoint, by its id
        :param prefix_cache_table: the cached prefixes that endpoints have
            reported
        :param mark_shared: called with the id of each shared prompt part
        :param read_region: returns the region of a data centre
        :param mechanisms: the enabled parts of the policy; default all
        :param data_centre: the data centre of this entry VM
        :param crossing_seconds: seconds of waiting that equal the cost of
            sending a megabyte to another data centre
        :param limits: the rate limits of endpoints; none by default
        :param backoffs: the backoffs that endpoints request; none by default
        :param slow_starts: those that endpoints announce in health responses;
            none by default
        :param is_chosen: returns whether this entry VM is among a number of
            them that a key selects, None if unknown; unknown by default
        :param may_have_place: returns whether an endpoint may have a place
            for a request, if it needs one
        :param pauses: detects pauses of this process; none if None
        :param is_established: returns whether streams that callers may take
            up elsewhere may begin at a software version of a service
        """
        self._is_established = is_established
        self._mechanisms = mechanisms or MechanismSettings()
        # Called with a service when an endpoint may have capacity again.
        self.on_capacity: Callable[[str], None] = _ignore
        self.prefix_cache_view = PrefixCacheView(
            read_now=clock.monotonic,
            table=prefix_cache_table,
            mark_shared=mark_shared,
        )
        self.engines = EngineEstimates(mechanisms=self._mechanisms)
        self._timings = RequestTimings(engines=self.engines)
        self.prefixes = PrefixFinder(
            prefix_cache_view=self.prefix_cache_view,
            engines=self.engines,
            list_sources=self._list_sources,
            may_fetch_from=lambda endpoint_id: (
                self._eligibility.may_fetch_from(endpoint_id)
            ),
            read_region=read_region,
            read_load_age=read_load_age,
            mechanisms=self._mechanisms,
            clock=clock,
        )
        # Called with the work of a request at its first output.
        self.record_served: Callable[[TeamRequest], None] = _ignore_served
        self._clock = clock
        self._rng = rng
        self._read_endpoints = read_endpoints
        self._read_load = read_load
        self._rater = EndpointRater(
            engines=self.engines,
            read_load=read_load,
            read_unreported_entries=read_unreported_entries,
            read_region=read_region,
            mechanisms=self._mechanisms,
            data_centre=data_centre,
            crossing_seconds=crossing_seconds,
        )
        self._data_centre = data_centre
        self._prefers_local = crossing_seconds > 0
        self._read_load_age = read_load_age
        self._drop_endpoint = drop_endpoint
        self._states_by_id: dict[str, EndpointState] = {}
        self.speeds = SpeedObserver(
            clock=clock,
            engines=self.engines,
            read_endpoints=read_endpoints,
            read_load=read_load,
            states_by_id=self._states_by_id,
            mechanisms=self._mechanisms,
        )
        self._slow_start_gate = SlowStartGate(
            clock=clock, rng=rng, is_chosen=is_chosen
        )
        self._limits = limits or EndpointLimits(
            clock=clock, metrics=Metrics(), read_endpoints=read_endpoints
        )
        self._backoffs = backoffs or RequestedBackoffs(
            clock=clock, metrics=Metrics(), read_endpoints=read_endpoints
        )
        self._backoff_gate = BackoffGate(
            clock=clock,
            backoffs=self._backoffs,
            count_unanswered=self._count_unanswered,
        )
        self._stalls = StallDetector(
            run_seconds=self._timings.run_seconds,
            mechanisms=self._mechanisms,
            pauses=pauses,
        )
        self._eligibility = Eligibility(
            clock=clock,
            read_endpoints=read_endpoints,
            read_load=read_load,
            states_by_id=self._states_by_id,
            stalls=self._stalls,
            slow_start_gate=self._slow_start_gate,
            slow_starts=slow_starts or AnnouncedSlowStarts(clock=clock),
            limits=self._limits,
            backoff_gate=self._backoff_gate,
            may_have_place=may_have_place,
        )

    @property
    def entries(self) -> int:
        """Return the number of entries of this region."""
        return self._eligibility.entries

    @entries.setter
    def entries(self, number: int) -> None:
        self._eligibility.entries = number

    def choose(
        self,
        *,
        route: Route,
        backend: Backend,
        prompt: Prompt,
        seconds_left: float,
        tried: frozenset[str],
        closed_data_centres: frozenset[str],
        body_bytes: int = 0,
        permitted: str | None = None,
        versions: VersionFilter = ANY_VERSION,
        only: frozenset[str] | None = None,
    ) -> RatedEndpoint | None:
        """Return the endpoint with the best expected wait.

        Returns None if no endpoint is eligible.

        :param seconds_left: until the caller's deadline
        :param tried: ids of endpoints to exclude
        :param closed_data_centres: data centres that get no new requests
        :param body_bytes: size of the request's body
        :param permitted: id of an endpoint at its rate limit, for which a
            permit was acquired
        :param versions: the software versions that the endpoint may have
        :param only: ids of the endpoints that may be chosen; any if None
        """
        split = self._split_eligible(
            backend, tried, closed_data_centres, versions
        )
        candidates = split.available
        if only is not None:
            candidates = [e for e in candidates if e.endpoint_id in only]
        if permitted is not None:
            candidates = [
                endpoint
                for endpoint in [*split.at_limit, *split.available]
                if endpoint.endpoint_id == permitted
            ] or candidates
        if not candidates:
            return None
        request = RatedRequest(
            route=route,
            backend=backend,
            prompt=prompt,
            seconds_left=seconds_left,
            prefix=self.prefixes.find(
                backend, prompt, candidates, route.homes
            ),
            run_seconds=self.run_seconds(backend.name),
            held_seconds=self.held_seconds(backend.name),
            prefill_token_seconds=self.engines.prefill_token_seconds(
                backend.name
            ),
            errors=self._timings.errors_of(backend.name),
            body_bytes=body_bytes,
        )
        now = self._clock.monotonic()
        rated_endpoints = [
            self._rate(endpoint, request, now) for endpoint in candidates
        ]
        offered_load = sum(
            rated.offered_load / rated.time_factor for rated in rated_endpoints
        )
        if self._mechanisms.output_pace and backend.engine is not None:
            needs = OutputNeeds.of(route, backend.engine, prompt, seconds_left)
            rated_endpoints = needs.prefer_meeting(rated_endpoints)
        expected_work = TIE_MARGIN_SECONDS
        if self._mechanisms.stale_spread:
            expected_work = max(
                offered_load * self._read_load_age(), TIE_MARGIN_SECONDS
            )
        if self._prefers_local:
            rated_endpoints = self._prefer_local(
                rated_endpoints, expected_work
            )
        waits = [rated.wait.total for rated in rated_endpoints]
        speeds = _speeds_of(rated_endpoints)
        chosen = rated_endpoints[draw(waits, expected_work, self._rng, speeds)]
        prefill_cost_tokens = self._rater.prefill_cost_tokens(
            request, chosen.uncached_tokens
        )
        return replace(
            chosen,
            prefill_cost_tokens=prefill_cost_tokens,
            skipped_at_limit=len(split.at_limit),
            skipped_in_backoff=len(split.in_backoff),
            has_permit=chosen.endpoint.endpoint_id == permitted,
        )

    def list_at_limit(
        self,
        backend: Backend,
        tried: frozenset[str],
        closed_data_centres: frozenset[str],
        versions: VersionFilter = ANY_VERSION,
    ) -> list[str]:
        """Return the ids of endpoints that only their limits exclude."""
        split = self._split_eligible(
            backend, tried, closed_data_centres, versions
        )
        return [endpoint.endpoint_id for endpoint in split.at_limit]

    def find_first_backoff(
        self,
        backend: Backend,
        closed_data_centres: frozenset[str],
        versions: VersionFilter = ANY_VERSION,
    ) -> RequestedBackoff | None:
        """Return the backoff that ends first, if all endpoints are in one."""
        backoffs = [
            self._backoff_gate.find(endpoint.endpoint_id)
            for endpoint in self._list_live(backend.name, versions)
            if endpoint.data_centre not in closed_data_centres
        ]
        active = [backoff for backoff in backoffs if backoff is not None]
        if len(active) < len(backoffs):
            return None
        return min(active, key=lambda known: known.ends_at, default=None)

    def is_in_backoff(self, endpoint: RegisteredEndpoint) -> bool:
        """Return whether an endpoint wants no requests from this entry."""
        return self._backoff_gate.is_backing_off(endpoint.endpoint_id)

    def is_in_slow_start(
        self, endpoint: RegisteredEndpoint, backend: Backend
    ) -> bool:
        """Return whether an endpoint is in slow start, as known now."""
        current = self._read_endpoints().get(endpoint.endpoint_id, endpoint)
        return self._eligibility.is_in_slow_start(
            current, backend, self._clock.monotonic()
        )

    def current_fetch_from(self, choice: RatedEndpoint) -> str | None:
        """Return the address to fetch the prefix from, if still possible."""
        fetch = choice.fetch
        if fetch is None:
            return None
        if not self._eligibility.may_fetch_from(fetch.source_id):
            return None
        return fetch.address

    def _split_eligible(
        self,
        backend: Backend,
        tried: frozenset[str],
        closed_data_centres: frozenset[str],
        versions: VersionFilter,
    ) -> Candidates:
        live = self._list_live(backend.name, versions)
        if isinstance(versions, OnlyVersion):
            live = [e for e in live if not self.is_version_in_doubt(e)]
        return self._eligibility.split(
            live, backend, tried, closed_data_centres
        )

    def _list_live(
        self, service: str, versions: VersionFilter
    ) -> list[RegisteredEndpoint]:
        live = self._eligibility.list_live(service)
        match versions:
            case AnyVersion():
                return live
            case OnlyVersion(software_version=only):
                return [e for e in live if e.software_version == only]
            case EstablishedVersion():
                return [
                    endpoint
                    for endpoint in live
                    if self._is_established(service, endpoint.software_version)
                ]

    def _list_sources(self, service: str) -> list[RegisteredEndpoint]:
        live = self._eligibility.list_live(service)
        return self._eligibility.list_sources(live)

    def _count_unanswered(self, endpoint_id: str) -> int:
        state = self._states_by_id.get(endpoint_id)
        return state.count_unanswered() if state is not None else 0

    def _prefer_local(
        self, rated_endpoints: list[RatedEndpoint], expected_work: float
    ) -> list[RatedEndpoint]:
        """Restrict the endpoints to this data centre if it has free capacity.

        Traffic between data centres costs money, so that local endpoints
        below the fill level get all of the expected work.

        :param expected_work: seconds of work of a typical endpoint until the
            next load report
        """
        waits = [rated.wait.total for rated in rated_endpoints]
        speeds = _speeds_of(rated_endpoints)
        level = find_level(waits, expected_work, speeds)
        local = [
            rated
            for rated in rated_endpoints
            if rated.endpoint.data_centre == self._data_centre
            and rated.wait.total < level
        ]
        return local or rated_endpoints

    def count_live(
        self, service: str, versions: VersionFilter = ANY_VERSION
    ) -> int:
        """Return how many endpoints of a service accept requests here.

        :param versions: count only those with these software versions
        """
        return len(self._list_live(service, versions))

    def has_changed_version(self, endpoint: RegisteredEndpoint) -> bool:
        """Return whether an endpoint has another version than it had."""
        current = self._read_endpoints().get(endpoint.endpoint_id)
        return (
            current is not None
            and current.software_version != endpoint.software_version
        )

    def is_version_in_doubt(self, endpoint: RegisteredEndpoint) -> bool:
        """Return whether an endpoint may have restarted as another version.

        One without a start time changes its id on a restart, and refuses
        requests for the old one.
        """
        state = self._states_by_id.get(endpoint.endpoint_id)
        return (
            state is not None
            and endpoint.incarnation != UNKNOWN_INCARNATION
            and state.health.is_version_in_doubt(self._clock.monotonic())
        )

    def record_refused(self, endpoint: RegisteredEndpoint) -> None:
        """Record that an endpoint refused a connection after a loss."""
        now = self._clock.monotonic()
        self._state_of(endpoint).health.record_refused(now)

    def endpoints_per_entry(self, service: str) -> float:
        """Return how many endpoints of a service there are per entry here."""
        return self.count_live(service) / max(1, self.entries)

    def count_draining(self, service: str) -> int:
        """Return how many endpoints of a service drain here."""
        return sum(
            endpoint.service == service and endpoint.is_draining
            for endpoint in self._read_endpoints().values()
        )

    def record_sent(
        self,
        choice: RatedEndpoint,
        backend: Backend,
        prompt: Prompt,
        rank: int,
        *,
        deadline: float | None = None,
    ) -> InFlightRequest:
        """Record a request that is sent to an endpoint."""
        endpoint = choice.endpoint
        now = self._clock.monotonic()
        if not choice.has_permit:
            self._limits.record_sent(endpoint.endpoint_id)
        state = self._state_of(endpoint)
        state.add_recent(now, rank, choice.prefill_cost_tokens)
        state.health.record_start(now)
        if state.health.is_silent and state.health.is_probing:
            self._postpone_probes(state, now)
        if not state.in_flight_requests:
            state.idle_since = now
        if backend.engine is not None:
            memory = backend.engine.memory_tokens
            self.prefix_cache_view.record_sent(
                endpoint.endpoint_id, prompt, memory
            )
        in_flight_request = InFlightRequest(
            choice=choice,
            prompt=prompt,
            rank=rank,
            began_at=now,
            event_tokens=backend.engine.tokens_an_event
            if backend.engine is not None
            else 1,
            deadline=deadline,
        )
        self.admit(in_flight_request, backend)
        state.add_request(in_flight_request)
        return in_flight_request

    def admit(
        self, in_flight_request: InFlightRequest, backend: Backend
    ) -> bool:
        """Return whether the slow start of an endpoint admits a request.

        Asked when the endpoint is chosen, which counts the request, and again
        before the request is written: a slow start may have begun meanwhile.
        """
        endpoint = in_flight_request.endpoint
        if in_flight_request.has_slow_start_permit:
            return True
        if not self.is_in_slow_start(endpoint, backend):
            return True
        is_admitted = self._eligibility.acquire_slow_start(endpoint, backend)
        in_flight_request.has_slow_start_permit = is_admitted
        return is_admitted

    def seconds_until_admitted(self, endpoint: RegisteredEndpoint) -> float:
        """Return when the slow start of an endpoint admits a request next.

        :returns: seconds from now, 0 if unknown
        """
        return self._slow_start_gate.seconds_until_open(endpoint.endpoint_id)

    def _postpone_probes(self, probed: EndpointState, now: float) -> None:
        """Let one request at a time probe the silent endpoints of a service.

        Their common cause may be the links of this entry.
        """
        for state in self._states_by_id.values():
            if (
                state is not probed
                and state.service == probed.service
                and state.health.is_silent
            ):
                state.health.postpone_probe(now + SILENT_PROBE_SPACING_SECONDS)

    def record_output(self, in_flight_request: InFlightRequest) -> None:
        """Record that an endpoint sent a chunk of its response."""
        now = self._clock.monotonic()
        state = self._states_by_id.get(in_flight_request.endpoint.endpoint_id)
        if state is not None:
            state.idle_since = now
        self.speeds.record_event(in_flight_request, now)
        in_flight_request.last_output_at = now
        in_flight_request.chunks_received += 1
        if in_flight_request.first_output_at is None:
            in_flight_request.first_output_at = now
            self._backoff_gate.record_accepted(
                in_flight_request.endpoint.endpoint_id
            )
            if state is not None:
                state.record_first_output(in_flight_request, now)
            self._timings.record_first_token(in_flight_request, now)
            self.on_capacity(in_flight_request.endpoint.service)
            team_request = in_flight_request.choice.team_request
            if team_request is not None:
                self.record_served(team_request)

    def record_read_again(self, in_flight_request: InFlightRequest) -> None:
        """Record that a response is read again after its caller was slow.

        An endpoint of which no response was read has not been silent.
        """
        now = self._clock.monotonic()
        state = self._states_by_id.get(in_flight_request.endpoint.endpoint_id)
        since = in_flight_request.unread_since
        is_short = since is None or now - since < MIN_UNREAD_SECONDS
        if state is not None and not is_short and not state.is_any_read():
            state.idle_since = now
        in_flight_request.unread_since = None

    def record_end(
        self,
        in_flight_request: InFlightRequest,
        backend: Backend,
        *,
        whole: bool,
    ) -> None:
        """Record the end of a request.

        :param whole: whether the endpoint sent a complete response
        """
        now = self._clock.monotonic()
        if whole:
            self._timings.record_completion(in_flight_request, backend, now)
        if whole and in_flight_request.first_output_at is None:
            self._backoff_gate.record_accepted(
                in_flight_request.endpoint.endpoint_id
            )
        state = self._states_by_id.get(in_flight_request.endpoint.endpoint_id)
        if state is not None:
            if not whole:
                self._record_unanswered(in_flight_request, state)
            state.remove_request(in_flight_request)
            if whole:
                state.idle_since = now
        self.on_capacity(in_flight_request.endpoint.service)

    def _record_unanswered(
        self, in_flight_request: InFlightRequest, state: EndpointState
    ) -> None:
        """Record a request that waited longer than expected for nothing.

        A stalled endpoint says nothing about the queues of others.
        """
        now = self._clock.monotonic()
        if (
            in_flight_request.first_output_at is None
            and in_flight_request in state.in_flight_requests
            and not self._stalls.is_stalled(state, now)
        ):
            self._timings.record_unanswered(in_flight_request, now)

    def remove_incarnation(self, endpoint: RegisteredEndpoint) -> None:
        """Remove an incarnation of an endpoint that has been replaced.

        Its deregistration may never arrive, and each request sent to it
        would be refused and use up an attempt.
        """
        self._drop_endpoint(endpoint.endpoint_id)

    def max_idle_connections(
        self, endpoint: RegisteredEndpoint, backend: Backend
    ) -> int:
        """Return how many idle connections to an endpoint may be kept."""
        return max_idle_connections(backend, endpoint.slots, self.entries)

    def health_of(self, endpoint: RegisteredEndpoint) -> EndpointHealth:
        """Return the health of an endpoint."""
        state = self._states_by_id.get(endpoint.endpoint_id)
        return state.health if state is not None else EndpointHealth()

    def list_stalled(self) -> list[str]:
        """Return the ids of endpoints that have requests and are silent."""
        now = self._clock.monotonic()
        return [
            endpoint_id
            for endpoint_id, state in self._states_by_id.items()
            if self._stalls.is_stalled(state, now)
        ]

    def list_silent(self) -> list[str]:
        """Return the ids of silent endpoints of services without others.

        Elsewhere callers' requests find out whether one responds again.
        """
        services = {
            state.service
            for state in self._states_by_id.values()
            if state.health.is_silent
        }
        doubtful = {s for s in services if self.are_all_doubtful(s)}
        return [
            endpoint_id
            for endpoint_id, state in self._states_by_id.items()
            if state.health.is_silent and state.service in doubtful
        ]

    def has_been_silent(
        self, endpoint: RegisteredEndpoint, since: float
    ) -> bool:
        """Return whether an endpoint has sent nothing since a time.

        False if that is no longer than usual.
        """
        state = self._states_by_id.get(endpoint.endpoint_id)
        if state is None or state.idle_since > since:
            return False
        timeout = self.stall_timeout_seconds(endpoint.service)
        now = self._clock.monotonic()
        return self._stalls.silent_seconds(since, now) >= timeout

    def record_unreachable(
        self, endpoint: RegisteredEndpoint, seconds: float
    ) -> None:
        """Skip an endpoint that could not be connected to for some time."""
        now = self._clock.monotonic()
        self._state_of(endpoint).health.record_unreachable(now, seconds)

    def record_reachable(self, endpoint: RegisteredEndpoint) -> None:
        """Use an endpoint again to which a connection was opened."""
        self._state_of(endpoint).health.record_connected()

    def has_doubtful(self, service: str) -> bool:
        """Return whether this entry may reach an endpoint worse than others.

        Some endpoint is unreachable, has failed too often or is silent.
        """
        return any(
            map(self._is_doubtful, self._eligibility.list_live(service))
        )

    def are_all_doubtful(self, service: str) -> bool:
        """Return whether this entry may reach no endpoint of a service."""
        live = self._eligibility.list_live(service)
        return bool(live) and all(map(self._is_doubtful, live))

    def is_cut_off(self, service: str) -> bool:
        """Return whether this entry reaches no endpoint of a service."""
        now = self._clock.monotonic()
        live = self._eligibility.list_live(service)
        return bool(live) and not any(
            self.health_of(endpoint).is_reachable(now) for endpoint in live
        )

    def reaches_none(self) -> bool:
        """Return whether this entry reaches no endpoint of any service."""
        now = self._clock.monotonic()
        endpoints = self._read_endpoints().values()
        return bool(endpoints) and not any(
            self.health_of(endpoint).is_reachable(now)
            for endpoint in endpoints
        )

    def _is_doubtful(self, endpoint: RegisteredEndpoint) -> bool:
        state = self._states_by_id.get(endpoint.endpoint_id)
        if state is None:
            return False
        now = self._clock.monotonic()
        return not state.health.is_reachable(now) or self._stalls.is_suspect(
            state, now
        )

    def record_run(self, service: str, seconds: float) -> None:
        """Record how long a request held a slot in another region."""
        self._timings.record_run(service, seconds)

    def estimate_error(
        self, service: str, rank: int, prefill_share: float
    ) -> float:
        """Return by how much a first response is expected to be late."""
        if not self._mechanisms.late_parts:
            return 0.0
        return self._timings.errors_of(service).expect(rank, prefill_share)

    def run_seconds(self, service: str) -> float:
        """Return how long a request of a service holds a slot on average."""
        return self._timings.run_seconds(service)

    def held_seconds(self, service: str) -> float:
        """Return how long a token is held in an engine's memory."""
        return self._timings.held_seconds(service)

    def read_own_load(self) -> dict[str, list[RankLoad]]:
        """Return this entry VM's load by endpoint id."""
        now = self._clock.monotonic()
        ranks_by_id = {}
        for endpoint_id, state in self._states_by_id.items():
            load = state.load(
                now,
                self.engines.endpoint_token_seconds(
                    state.service, endpoint_id
                ),
                counts_progress=self._mechanisms.reading_progress,
                fastest_step=self.engines.decode_step_seconds(
                    state.service, 0.0
                ),
            )
            ranks = load.ranks()
            if ranks:
                ranks_by_id[endpoint_id] = ranks
        return ranks_by_id

    def remove_ended(self) -> None:
        """Remove the state of endpoints that no longer exist."""
        live = self._read_endpoints()
        for endpoint_id, state in list(self._states_by_id.items()):
            if endpoint_id not in live and not state.in_flight_requests:
                del self._states_by_id[endpoint_id]
                self.engines.remove_endpoint(endpoint_id)
        self.prefix_cache_view.retain_endpoints(live)
        self._backoff_gate.remove_ended(live)

    def _rate(
        self, endpoint: RegisteredEndpoint, request: RatedRequest, now: float
    ) -> RatedEndpoint:
        state = self._state_of(endpoint)
        return self._rater.rate(
            endpoint,
            state,
            request,
            self.prefix_cache_view.cached_tokens(
                endpoint.endpoint_id, request.prompt
            ),
            now,
            is_suspect=self._stalls.is_suspect(state, now),
        )

    def stall_timeout_seconds(self, service: str) -> float:
        """Return after how long without output an endpoint is stalled."""
        return self._stalls.timeout_seconds(service)

    def _state_of(self, endpoint: RegisteredEndpoint) -> EndpointState:
        state = self._states_by_id.get(endpoint.endpoint_id)
        if state is None:
            state = EndpointState(service=endpoint.service)
            self._states_by_id[endpoint.endpoint_id] = state
        return state


def _speeds_of(rated_endpoints: list[RatedEndpoint]) -> list[float] | None:
    """Return the speeds of endpoints, None if all are typical."""
    if all(rated.time_factor == 1.0 for rated in rated_endpoints):
        return None
    return [1 / rated.time_factor for rated in rated_endpoints]


def _ignore(service: str) -> None:
    """Ignore free capacity; the default where nothing waits for it."""


def _ignore_served(team_request: TeamRequest) -> None:
    """Ignore served work; the default handler."""

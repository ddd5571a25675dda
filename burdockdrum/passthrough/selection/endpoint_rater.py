"""Estimate how long a request would wait at an endpoint.

Combines the load, the engine's speed, cached prefixes and penalties into the
wait by which endpoints are compared.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from burdockdrum.passthrough.state import decode_risk_seconds
from burdockdrum.passthrough.state import EndpointState
from burdockdrum.passthrough.state import EngineEstimates
from burdockdrum.passthrough.state import estimate_queue
from burdockdrum.passthrough.state import EstimateErrors
from burdockdrum.passthrough.state import ExpectedWait
from burdockdrum.passthrough.state import memory_wait_seconds
from burdockdrum.passthrough.state import preemption_seconds
from burdockdrum.passthrough.state import PrefixFetch
from burdockdrum.passthrough.state import PrefixLocation
from burdockdrum.passthrough.state import Prompt
from burdockdrum.passthrough.state import RatedEndpoint
from burdockdrum.passthrough.state import RECENT_WINDOW_SECONDS
from burdockdrum.passthrough.state import transfer_seconds
from burdockdrum.registrations import Load
from burdockdrum.registrations import RegisteredEndpoint
from burdockdrum.resources import Backend
from burdockdrum.resources import Route
from burdockdrum.settings import MechanismSettings

# Penalty for endpoints other than the one that hashing assigns a prefix to,
# while no endpoint is known to have it cached. Makes entry VMs choose the same
# endpoint without communication, so that the prefix is computed only once.
NOT_HASHED_PENALTY_SECONDS = 0.1
# How much longer a transfer takes between data centres.
REMOTE_LINK_FACTOR = 2.0
_BYTES_PER_MEGABYTE = 1_000_000
# Headers of a request and its response, and a short response body.
EXCHANGE_OVERHEAD_BYTES = 2000
# Penalty of an endpoint that misses its heartbeats: it is used where all
# others are far worse.
MISSED_HEARTBEAT_PENALTY_SECONDS = 1.0
# Penalty of an ejected or stalled endpoint; larger than that of using another
# region.
EJECTED_PENALTY_SECONDS = 1.0


@dataclass(frozen=True, kw_only=True)
class RatedRequest:
    """A request and what its ratings at all endpoints have in common.

    ``seconds_left`` is the time until the caller's deadline, ``run_seconds``
    how long a request of the service holds a slot on average, and
    ``held_seconds`` how long a token is held in memory.
    ``prefill_seconds_by_uncached`` caches prefill times by uncached tokens, as
    most endpoints have the same tokens of a prompt cached.
    """

    route: Route
    backend: Backend
    prompt: Prompt
    seconds_left: float
    prefix: PrefixLocation
    run_seconds: float
    held_seconds: float
    errors: EstimateErrors
    body_bytes: int = 0
    prefill_seconds_by_uncached: dict[int, float] = field(default_factory=dict)


class EndpointRater:
    """Estimates a request's wait at an endpoint of this region."""

    def __init__(
        self,
        *,
        engines: EngineEstimates,
        read_load: Callable[[str], Load],
        read_unreported_entries: Callable[[], int],
        read_region: Callable[[str], str | None],
        mechanisms: MechanismSettings,
        data_centre: str | None = None,
        crossing_seconds: float = 0.0,
    ) -> None:
        """Create it.

        :param read_load: returns the load of other entry VMs at an endpoint
        :param read_unreported_entries: returns how many entry VMs report no
            load
        :param read_region: returns the region of a data centre
        :param mechanisms: the enabled parts of the policy
        :param data_centre: the data centre of this entry VM, None to ignore
            the cost of crossings
        :param crossing_seconds: penalty for each megabyte that is sent to
            another data centre
        """
        self._data_centre = data_centre
        self._crossing_seconds = crossing_seconds
        self._engines = engines
        self._read_load = read_load
        self._read_unreported_entries = read_unreported_entries
        self._read_region = read_region
        self._mechanisms = mechanisms

    def rate(
        self,
        endpoint: RegisteredEndpoint,
        state: EndpointState,
        request: RatedRequest,
        cached_tokens: int,
        now: float,
        *,
        is_suspect: bool,
    ) -> RatedEndpoint:
        """Return the estimated wait of a request at an endpoint.

        :param cached_tokens: tokens of the prompt that the endpoint has cached
        :param is_suspect: whether the endpoint is ejected or stalled
        """
        factor = self._engines.time_factor(
            request.backend.name, endpoint.endpoint_id
        )
        load = self._load(endpoint, state, now, factor)
        fetch = self._find_fetch(endpoint, request, cached_tokens)
        uncached = request.prompt.tokens - cached_tokens
        if fetch is not None:
            uncached -= fetch.tokens
        offered_load = self._offered_load(request.backend.name, load, factor)
        return RatedEndpoint(
            endpoint=endpoint,
            wait=ExpectedWait(
                queue=self._queue(endpoint, load, request, factor),
                service_time=self._service_time(
                    request, uncached, fetch, factor
                ),
                penalty=self._penalty(endpoint, request, is_suspect)
                + self._preemption(endpoint, load, request) * factor
                + self._decode_risk(request, offered_load, factor)
                + self._crossing(endpoint, request),
                expected_error=self._expected_error(request, offered_load),
            ),
            uncached_tokens=uncached,
            fetch=fetch,
            offered_load=offered_load,
            queued_tokens=load.uncached_tokens,
            prefill_share=min(1.0, offered_load),
            time_factor=factor,
        )

    def _load(
        self,
        endpoint: RegisteredEndpoint,
        state: EndpointState,
        now: float,
        factor: float,
    ) -> Load:
        load = state.load(
            now,
            self._engines.prefill_token_seconds(endpoint.service) * factor,
            counts_progress=self._mechanisms.reading_progress,
        )
        if not self._mechanisms.shared_loads:
            return load
        unreported = self._read_unreported_entries()
        if unreported:
            load = load.scaled(unreported + 1)
        load.merge(self._read_load(endpoint.endpoint_id))
        return load

    def _queue(
        self,
        endpoint: RegisteredEndpoint,
        load: Load,
        request: RatedRequest,
        factor: float,
    ) -> float:
        service = request.backend.name
        queue = estimate_queue(
            load,
            rank=request.route.rank,
            slots=endpoint.slots,
            run_seconds=request.run_seconds,
            prefill_token_seconds=self._engines.prefill_token_seconds(service),
            counts_arrivals=self._mechanisms.urgent_share,
            memory_wait_seconds=self._memory_wait(load, request),
        )
        # Prefers the less loaded of several endpoints with free slots.
        utilization = load.requests / endpoint.slots
        preference = utilization * request.run_seconds / endpoint.slots
        return (queue + preference) * factor

    def _memory_wait(self, load: Load, request: RatedRequest) -> float:
        engine = request.backend.engine
        if engine is None or not self._mechanisms.memory_room:
            return 0.0
        return memory_wait_seconds(
            load,
            rank=request.route.rank,
            request_tokens=request.prompt.memory_tokens,
            memory_tokens=engine.memory_tokens,
            held_seconds=request.held_seconds,
        )

    def _service_time(
        self,
        request: RatedRequest,
        uncached: int,
        fetch: PrefixFetch | None,
        factor: float,
    ) -> float:
        backend = request.backend
        if backend.engine is None:
            return 0.0
        engines = self._engines
        prefill = self._prefill_seconds(request, uncached)
        prefill += engines.first_token_seconds(backend.name)
        fetching = engines.fetch_seconds(backend.name, fetch)
        return prefill * factor + fetching

    def _prefill_seconds(self, request: RatedRequest, uncached: int) -> float:
        cached = request.prefill_seconds_by_uncached.get(uncached)
        if cached is None:
            cached = self._engines.prefill_seconds(
                request.backend.name, request.prompt, uncached
            )
            request.prefill_seconds_by_uncached[uncached] = cached
        return cached

    def prefill_cost_tokens(
        self, request: RatedRequest, uncached: int
    ) -> float:
        """Return the prefill cost of a prompt in tokens of short prompts.

        Attention makes a token of a long prompt costlier than one of a short
        prompt.
        """
        service = request.backend.name
        if request.backend.engine is None:
            return 0.0
        if not self._mechanisms.long_prompt_cost:
            return float(uncached)
        seconds = self._prefill_seconds(request, uncached)
        return seconds / self._engines.prefill_token_seconds(service)

    def _find_fetch(
        self,
        endpoint: RegisteredEndpoint,
        request: RatedRequest,
        cached_tokens: int,
    ) -> PrefixFetch | None:
        """Return the prefix fetch that an endpoint should make, if any."""
        holder = request.prefix.holder
        tokens = request.prefix.fetchable_tokens(
            endpoint.endpoint_id, cached_tokens
        )
        if holder is None or not tokens:
            return None
        seconds = transfer_seconds(request.backend, tokens)
        if holder.data_centre != endpoint.data_centre:
            seconds *= REMOTE_LINK_FACTOR
        here, there = endpoint.data_centre, holder.data_centre
        return PrefixFetch(
            source_id=holder.endpoint_id,
            address=holder.address,
            tokens=tokens,
            transfer_seconds=seconds,
            is_cross_region=self._read_region(here)
            != self._read_region(there),
        )

    def _offered_load(self, service: str, load: Load, factor: float) -> float:
        """Return the seconds of prefill sent to an endpoint per second."""
        seconds = load.recent_tokens * self._engines.prefill_token_seconds(
            service
        )
        return seconds * factor / RECENT_WINDOW_SECONDS

    def _decode_risk(
        self, request: RatedRequest, prefill_share: float, factor: float
    ) -> float:
        is_on = self._mechanisms.writing_risk
        if request.backend.engine is None or not is_on:
            return 0.0
        step = self._engines.decode_step_seconds(
            request.backend.name, prefill_share
        )
        return decode_risk_seconds(
            request.prompt, step * factor, request.seconds_left
        )

    def _preemption(
        self, endpoint: RegisteredEndpoint, load: Load, request: RatedRequest
    ) -> float:
        if request.backend.engine is None or not self._mechanisms.full_slots:
            return 0.0
        return preemption_seconds(
            load,
            rank=request.route.rank,
            slots=endpoint.slots,
            run_seconds=request.run_seconds,
        )

    def _expected_error(
        self, request: RatedRequest, prefill_share: float
    ) -> float:
        if request.backend.engine is None or not self._mechanisms.late_parts:
            return 0.0
        return request.errors.expect(request.route.rank, prefill_share)

    def _crossing(
        self, endpoint: RegisteredEndpoint, request: RatedRequest
    ) -> float:
        """Return the penalty for traffic to another data centre."""
        if self._data_centre in (None, endpoint.data_centre):
            return 0.0
        return crossing_seconds(request.body_bytes, self._crossing_seconds)

    def _penalty(
        self,
        endpoint: RegisteredEndpoint,
        request: RatedRequest,
        is_suspect: bool,
    ) -> float:
        penalty = 0.0
        if endpoint.is_unreachable:
            penalty += MISSED_HEARTBEAT_PENALTY_SECONDS
        if is_suspect:
            penalty += EJECTED_PENALTY_SECONDS
        if request.prefix.hashed_endpoint_id not in (
            None,
            endpoint.endpoint_id,
        ):
            penalty += NOT_HASHED_PENALTY_SECONDS
        return penalty


def crossing_seconds(body_bytes: int, seconds_per_megabyte: float) -> float:
    """Return the penalty for sending a request elsewhere.

    :param body_bytes: size of the request's body
    :param seconds_per_megabyte: penalty for each megabyte
    """
    sent = body_bytes + EXCHANGE_OVERHEAD_BYTES
    return sent / _BYTES_PER_MEGABYTE * seconds_per_megabyte

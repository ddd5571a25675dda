"""The router: selects an endpoint or a data centre for each request."""

from collections.abc import Callable
import itertools
import random

from burdockdrum.endpoints import Endpoint
from burdockdrum.endpoints import EndpointRegistry
from burdockdrum.ports import Clock
from burdockdrum.routing.attempts import Attempt
from burdockdrum.routing.fleet import Fleet
from burdockdrum.routing.fleet import Option
from burdockdrum.routing.model import AttemptFacts
from burdockdrum.routing.model import AttemptOutcome
from burdockdrum.routing.model import CapacityShare
from burdockdrum.routing.model import Choice
from burdockdrum.routing.model import Estimate
from burdockdrum.routing.model import RoutingRequest
from burdockdrum.routing.model import ToEndpoint
from burdockdrum.routing.model import Unroutable
from burdockdrum.routing.remote_data_centres import MAX_HOPS
from burdockdrum.routing.remote_data_centres import RemoteDataCentres
from burdockdrum.routing.remote_data_centres import RemoteOption
from burdockdrum.routing.remote_data_centres import reserved_slots
from burdockdrum.settings import PolicySettings
from burdockdrum.vms import VmDirectory
from burdockdrum.vms import VmView

_FAILURES = (
    AttemptOutcome.FAILED,
    AttemptOutcome.REFUSED,
    AttemptOutcome.UNREACHABLE,
    AttemptOutcome.TIMED_OUT,
)
_SERVICE_SECONDS_WEIGHT = 0.1


class Router:
    """Select among the local endpoints and the other data centres."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        endpoints: EndpointRegistry,
        vms: VmDirectory,
        policy: PolicySettings | None = None,
    ) -> None:
        """Create a router without observations."""
        self.policy = policy or PolicySettings()
        self._clock = clock
        self._rng = rng
        self._endpoints = endpoints
        self._vms = vms
        self._fleet = Fleet(
            clock=clock,
            rng=rng,
            endpoints=endpoints,
            region=vms.identity.region,
            policy=self.policy,
        )
        self._remote = RemoteDataCentres(
            clock=clock,
            rng=rng,
            vms=vms,
            wide_area_seconds=self.policy.wide_area_seconds,
            spill_reserve=self.policy.spill_reserve,
        )
        self._numbers = itertools.count()
        self._listeners: list[Callable[[str], None]] = []
        # Set by admission: estimated queueing time here in seconds.
        self.estimate_queue_seconds: Callable[[RoutingRequest], float] = (
            lambda request: 0.0
        )

    def now(self) -> float:
        """Return this VM's monotonic time in seconds."""
        return self._clock.monotonic()

    def add_listener(self, listener: Callable[[str], None]) -> None:
        """Register a function, called with the service as an attempt ends."""
        self._listeners.append(listener)

    def choose(self, request: RoutingRequest) -> Choice:
        """Return where to send a request now."""
        options = self._fleet.evaluate(request)
        if request.hops:
            return self._choose_for_forwarded(request, options)
        best = self._pick(options, request)
        remote_option = self._find_better_remote_option(
            request, best, self.estimate_queue_seconds(request)
        )
        if remote_option is not None:
            return self._remote.forward(request, remote_option.data_centre)
        if best is not None:
            return _to_endpoint(best)
        return self._make_refusal(request)

    def can_start(self, request: RoutingRequest, *, wait: float = 0.0) -> bool:
        """Return whether a request should start now, here or remotely.

        :param wait: estimated queueing time here in seconds
        """
        options = self._fleet.evaluate(request)
        with_capacity = [
            option for option in options if option.free_capacity >= 1
        ]
        if request.hops:
            return self._can_accept_forwarded(request, options)
        if with_capacity:
            return True
        return self._find_better_remote_option(request, None, wait) is not None

    def estimate(self, request: RoutingRequest) -> Estimate | None:
        """Return the best estimate for a request that starts now."""
        options = self._fleet.evaluate(request)
        local = min(
            (option.estimate for option in options),
            key=lambda estimate: estimate.finish,
            default=None,
        )
        if local is not None or request.hops:
            return local
        remote_options = self._find_remote_options(request)
        if not remote_options:
            return None
        best = remote_options[0]
        return Estimate(
            first_token=best.first_token, finish=best.finish, run=best.run
        )

    def is_displaced(self, request: RoutingRequest) -> bool:
        """Return whether this data centre has no endpoint for a request."""
        if self._vms.identity.region not in request.regions:
            return True
        return not self._endpoints.candidates(request.service)

    def record_forward_refused(self, data_centre: str) -> None:
        """Record that a data centre refused a request as overloaded.

        It gets no forwards for a short time. The request need not exclude
        it, and may be queued here until there is free capacity again.
        """
        self._remote.record_refusal(data_centre)

    def is_replaced(self, endpoint: Endpoint) -> bool:
        """Return whether a later incarnation of an endpoint is known."""
        known = self._endpoints.endpoints_by_id.get(endpoint.endpoint_id)
        return known is not None and known.incarnation > endpoint.incarnation

    def begin(self, endpoint: Endpoint, request: RoutingRequest) -> Attempt:
        """Register an attempt that starts now."""
        tracker = self._fleet.track(endpoint)
        loads = self._fleet.estimate_loads([endpoint])
        option = self._fleet.evaluate_endpoint(
            endpoint,
            tracker,
            request,
            self._fleet.depths(request),
            loads[endpoint.endpoint_id],
        )
        typical = self._fleet.typical_speed(endpoint.service)
        expected = (
            option.uncached_tokens * typical.prefill_seconds
            + typical.decode_seconds
        )
        attempt = Attempt(
            number=next(self._numbers),
            clock=self._clock,
            endpoint=endpoint,
            request=request,
            tracker=tracker,
            load=option.load,
            uncached_tokens=option.uncached_tokens,
            expected_first_token=expected,
            on_first_token=self._record_first_token,
            on_silence=self._record_silence,
            on_finish=self._record_finish,
        )
        now = self.now()
        tracker.local_load.change(1, now)
        tracker.last_attempt_at = now
        tracker.suspects += request.isolated
        tracker.expect_first_token(
            attempt.number, now, option.estimate.first_token
        )
        self._fleet.placements.remember(request.prefix_hashes, tracker.name)
        return attempt

    def capacity_share(self, service: str) -> CapacityShare:
        """Return this VM's share of its data centre's capacity."""
        now = self.now()
        limit = local = total = 0.0
        candidates = self._endpoints.candidates(service)
        loads = self._fleet.estimate_loads(candidates)
        for endpoint in candidates:
            tracker = self._fleet.track(endpoint)
            limit += tracker.current_limit(now)
            local += tracker.local_load.count
            total += loads[endpoint.endpoint_id]
        peers = self._peers_here()
        limit = limit or self._remote.equal_share(service)
        return CapacityShare(
            limit=limit,
            local=local,
            total=total,
            entry_vms=len(peers) + 1,
            peer_queue_seconds=max(
                (
                    summary.queue_seconds
                    for view in peers
                    for summary in view.services
                    if summary.service == service
                ),
                default=0.0,
            ),
        )

    def _peers_here(self) -> list[VmView]:
        own = self._vms.identity.data_centre
        return [
            view
            for view in self._vms.live_vms()[1:]
            if view.identity.data_centre == own and not view.draining
        ]

    def _pick(
        self, options: list[Option], request: RoutingRequest
    ) -> Option | None:
        """Return the best option of a small random sample.

        The sample is extended by the option with the longest cached prefix.
        All VMs see the same delayed reports, so selecting the best of all
        endpoints would send all requests to the same one (Mitzenmacher, "How
        useful is old information?", 2000). A small sample spreads them and
        is nearly as good ("The power of two choices", 2001).
        """
        if not options:
            return None
        if request.isolated:
            return min(options, key=lambda option: option.load)
        now = self.now()
        typical = self._fleet.typical_speed(request.service)
        for option in options:
            # Only requests that may be retried are used as trial requests.
            due = option.tracker.is_due_for_trial(typical, now)
            if due and request.repeatable:
                return option
        sample = options
        if len(options) > self.policy.choices:
            by_cached_prefix = sorted(
                options, key=lambda option: option.uncached_tokens
            )
            sample = self._rng.sample(options, self.policy.choices)
            if by_cached_prefix[0].uncached_tokens < request.prompt_tokens:
                sample.append(by_cached_prefix[0])
        with_capacity = [
            option for option in sample if option.free_capacity >= 1
        ]
        if not with_capacity:
            with_capacity = [
                option for option in options if option.free_capacity >= 1
            ]
        return min(
            with_capacity or sample,
            key=lambda option: (
                option.estimate.first_token + option.estimate.finish,
                self._rng.random(),
            ),
        )

    def _find_remote_options(
        self, request: RoutingRequest
    ) -> list[RemoteOption]:
        if len(request.hops) >= MAX_HOPS:
            return []
        speed = self._fleet.typical_speed(request.service)
        return self._remote.find_options(request, speed)

    def _find_better_remote_option(
        self, request: RoutingRequest, best: Option | None, wait: float
    ) -> RemoteOption | None:
        """Return a data centre that would finish the request sooner."""
        if best is not None and best.free_capacity >= 1:
            return None
        remote_options = self._find_remote_options(request)
        estimate = best.estimate if best else self._estimate_locally(request)
        if estimate is None:
            # There is no local endpoint: the request may also be queued
            # remotely, by its rank.
            return next((o for o in remote_options if not o.refused), None)
        local_finish = estimate.finish + wait
        margin = self.policy.spill_margin_seconds
        for remote_option in remote_options:
            if (
                remote_option.free_capacity >= 1
                and remote_option.finish + margin < local_finish
            ):
                return remote_option
        return None

    def _estimate_locally(self, request: RoutingRequest) -> Estimate | None:
        options = self._fleet.evaluate(request)
        if not options:
            return None
        return min(
            (option.estimate for option in options), key=lambda e: e.finish
        )

    def _choose_for_forwarded(
        self, request: RoutingRequest, options: list[Option]
    ) -> Choice:
        """Accept a forwarded request, or refuse it at once.

        It is never forwarded again: two data centres with outdated summaries
        of each other would forward it back and forth.
        """
        if not options:
            return self._make_refusal(request)
        if not self.can_start(request):
            return Unroutable(
                message="no free capacity for forwarded requests"
            )
        best = self._pick(options, request)
        assert best is not None
        return _to_endpoint(best)

    def _can_accept_forwarded(
        self, request: RoutingRequest, options: list[Option]
    ) -> bool:
        free_capacity = sum(
            max(0.0, option.free_capacity) for option in options
        )
        slots = sum(option.endpoint.slots for option in options)
        has_capacity = any(option.free_capacity >= 1 for option in options)
        if request.displaced:
            # It can't run where it came from. Local callers of the same
            # rank are still ahead of it in the queue.
            return has_capacity
        reserve = reserved_slots(slots, self.policy.spill_reserve)
        return has_capacity and free_capacity >= 1 + reserve / 2

    def _make_refusal(self, request: RoutingRequest) -> Unroutable:
        if len(request.hops) >= MAX_HOPS:
            return Unroutable(message="too many hops", loop=True)
        if self._find_remote_options(request) or request.excluded_endpoints:
            return Unroutable(
                message="no endpoint has free capacity or responds"
            )
        known = self._endpoints.candidates(request.service)
        if known and self._vms.identity.region in request.regions:
            return Unroutable(message="all endpoints are unavailable")
        return Unroutable(
            message=f"no live endpoint of {request.service!r} in the "
            "regions that the client's residency and the service allow: "
            f"{sorted(request.regions)}",
            no_endpoint=True,
        )

    def _record_first_token(self, attempt: Attempt, seconds: float) -> None:
        tracker = attempt.tracker
        tracker.clear_first_token(attempt.number)
        tracker.limit.adjust(
            seconds=seconds,
            expected=attempt.expected_first_token,
            load=attempt.load,
            now=self.now(),
        )
        if attempt.load < tracker.limit.value:
            tracker.speed.record_first_token(
                seconds=seconds,
                expected=attempt.expected_first_token,
                uncached_tokens=attempt.uncached_tokens,
            )
            service = attempt.endpoint.service
            tracker.update_outlier(
                self._fleet.typical_slowness(service),
                self._fleet.typical_speed(service),
                self.now(),
            )

    def _record_silence(self, attempt: Attempt) -> None:
        now = self.now()
        tracker = attempt.tracker
        if tracker.is_overdue(attempt.number, now):
            tracker.health.eject(now)
        else:
            tracker.health.record_failure(now)

    def _record_finish(self, attempt: Attempt, facts: AttemptFacts) -> None:
        now = self.now()
        tracker = attempt.tracker
        # A cancellation after the first token was overdue counts as a
        # failure of the endpoint: otherwise it would get a new burst of
        # requests each time that callers reach their deadlines.
        was_overdue = tracker.is_overdue(attempt.number, now)
        tracker.clear_first_token(attempt.number)
        tracker.local_load.change(-1, now)
        tracker.suspects -= attempt.request.isolated
        if facts.outcome is AttemptOutcome.COMPLETED:
            self._record_completion(attempt, facts)
            tracker.health.record_success(now)
        elif was_overdue:
            tracker.health.eject(now)
        elif facts.outcome in _FAILURES and not attempt.is_silent:
            tracker.health.record_failure(now)
        for listener in self._listeners:
            listener(attempt.endpoint.service)

    def _record_completion(
        self, attempt: Attempt, facts: AttemptFacts
    ) -> None:
        tracker = attempt.tracker
        change = facts.total_seconds - tracker.service_seconds
        tracker.service_seconds += _SERVICE_SECONDS_WEIGHT * change
        if facts.first_token_seconds is not None:
            tokens = facts.tokens or attempt.request.max_tokens
            tracker.speed.record_decode(
                seconds=facts.total_seconds - facts.first_token_seconds,
                tokens=tokens - 1,
            )

    def free_capacity(self, service: str) -> float:
        """Return how many requests could start at once here."""
        return self._fleet.free_capacity(service)

    def mean_service_seconds(self, service: str) -> float:
        """Return how long a request has run lately."""
        return self._fleet.mean_service_seconds(service)


def _to_endpoint(option: Option) -> ToEndpoint:
    return ToEndpoint(
        endpoint=option.endpoint,
        estimated_first_token_seconds=option.estimate.first_token,
        estimated_finish_seconds=option.estimate.finish,
    )

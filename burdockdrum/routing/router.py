"""Choose where a request goes."""

from collections.abc import Callable
from dataclasses import dataclass
import itertools
import random
import statistics

from burdockdrum.endpoints import Endpoint
from burdockdrum.endpoints import EndpointRegistry
from burdockdrum.ports import Clock
from burdockdrum.routing.attempts import Attempt
from burdockdrum.routing.elsewhere import Elsewhere
from burdockdrum.routing.elsewhere import MAX_HOPS
from burdockdrum.routing.elsewhere import Offer
from burdockdrum.routing.elsewhere import reserve_of
from burdockdrum.routing.model import AttemptFacts
from burdockdrum.routing.model import AttemptOutcome
from burdockdrum.routing.model import CapacityShare
from burdockdrum.routing.model import Choice
from burdockdrum.routing.model import Demand
from burdockdrum.routing.model import Estimate
from burdockdrum.routing.model import Nowhere
from burdockdrum.routing.model import ToEndpoint
from burdockdrum.routing.placements import PlacementMemory
from burdockdrum.routing.speed import Speed
from burdockdrum.routing.tracking import EndpointTracker
from burdockdrum.settings import PolicySettings
from burdockdrum.vms import VmDirectory
from burdockdrum.vms import VmView

_FAILURES = (
    AttemptOutcome.FAILED,
    AttemptOutcome.REFUSED,
    AttemptOutcome.UNREACHABLE,
    AttemptOutcome.TIMED_OUT,
)
_SPEED_SECONDS = 1.0
_SERVICE_WEIGHT = 0.1


@dataclass(frozen=True, kw_only=True)
class _Option:
    """An endpoint weighed for one request; ``room`` is in requests."""

    endpoint: Endpoint
    tracker: EndpointTracker
    load: float
    room: float
    tokens_read: float
    estimate: Estimate


class Router:
    """Choose among the endpoints here and the data centres elsewhere."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        endpoints: EndpointRegistry,
        vms: VmDirectory,
        policy: PolicySettings | None = None,
    ) -> None:
        """Create a router that has learned nothing."""
        self.policy = policy or PolicySettings()
        self._clock = clock
        self._rng = rng
        self._endpoints = endpoints
        self._vms = vms
        self._placements = PlacementMemory()
        self._elsewhere = Elsewhere(
            clock=clock,
            rng=rng,
            vms=vms,
            wide_area_seconds=self.policy.wide_area_seconds,
            spill_reserve=self.policy.spill_reserve,
        )
        self._trackers_by_id: dict[str, EndpointTracker] = {}
        self._numbers = itertools.count()
        self._speeds_by_service: dict[str, tuple[float, Speed]] = {}
        self._listeners: list[Callable[[str], None]] = []
        # Set by admission: seconds a request would wait for its turn here.
        self.read_wait: Callable[[Demand], float] = lambda demand: 0.0

    def now(self) -> float:
        """Return this VM's monotonic time in seconds."""
        return self._clock.monotonic()

    def add_listener(self, listener: Callable[[str], None]) -> None:
        """Call a function with the service whenever an attempt ends."""
        self._listeners.append(listener)

    def choose(self, demand: Demand) -> Choice:
        """Say where a request should go now."""
        options = self._weigh(demand)
        if demand.hops:
            return self._choose_for_other(demand, options)
        best = self._pick(options, demand)
        offer = self._find_better_offer(demand, best, self.read_wait(demand))
        if offer is not None:
            return self._elsewhere.forward(demand, offer.data_centre)
        if best is not None:
            return _to_endpoint(best)
        return self._explain(demand)

    def can_start(self, demand: Demand, *, wait: float = 0.0) -> bool:
        """Say whether a request should start now, here or elsewhere.

        :param wait: seconds until its turn, if it stays here
        """
        options = self._weigh(demand)
        with_room = [option for option in options if option.room >= 1]
        if demand.hops:
            return self._can_take_for_other(demand, options)
        if with_room:
            return True
        return self._find_better_offer(demand, None, wait) is not None

    def estimate(self, demand: Demand) -> Estimate | None:
        """Return the best that a request may expect once it starts."""
        options = self._weigh(demand)
        local = min(
            (option.estimate for option in options),
            key=lambda estimate: estimate.finish,
            default=None,
        )
        if local is not None or demand.hops:
            return local
        offers = self._find_offers(demand)
        if not offers:
            return None
        best = offers[0]
        return Estimate(
            first_token=best.first_token, finish=best.finish, run=best.run
        )

    def is_displaced(self, demand: Demand) -> bool:
        """Say whether no endpoint of this data centre may ever run it."""
        if self._vms.identity.region not in demand.regions:
            return True
        return not self._endpoints.candidates(demand.service)

    def note_forward_refused(self, data_centre: str) -> None:
        """Take in that a data centre had no room for a request.

        It is offered nothing for a moment; the request itself need not
        exclude it for good and may wait here until there is room again.
        """
        self._elsewhere.note_refused(data_centre)

    def begin(self, endpoint: Endpoint, demand: Demand) -> Attempt:
        """Count an attempt that starts now."""
        tracker = self._track(endpoint)
        option = self._weigh_one(
            endpoint, tracker, demand, self._depths(demand)
        )
        typical = self._typical_speed(endpoint.service)
        expected = option.tokens_read * typical.prefill + typical.token
        attempt = Attempt(
            number=next(self._numbers),
            clock=self._clock,
            endpoint=endpoint,
            demand=demand,
            tracker=tracker,
            load=option.load,
            tokens_read=option.tokens_read,
            expected_first=expected,
            on_first_token=self._learn_first_token,
            on_finish=self._learn_finish,
        )
        now = self.now()
        tracker.own.change(1, now)
        tracker.tried_at = now
        tracker.suspects += demand.isolated
        tracker.expect_first_token(
            attempt.number, now, option.estimate.first_token
        )
        self._placements.remember(demand.prefix_hashes, tracker.name)
        return attempt

    def room(self, service: str) -> float:
        """Return how many requests could start at once here."""
        total = 0.0
        now = self.now()
        for endpoint in self._endpoints.candidates(service):
            tracker = self._track(endpoint)
            if not tracker.is_silent(now):
                load = tracker.estimate_load(endpoint)
                total += max(0.0, tracker.current_limit(now) - load)
        return total

    def share(self, service: str) -> CapacityShare:
        """Return this VM's part of what its data centre can run."""
        now = self.now()
        limit = own = total = 0.0
        for endpoint in self._endpoints.candidates(service):
            tracker = self._track(endpoint)
            limit += tracker.current_limit(now)
            own += tracker.own.count
            total += tracker.estimate_load(endpoint)
        peers = self._peers_here()
        limit = limit or self._elsewhere.equal_part(service)
        return CapacityShare(
            limit=limit,
            own=own,
            total=total,
            entries=len(peers) + 1,
            peers_wait=max(
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

    def mean_service_seconds(self, service: str) -> float:
        """Return how long a request has run lately."""
        times = [
            self._track(endpoint).service_seconds
            for endpoint in self._endpoints.candidates(service)
        ]
        return statistics.fmean(times) if times else 1.0

    def _weigh(self, demand: Demand) -> list[_Option]:
        """Return the endpoints here that may be sent the request."""
        if self._vms.identity.region not in demand.regions:
            return []
        now = self.now()
        options = []
        depths = self._depths(demand)
        candidates = self._endpoints.candidates(demand.service)
        fitting = _with_adapter(candidates, demand.adapter)
        for endpoint in fitting:
            if endpoint.endpoint_id in demand.excluded_endpoints:
                continue
            tracker = self._track(endpoint)
            if tracker.current_limit(now) <= 0 or tracker.is_silent(now):
                continue
            if tracker.suspects and not demand.isolated:
                continue
            option = self._weigh_one(endpoint, tracker, demand, depths)
            if tracker.health.is_on_trial(now) and option.room < 1:
                continue
            options.append(option)
        return options

    def _weigh_one(
        self,
        endpoint: Endpoint,
        tracker: EndpointTracker,
        demand: Demand,
        depths: dict[str, int],
    ) -> _Option:
        load = tracker.estimate_load(endpoint)
        limit = tracker.current_limit(self.now())
        blocks = len(demand.prefix_hashes)
        warm = depths.get(tracker.name, 0) / blocks if blocks else 0.0
        tokens_read = demand.prompt_tokens * (1 - warm)
        speed = tracker.speed.speed
        ahead = max(0.0, load + 1 - limit)
        wait = ahead * tracker.service_seconds / max(1.0, limit)
        # Prompts of others are read between the tokens of this one, so the
        # busier endpoint is also the slower one.
        crowd = 0.85 + 0.3 * min(1.0, load / max(1.0, limit))
        first = wait + (tokens_read * speed.prefill + speed.token) * crowd
        finish = first + demand.max_tokens * speed.token * crowd
        return _Option(
            endpoint=endpoint,
            tracker=tracker,
            load=load,
            room=limit - load,
            tokens_read=tokens_read,
            estimate=Estimate(
                first_token=first, finish=finish, run=finish - wait
            ),
        )

    def _pick(self, options: list[_Option], demand: Demand) -> _Option | None:
        """Return the best of a random sample and of the warm endpoints.

        Several VMs see the same late reports. If each took the endpoint
        that looks best, all would (Mitzenmacher, "How useful is old
        information?", 2000); a sample of a few spreads them and is nearly
        as good ("The power of two choices", 2001).
        """
        if not options:
            return None
        if demand.isolated:
            return min(options, key=lambda option: option.load)
        now = self.now()
        for option in options:
            # Only work that may be run again is risked on a trial.
            if demand.repeatable and option.tracker.is_due_for_trial(now):
                return option
        sample = options
        if len(options) > self.policy.choices:
            warm = sorted(options, key=lambda option: option.tokens_read)
            sample = self._rng.sample(options, self.policy.choices)
            if warm[0].tokens_read < demand.prompt_tokens:
                sample.append(warm[0])
        with_room = [option for option in sample if option.room >= 1]
        if not with_room:
            with_room = [option for option in options if option.room >= 1]
        return min(
            with_room or sample,
            key=lambda option: (
                option.estimate.first_token + option.estimate.finish,
                self._rng.random(),
            ),
        )

    def _find_offers(self, demand: Demand) -> list[Offer]:
        if len(demand.hops) >= MAX_HOPS:
            return []
        speed = self._typical_speed(demand.service)
        return self._elsewhere.find_offers(demand, speed)

    def _find_better_offer(
        self, demand: Demand, best: _Option | None, wait: float
    ) -> Offer | None:
        """Return another data centre's offer if going there pays."""
        if best is not None and best.room >= 1:
            return None
        offers = self._find_offers(demand)
        estimate = best.estimate if best else self._estimate_here(demand)
        if estimate is None:
            # There is no endpoint at home: the request may as well wait
            # there, in the order of its rank.
            return next((o for o in offers if not o.refused), None)
        here = estimate.finish + wait
        margin = self.policy.spill_margin_seconds
        for offer in offers:
            if offer.room >= 1 and offer.finish + margin < here:
                return offer
        return None

    def _estimate_here(self, demand: Demand) -> Estimate | None:
        options = self._weigh(demand)
        if not options:
            return None
        return min(
            (option.estimate for option in options), key=lambda e: e.finish
        )

    def _choose_for_other(
        self, demand: Demand, options: list[_Option]
    ) -> Choice:
        """Take a request of another data centre, or refuse it at once.

        It is never passed on: two data centres that each think that the
        other has room would throw it back and forth.
        """
        if not options:
            return self._explain(demand)
        if not self.can_start(demand):
            return Nowhere(message="no room beyond that of own callers")
        best = self._pick(options, demand)
        assert best is not None
        return _to_endpoint(best)

    def _can_take_for_other(
        self, demand: Demand, options: list[_Option]
    ) -> bool:
        room = sum(max(0.0, option.room) for option in options)
        slots = sum(option.endpoint.slots for option in options)
        has_room = any(option.room >= 1 for option in options)
        if demand.displaced:
            # It has no other place to run. Own callers of its rank still
            # go before it in the line.
            return has_room
        reserve = reserve_of(slots, self.policy.spill_reserve)
        return has_room and room >= 1 + reserve / 2

    def _explain(self, demand: Demand) -> Nowhere:
        if len(demand.hops) >= MAX_HOPS:
            return Nowhere(message="passed on too often", loop=True)
        if self._find_offers(demand) or demand.excluded_endpoints:
            return Nowhere(message="no endpoint has room or answers now")
        known = self._endpoints.candidates(demand.service)
        if known and self._vms.identity.region in demand.regions:
            return Nowhere(message="no endpoint answers as it should now")
        return Nowhere(
            message=f"no live endpoint of {demand.service!r} in the "
            "regions that the client's residency and the service allow: "
            f"{sorted(demand.regions)}",
            no_endpoint=True,
        )

    def _learn_first_token(self, attempt: Attempt, seconds: float) -> None:
        tracker = attempt.tracker
        tracker.got_first_token(attempt.number)
        tracker.limit.learn(
            seconds=seconds,
            expected=attempt.expected_first,
            load=attempt.load,
            now=self.now(),
        )
        if attempt.load < tracker.limit.value:
            tracker.speed.learn_first_token(
                seconds=seconds,
                expected=attempt.expected_first,
                tokens_read=attempt.tokens_read,
            )
            service = attempt.endpoint.service
            tracker.compare(
                self._typical_slowness(service),
                self._typical_speed(service),
                self.now(),
            )

    def _learn_finish(self, attempt: Attempt, facts: AttemptFacts) -> None:
        now = self.now()
        tracker = attempt.tracker
        tracker.got_first_token(attempt.number)
        tracker.own.change(-1, now)
        tracker.suspects -= attempt.demand.isolated
        if facts.outcome is AttemptOutcome.COMPLETED:
            self._learn_completion(attempt, facts)
            tracker.health.note_success(now)
        elif facts.outcome in _FAILURES:
            tracker.health.note_failure(now)
        for listener in self._listeners:
            listener(attempt.endpoint.service)

    def _learn_completion(self, attempt: Attempt, facts: AttemptFacts) -> None:
        tracker = attempt.tracker
        change = facts.total_seconds - tracker.service_seconds
        tracker.service_seconds += _SERVICE_WEIGHT * change
        if facts.first_token_seconds is not None:
            tokens = facts.tokens or attempt.demand.max_tokens
            tracker.speed.learn_tokens(
                seconds=facts.total_seconds - facts.first_token_seconds,
                tokens=tokens - 1,
            )

    def _depths(self, demand: Demand) -> dict[str, int]:
        return self._placements.depths(demand.prefix_hashes)

    def _track(self, endpoint: Endpoint) -> EndpointTracker:
        known = self._trackers_by_id.get(endpoint.endpoint_id)
        if known is not None and known.incarnation == endpoint.incarnation:
            return known
        tracker = EndpointTracker(
            endpoint=endpoint,
            rng=self._rng,
            slow_start_seconds=self.policy.slow_start_seconds,
            start_speed=self._typical_speed(endpoint.service),
        )
        if known is not None:
            # The same endpoint started again: its caches are empty.
            tracker.health.start_slowly(self.now())
        self._trackers_by_id[endpoint.endpoint_id] = tracker
        return tracker

    def _typical_slowness(self, service: str) -> float:
        values = [
            self._track(endpoint).speed.slowness
            for endpoint in self._endpoints.candidates(service)
        ]
        return statistics.median(values) if values else 1.0

    def _typical_speed(self, service: str) -> Speed:
        """Return the median speed of a service's endpoints."""
        now = self.now()
        known = self._speeds_by_service.get(service)
        if known is not None and now - known[0] < _SPEED_SECONDS:
            return known[1]
        speeds = [
            self._trackers_by_id[endpoint.endpoint_id].speed.speed
            for endpoint in self._endpoints.candidates(service)
            if endpoint.endpoint_id in self._trackers_by_id
        ]
        speed = Speed()
        if speeds:
            speed = Speed(
                prefill=statistics.median(s.prefill for s in speeds),
                token=statistics.median(s.token for s in speeds),
            )
        elif known is not None:
            speed = known[1]
        self._speeds_by_service[service] = (now, speed)
        return speed


def _with_adapter(
    endpoints: list[Endpoint], adapter: str | None
) -> list[Endpoint]:
    """Return those that have the adapter loaded, or all if none has."""
    fitting = [e for e in endpoints if e.role != "prefill"]
    if adapter is None:
        return fitting
    loaded = [e for e in fitting if adapter in e.adapters]
    return loaded or fitting


def _to_endpoint(option: _Option) -> ToEndpoint:
    return ToEndpoint(
        endpoint=option.endpoint,
        estimated_first_token_seconds=option.estimate.first_token,
        estimated_finish_seconds=option.estimate.finish,
    )

"""Choose where a request goes."""

from collections.abc import Callable
import itertools
import random

from burdockdrum.endpoints import Endpoint
from burdockdrum.endpoints import EndpointRegistry
from burdockdrum.ports import Clock
from burdockdrum.routing.attempts import Attempt
from burdockdrum.routing.elsewhere import Elsewhere
from burdockdrum.routing.elsewhere import MAX_HOPS
from burdockdrum.routing.elsewhere import Offer
from burdockdrum.routing.elsewhere import reserve_of
from burdockdrum.routing.fleet import Fleet
from burdockdrum.routing.fleet import Option
from burdockdrum.routing.model import AttemptFacts
from burdockdrum.routing.model import AttemptOutcome
from burdockdrum.routing.model import CapacityShare
from burdockdrum.routing.model import Choice
from burdockdrum.routing.model import Demand
from burdockdrum.routing.model import Estimate
from burdockdrum.routing.model import Nowhere
from burdockdrum.routing.model import ToEndpoint
from burdockdrum.settings import PolicySettings
from burdockdrum.vms import VmDirectory
from burdockdrum.vms import VmView

_FAILURES = (
    AttemptOutcome.FAILED,
    AttemptOutcome.REFUSED,
    AttemptOutcome.UNREACHABLE,
    AttemptOutcome.TIMED_OUT,
)
_SERVICE_WEIGHT = 0.1


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
        self._fleet = Fleet(
            clock=clock,
            rng=rng,
            endpoints=endpoints,
            region=vms.identity.region,
            policy=self.policy,
        )
        self._elsewhere = Elsewhere(
            clock=clock,
            rng=rng,
            vms=vms,
            wide_area_seconds=self.policy.wide_area_seconds,
            spill_reserve=self.policy.spill_reserve,
        )
        self._numbers = itertools.count()
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
        options = self._fleet.weigh(demand)
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
        options = self._fleet.weigh(demand)
        with_room = [option for option in options if option.room >= 1]
        if demand.hops:
            return self._can_take_for_other(demand, options)
        if with_room:
            return True
        return self._find_better_offer(demand, None, wait) is not None

    def estimate(self, demand: Demand) -> Estimate | None:
        """Return the best that a request may expect once it starts."""
        options = self._fleet.weigh(demand)
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
        tracker = self._fleet.track(endpoint)
        loads = self._fleet.estimate_loads([endpoint])
        option = self._fleet.weigh_one(
            endpoint,
            tracker,
            demand,
            self._fleet.depths(demand),
            loads[endpoint.endpoint_id],
        )
        typical = self._fleet.typical_speed(endpoint.service)
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
        self._fleet.placements.remember(demand.prefix_hashes, tracker.name)
        return attempt

    def share(self, service: str) -> CapacityShare:
        """Return this VM's part of what its data centre can run."""
        now = self.now()
        limit = own = total = 0.0
        candidates = self._endpoints.candidates(service)
        loads = self._fleet.estimate_loads(candidates)
        for endpoint in candidates:
            tracker = self._fleet.track(endpoint)
            limit += tracker.current_limit(now)
            own += tracker.own.count
            total += loads[endpoint.endpoint_id]
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

    def _pick(self, options: list[Option], demand: Demand) -> Option | None:
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
        typical = self._fleet.typical_speed(demand.service)
        for option in options:
            # Only work that may be run again is risked on a trial.
            due = option.tracker.is_due_for_trial(typical, now)
            if due and demand.repeatable:
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
        speed = self._fleet.typical_speed(demand.service)
        return self._elsewhere.find_offers(demand, speed)

    def _find_better_offer(
        self, demand: Demand, best: Option | None, wait: float
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
        options = self._fleet.weigh(demand)
        if not options:
            return None
        return min(
            (option.estimate for option in options), key=lambda e: e.finish
        )

    def _choose_for_other(
        self, demand: Demand, options: list[Option]
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
        self, demand: Demand, options: list[Option]
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
                self._fleet.typical_slowness(service),
                self._fleet.typical_speed(service),
                self.now(),
            )

    def _learn_finish(self, attempt: Attempt, facts: AttemptFacts) -> None:
        now = self.now()
        tracker = attempt.tracker
        # Whoever gave up after its first token was overdue, waited in vain:
        # without this each caller's deadline would bring a new burst.
        in_vain = tracker.is_overdue(attempt.number, now)
        tracker.got_first_token(attempt.number)
        tracker.own.change(-1, now)
        tracker.suspects -= attempt.demand.isolated
        if facts.outcome is AttemptOutcome.COMPLETED:
            self._learn_completion(attempt, facts)
            tracker.health.note_success(now)
        elif in_vain:
            tracker.health.eject(now)
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

    def room(self, service: str) -> float:
        """Return how many requests could start at once here."""
        return self._fleet.room(service)

    def mean_service_seconds(self, service: str) -> float:
        """Return how long a request has run lately."""
        return self._fleet.mean_service_seconds(service)


def _to_endpoint(option: Option) -> ToEndpoint:
    return ToEndpoint(
        endpoint=option.endpoint,
        estimated_first_token_seconds=option.estimate.first_token,
        estimated_finish_seconds=option.estimate.finish,
    )

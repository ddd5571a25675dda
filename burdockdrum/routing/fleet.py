"""The endpoints of this data centre as this VM has come to know them."""

from dataclasses import dataclass
import math
import random
import statistics

from burdockdrum.endpoints import Endpoint
from burdockdrum.endpoints import EndpointRegistry
from burdockdrum.ports import Clock
from burdockdrum.routing.model import Demand
from burdockdrum.routing.model import Estimate
from burdockdrum.routing.placements import PlacementMemory
from burdockdrum.routing.speed import Speed
from burdockdrum.routing.tracking import EndpointTracker
from burdockdrum.settings import PolicySettings

# The age of a report at which a third of it is still believed.
TRUST_SECONDS = 1.0
# Weighing costs about 12 µs an endpoint: 160 would cost 2 ms a request.
MAX_WEIGHED = 24
MAX_WARM = 3
_SPEED_SECONDS = 1.0


@dataclass(frozen=True, kw_only=True)
class Option:
    """An endpoint weighed for one request; ``room`` is in requests."""

    endpoint: Endpoint
    tracker: EndpointTracker
    load: float
    room: float
    tokens_read: float
    estimate: Estimate


class Fleet:
    """Trackers by endpoint, and requests weighed against them."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        endpoints: EndpointRegistry,
        region: str,
        policy: PolicySettings,
    ) -> None:
        """Create a fleet of which nothing is known."""
        self.placements = PlacementMemory()
        self._clock = clock
        self._rng = rng
        self._endpoints = endpoints
        self._region = region
        self._policy = policy
        self._trackers_by_id: dict[str, EndpointTracker] = {}
        self._speeds_by_service: dict[str, tuple[float, Speed]] = {}

    def room(self, service: str) -> float:
        """Return how many requests could start at once here."""
        total = 0.0
        now = self._clock.monotonic()
        candidates = self._endpoints.candidates(service)
        loads = self.estimate_loads(candidates)
        for endpoint in candidates:
            tracker = self.track(endpoint)
            if not tracker.is_silent(now):
                load = loads[endpoint.endpoint_id]
                total += max(0.0, tracker.current_limit(now) - load)
        return total

    def mean_service_seconds(self, service: str) -> float:
        """Return how long a request has run lately."""
        times = [
            self.track(endpoint).service_seconds
            for endpoint in self._endpoints.candidates(service)
        ]
        return statistics.fmean(times) if times else 1.0

    def weigh(self, demand: Demand) -> list[Option]:
        """Return the endpoints here that may be sent the request."""
        if self._region not in demand.regions:
            return []
        now = self._clock.monotonic()
        options = []
        depths = self.depths(demand)
        candidates = self._endpoints.candidates(demand.service)
        fitting = _with_adapter(candidates, demand.adapter)
        fitting = self._sample(fitting, depths)
        loads = self.estimate_loads(fitting)
        for endpoint in fitting:
            if endpoint.endpoint_id in demand.excluded_endpoints:
                continue
            tracker = self.track(endpoint)
            if tracker.current_limit(now) <= 0 or tracker.is_silent(now):
                continue
            if tracker.suspects and not demand.isolated:
                continue
            option = self.weigh_one(
                endpoint,
                tracker,
                demand,
                depths,
                loads[endpoint.endpoint_id],
            )
            if tracker.health.is_on_trial(now) and option.room < 1:
                continue
            options.append(option)
        return options

    def _sample(
        self, endpoints: list[Endpoint], depths: dict[str, int]
    ) -> list[Endpoint]:
        """Return at most so many endpoints that weighing them stays cheap.

        They are drawn at random, and those that were last sent the most of
        the prompt are added.
        """
        if len(endpoints) <= MAX_WEIGHED:
            return endpoints
        chosen = {
            endpoint.endpoint_id: endpoint
            for endpoint in self._rng.sample(endpoints, MAX_WEIGHED)
        }
        deepest = sorted(depths, key=lambda name: -depths[name])
        warm = {name.rpartition("@")[0] for name in deepest[:MAX_WARM]}
        for endpoint in endpoints:
            if endpoint.endpoint_id in warm:
                chosen[endpoint.endpoint_id] = endpoint
        return list(chosen.values())

    def weigh_one(
        self,
        endpoint: Endpoint,
        tracker: EndpointTracker,
        demand: Demand,
        depths: dict[str, int],
        load: float,
    ) -> Option:
        limit = tracker.current_limit(self._clock.monotonic())
        blocks = len(demand.prefix_hashes)
        depth = self._depth(endpoint, tracker, demand, depths)
        warm = depth / blocks if blocks else 0.0
        tokens_read = demand.prompt_tokens * (1 - warm)
        speed = tracker.speed.speed
        ahead = max(0.0, load + 1 - limit)
        wait = ahead * tracker.service_seconds / max(1.0, limit)
        # Prompts of others are read between the tokens of this one, so the
        # busier endpoint is also the slower one.
        crowd = 0.85 + 0.3 * min(1.0, load / max(1.0, limit))
        first = wait + (tokens_read * speed.prefill + speed.token) * crowd
        finish = first + demand.max_tokens * speed.token * crowd
        return Option(
            endpoint=endpoint,
            tracker=tracker,
            load=load,
            room=limit - load,
            tokens_read=tokens_read,
            estimate=Estimate(
                first_token=first, finish=finish, run=finish - wait
            ),
        )

    def estimate_loads(self, endpoints: list[Endpoint]) -> dict[str, float]:
        """Return the requests at each endpoint, all VMs' together.

        Own requests are counted as they are. Those of others are as old as
        the report; the older it is, the more they are taken to be what
        others have on average. Taken at its word, an old report that shows
        one endpoint idle sends it the next requests of every VM.
        """
        now = self._clock.monotonic()
        others = {
            endpoint.endpoint_id: self.track(endpoint).estimate_others(
                endpoint
            )
            for endpoint in endpoints
        }
        mean = sum(others.values()) / max(1, len(others))
        loads = {}
        for endpoint in endpoints:
            age = now - endpoint.reported_at
            trust = math.exp(-age / TRUST_SECONDS)
            name = endpoint.endpoint_id
            expected = trust * others[name] + (1 - trust) * mean
            loads[name] = self.track(endpoint).own.count + expected
        return loads

    def _depth(
        self,
        endpoint: Endpoint,
        tracker: EndpointTracker,
        demand: Demand,
        depths: dict[str, int],
    ) -> int:
        """Return how many leading blocks of a prompt it may hold.

        What the engine tells is late and has gaps, but knows what was
        dropped; where it tells nothing, own placements have to do.
        """
        cache = self._endpoints.cache_of(endpoint.endpoint_id)
        if len(cache):
            return cache.count_leading(demand.prefix_hashes)
        return depths.get(tracker.name, 0)

    def depths(self, demand: Demand) -> dict[str, int]:
        return self.placements.depths(demand.prefix_hashes)

    def track(self, endpoint: Endpoint) -> EndpointTracker:
        known = self._trackers_by_id.get(endpoint.endpoint_id)
        if known is not None and known.incarnation == endpoint.incarnation:
            return known
        tracker = EndpointTracker(
            endpoint=endpoint,
            rng=self._rng,
            slow_start_seconds=self._policy.slow_start_seconds,
            start_speed=self.typical_speed(endpoint.service),
        )
        if known is not None:
            # The same endpoint started again: its caches are empty.
            tracker.health.start_slowly(self._clock.monotonic())
        self._trackers_by_id[endpoint.endpoint_id] = tracker
        return tracker

    def typical_speed(self, service: str) -> Speed:
        """Return the median speed of a service's endpoints."""
        now = self._clock.monotonic()
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

    def typical_slowness(self, service: str) -> float:
        values = [
            self.track(endpoint).speed.slowness
            for endpoint in self._endpoints.candidates(service)
        ]
        return statistics.median(values) if values else 1.0


def _with_adapter(
    endpoints: list[Endpoint], adapter: str | None
) -> list[Endpoint]:
    """Return those that have the adapter loaded, or all if none has."""
    fitting = [e for e in endpoints if e.role != "prefill"]
    if adapter is None:
        return fitting
    loaded = [e for e in fitting if adapter in e.adapters]
    return loaded or fitting

"""Estimates for the endpoints of this data centre.

For each request the eligible endpoints are evaluated: their load, free
capacity, cached prefix and the resulting time to first token and to the end.
"""

import collections
from dataclasses import dataclass
import math
import random
import statistics

from burdockdrum.endpoints import Endpoint
from burdockdrum.endpoints import EndpointRegistry
from burdockdrum.ports import Clock
from burdockdrum.routing.endpoint_tracker import EndpointTracker
from burdockdrum.routing.model import Estimate
from burdockdrum.routing.model import RoutingRequest
from burdockdrum.routing.prefix_placements import PrefixPlacements
from burdockdrum.routing.speed import Speed
from burdockdrum.settings import PolicySettings

# Time constant of the exponential decay of a report's weight.
REPORT_DECAY_SECONDS = 1.0
# Bounds the cost of evaluation per request, whatever the number of endpoints.
MAX_EVALUATED_ENDPOINTS = 24
MAX_PREFIX_MATCHES = 3
# More than a data centre has endpoints at a time; those that were not tracked
# for longest are forgotten.
MAX_TRACKERS = 4096
_SPEED_CACHE_SECONDS = 1.0


@dataclass(frozen=True, kw_only=True)
class Option:
    """An endpoint evaluated for one request.

    ``load`` and ``free_capacity`` are in requests.
    """

    endpoint: Endpoint
    tracker: EndpointTracker
    load: float
    free_capacity: float
    uncached_tokens: float
    estimate: Estimate


class Fleet:
    """The tracked endpoints of this data centre."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        endpoints: EndpointRegistry,
        region: str,
        policy: PolicySettings,
    ) -> None:
        """Create a fleet without trackers."""
        self.placements = PrefixPlacements()
        self._clock = clock
        self._rng = rng
        self._endpoints = endpoints
        self._region = region
        self._policy = policy
        # The endpoints that were tracked last come last.
        self._trackers_by_id: collections.OrderedDict[str, EndpointTracker] = (
            collections.OrderedDict()
        )
        self._speeds_by_service: dict[str, tuple[float, Speed]] = {}

    def free_capacity(self, service: str) -> float:
        """Return how many more requests the local endpoints can run now."""
        total = 0.0
        now = self._clock.monotonic()
        candidates = self._endpoints.candidates(service)
        loads = self.estimate_loads(candidates)
        for endpoint in candidates:
            tracker = self.track(endpoint)
            if not tracker.is_unresponsive(now):
                load = loads[endpoint.endpoint_id]
                total += max(0.0, tracker.current_limit(now) - load)
        return total

    def mean_service_seconds(self, service: str) -> float:
        """Return the mean time in seconds that a request occupies a slot."""
        times = [
            self.track(endpoint).service_seconds
            for endpoint in self._endpoints.candidates(service)
        ]
        return statistics.fmean(times) if times else 1.0

    def evaluate(self, request: RoutingRequest) -> list[Option]:
        """Return the local endpoints that are eligible for a request."""
        if self._region not in request.regions:
            return []
        now = self._clock.monotonic()
        options = []
        depths = self.depths(request)
        candidates = self._endpoints.candidates(request.service)
        fitting = _with_adapter(candidates, request.adapter)
        fitting = [
            endpoint
            for endpoint in fitting
            if request.software_version in (None, endpoint.software_version)
        ]
        fitting = self._sample(fitting, depths)
        loads = self.estimate_loads(fitting)
        for endpoint in fitting:
            if endpoint.endpoint_id in request.excluded_endpoints:
                continue
            tracker = self.track(endpoint)
            if tracker.current_limit(now) <= 0 or tracker.is_unresponsive(now):
                continue
            if tracker.suspects and not request.isolated:
                continue
            option = self.evaluate_endpoint(
                endpoint,
                tracker,
                request,
                depths,
                loads[endpoint.endpoint_id],
            )
            if tracker.health.is_half_open(now) and option.free_capacity < 1:
                continue
            options.append(option)
        return options

    def _sample(
        self, endpoints: list[Endpoint], depths: dict[str, int]
    ) -> list[Endpoint]:
        """Return a bounded number of endpoints to evaluate.

        A random sample, plus the endpoints that were last sent the longest
        prefix of the prompt.
        """
        if len(endpoints) <= MAX_EVALUATED_ENDPOINTS:
            return endpoints
        chosen = {
            endpoint.endpoint_id: endpoint
            for endpoint in self._rng.sample(
                endpoints, MAX_EVALUATED_ENDPOINTS
            )
        }
        deepest = sorted(depths, key=lambda name: -depths[name])
        matching = {
            name.rpartition("@")[0] for name in deepest[:MAX_PREFIX_MATCHES]
        }
        for endpoint in endpoints:
            if endpoint.endpoint_id in matching:
                chosen[endpoint.endpoint_id] = endpoint
        return list(chosen.values())

    def evaluate_endpoint(
        self,
        endpoint: Endpoint,
        tracker: EndpointTracker,
        request: RoutingRequest,
        depths: dict[str, int],
        load: float,
    ) -> Option:
        limit = tracker.current_limit(self._clock.monotonic())
        blocks = len(request.prefix_hashes)
        depth = self._count_cached_blocks(endpoint, tracker, request, depths)
        cached_fraction = depth / blocks if blocks else 0.0
        uncached_tokens = request.prompt_tokens * (1 - cached_fraction)
        speed = tracker.speed.speed
        ahead = max(0.0, load + 1 - limit)
        wait = ahead * tracker.service_seconds / max(1.0, limit)
        # Prefill of other requests is interleaved with decoding, so a busy
        # endpoint is also slower.
        contention = 0.85 + 0.3 * min(1.0, load / max(1.0, limit))
        first = (
            wait
            + (uncached_tokens * speed.prefill_seconds + speed.decode_seconds)
            * contention
        )
        finish = first + request.max_tokens * speed.decode_seconds * contention
        return Option(
            endpoint=endpoint,
            tracker=tracker,
            load=load,
            free_capacity=limit - load,
            uncached_tokens=uncached_tokens,
            estimate=Estimate(
                first_token=first, finish=finish, run=finish - wait
            ),
        )

    def estimate_loads(self, endpoints: list[Endpoint]) -> dict[str, float]:
        """Return the estimated requests at each endpoint, of all VMs.

        This VM's requests are counted exactly. Those of other VMs come from
        the last report, which is blended with the mean over the endpoints
        as it ages. Without the blending, all VMs would send their requests
        to the endpoint that an old report shows as idle.
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
            trust = math.exp(-age / REPORT_DECAY_SECONDS)
            name = endpoint.endpoint_id
            expected = trust * others[name] + (1 - trust) * mean
            loads[name] = self.track(endpoint).local_load.count + expected
        return loads

    def _count_cached_blocks(
        self,
        endpoint: Endpoint,
        tracker: EndpointTracker,
        request: RoutingRequest,
        depths: dict[str, int],
    ) -> int:
        """Return how many leading blocks of a prompt are probably cached.

        Cache events of the engine are delayed and incomplete, but include
        evictions, so they are preferred to this VM's own placements.
        """
        cache = self._endpoints.get_cache(endpoint.endpoint_id)
        if len(cache):
            return cache.count_leading(request.prefix_hashes)
        return depths.get(tracker.name, 0)

    def depths(self, request: RoutingRequest) -> dict[str, int]:
        return self.placements.depths(request.prefix_hashes)

    def track(self, endpoint: Endpoint) -> EndpointTracker:
        known = self._trackers_by_id.get(endpoint.endpoint_id)
        if known is not None and known.incarnation == endpoint.incarnation:
            self._trackers_by_id.move_to_end(endpoint.endpoint_id)
            return known
        tracker = EndpointTracker(
            endpoint=endpoint,
            rng=self._rng,
            slow_start_seconds=self._policy.slow_start_seconds,
            start_speed=self.typical_speed(endpoint.service),
        )
        if known is not None:
            # The endpoint has restarted: its caches are empty.
            tracker.health.begin_slow_start(self._clock.monotonic())
        self._trackers_by_id[endpoint.endpoint_id] = tracker
        self._trackers_by_id.move_to_end(endpoint.endpoint_id)
        if len(self._trackers_by_id) > MAX_TRACKERS:
            self._trackers_by_id.popitem(last=False)
        return tracker

    def typical_speed(self, service: str) -> Speed:
        """Return the median speed of a service's endpoints."""
        now = self._clock.monotonic()
        known = self._speeds_by_service.get(service)
        if known is not None and now - known[0] < _SPEED_CACHE_SECONDS:
            return known[1]
        speeds = [
            self._trackers_by_id[endpoint.endpoint_id].speed.speed
            for endpoint in self._endpoints.candidates(service)
            if endpoint.endpoint_id in self._trackers_by_id
        ]
        speed = Speed()
        if speeds:
            speed = Speed(
                prefill_seconds=statistics.median(
                    s.prefill_seconds for s in speeds
                ),
                decode_seconds=statistics.median(
                    s.decode_seconds for s in speeds
                ),
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
    """Return the endpoints with the adapter loaded, or all if none has it.

    Endpoints that only do prefill are left out.
    """
    fitting = [e for e in endpoints if e.role != "prefill"]
    if adapter is None:
        return fitting
    loaded = [e for e in fitting if adapter in e.adapters]
    return loaded or fitting

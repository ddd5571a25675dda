"""Choose where a request goes."""

import random

from burdockdrum.endpoints import Endpoint
from burdockdrum.endpoints import EndpointRegistry
from burdockdrum.ports import Clock
from burdockdrum.routing.model import AttemptFacts
from burdockdrum.routing.model import AttemptOutcome
from burdockdrum.routing.model import Choice
from burdockdrum.routing.model import Demand
from burdockdrum.routing.model import Nowhere
from burdockdrum.routing.model import ToDataCentre
from burdockdrum.routing.model import ToEndpoint
from burdockdrum.vms import VmDirectory

MAX_HOPS = 2


class Attempt:
    """One request at one endpoint, for the router to learn from."""

    def __init__(
        self, *, router: "Router", endpoint: Endpoint, started_at: float
    ) -> None:
        """Note that the attempt has begun."""
        self.endpoint = endpoint
        self._router = router
        self._started_at = started_at
        self._first_token_at: float | None = None
        self._finished = False

    def note_first_token(self) -> None:
        """Note that the first part of the answer has come."""
        if self._first_token_at is None:
            self._first_token_at = self._router.now()

    def finish(self, outcome: AttemptOutcome, *, tokens: int = 0) -> None:
        """Note how the attempt ended; later calls change nothing."""
        if self._finished:
            return
        self._finished = True
        first = None
        if self._first_token_at is not None:
            first = self._first_token_at - self._started_at
        facts = AttemptFacts(
            outcome=outcome,
            first_token_seconds=first,
            total_seconds=self._router.now() - self._started_at,
            tokens=tokens,
        )
        self._router.learn(self.endpoint, facts)


class Router:
    """Choose among the endpoints here and the data centres elsewhere."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        endpoints: EndpointRegistry,
        vms: VmDirectory,
    ) -> None:
        """Create a router that has learned nothing."""
        self._clock = clock
        self._rng = rng
        self._endpoints = endpoints
        self._vms = vms
        self._in_flight_by_endpoint: dict[str, int] = {}

    def now(self) -> float:
        """Return this VM's monotonic time in seconds."""
        return self._clock.monotonic()

    def choose(self, demand: Demand) -> Choice:
        """Say where a request should go now."""
        if self._vms.identity.region in demand.regions:
            candidates = [
                endpoint
                for endpoint in self._endpoints.candidates(demand.service)
                if endpoint.endpoint_id not in demand.excluded_endpoints
            ]
            if candidates:
                return ToEndpoint(endpoint=self._rng.choice(candidates))
        return self._choose_elsewhere(demand)

    def begin(self, endpoint: Endpoint, demand: Demand) -> Attempt:
        """Count an attempt that starts now."""
        name = endpoint.endpoint_id
        count = self._in_flight_by_endpoint.get(name, 0)
        self._in_flight_by_endpoint[name] = count + 1
        return Attempt(router=self, endpoint=endpoint, started_at=self.now())

    def learn(self, endpoint: Endpoint, facts: AttemptFacts) -> None:
        """Take in how an attempt ended."""
        self._in_flight_by_endpoint[endpoint.endpoint_id] -= 1

    def _choose_elsewhere(self, demand: Demand) -> Choice:
        if len(demand.hops) >= MAX_HOPS:
            return Nowhere(message="passed on too often", loop=True)
        own = self._vms.identity.data_centre
        views = [
            view
            for view in self._vms.live_vms()[1:]
            if view.identity.region in demand.regions
            and view.identity.data_centre != own
            and view.identity.data_centre not in demand.hops
            and view.identity.data_centre not in demand.excluded_data_centres
            and not view.draining
            and any(s.service == demand.service for s in view.services)
        ]
        if not views:
            return Nowhere(
                message=f"no live endpoint of {demand.service!r} in the "
                "regions that the client's residency and the service allow: "
                f"{sorted(demand.regions)}",
                no_endpoint=True,
            )
        chosen = self._rng.choice(views).identity.data_centre
        entries = [
            view.identity
            for view in views
            if view.identity.data_centre == chosen
        ]
        self._rng.shuffle(entries)
        return ToDataCentre(data_centre=chosen, entries=tuple(entries))

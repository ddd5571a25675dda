"""The product's policy and the baselines to compare it with."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import itertools
from typing import Any

import msgspec

from burdockdrum.admission import AdmissionControl
from burdockdrum.admission import Permit
from burdockdrum.endpoints import Endpoint
from burdockdrum.routing import Choice
from burdockdrum.routing import Router
from burdockdrum.routing import RoutingRequest
from burdockdrum.routing import ToDataCentre
from burdockdrum.routing import ToEndpoint
from burdockdrum.routing import Unroutable
from burdockdrum.settings import PolicySettings
from scripts.experiment.workload import User


class UnlimitedAdmission:
    """Admission control of the baselines, without a limit."""

    def __init__(self, **_: Any) -> None:
        """Accept and ignore the arguments of AdmissionControl."""
        self.running = 0

    async def admit(self, client_id: str, request: RoutingRequest) -> Permit:
        """Return a permit."""
        self.running += 1
        return Permit(admission=self)  # type: ignore[arg-type]

    def release(self, reservation: Any, tokens: int) -> None:
        """Release the permit of a completed request."""
        self.running -= 1

    async def run(self) -> None:
        """Do nothing."""

    def queue_seconds(self, service: str) -> float:
        """Return 0, as requests never wait."""
        return 0.0


class Baseline(Router):
    """Base class of routers that use the latest reports as they are."""

    def __init__(self, **options: Any) -> None:
        """Create a router."""
        super().__init__(**options)
        self._turns = itertools.count()

    def choose(self, request: RoutingRequest) -> Choice:
        """Select an endpoint or another data centre for a request."""
        here = self._local_endpoints(request)
        if here:
            return ToEndpoint(endpoint=self.pick(here))
        if request.hops:
            return Unroutable(message="no endpoint")
        return self._forward_to_any(request)

    def free_capacity(self, service: str) -> float:
        """Return the free slots according to the latest reports."""
        return sum(
            max(0, e.slots - e.running - e.waiting)
            for e in self._endpoints.candidates(service)
        )

    def pick(self, endpoints: list[Endpoint]) -> Endpoint:
        """Select one of the local endpoints."""
        return self._rng.choice(endpoints)

    def _local_endpoints(self, request: RoutingRequest) -> list[Endpoint]:
        return [
            endpoint
            for endpoint in self._endpoints.candidates(request.service)
            if endpoint.endpoint_id not in request.excluded_endpoints
        ]

    def _remote_free_slots(self, request: RoutingRequest) -> dict[str, int]:
        own = self._vms.identity.data_centre
        return {
            view.identity.data_centre: summary.room
            for view in self._vms.live_vms()[1:]
            for summary in view.services
            if summary.service == request.service
            and view.identity.data_centre != own
            and view.identity.region in request.regions
            and view.identity.data_centre not in request.excluded_data_centres
        }

    def _forward_to_any(self, request: RoutingRequest) -> Choice:
        free_slots = self._remote_free_slots(request)
        if not free_slots:
            return Unroutable(message="no data centre")
        return self._forward_to(self._rng.choice(sorted(free_slots)))

    def _forward_to(self, data_centre: str) -> ToDataCentre:
        entries = [
            view.identity
            for view in self._vms.live_vms()[1:]
            if view.identity.data_centre == data_centre
        ]
        self._rng.shuffle(entries)
        return ToDataCentre(data_centre=data_centre, entries=tuple(entries))


class RandomRouter(Baseline):
    """Selects a random local endpoint; forwards only if there is none."""


class RoundRobinRouter(Baseline):
    """Selects local endpoints in rotation; forwards if there is none."""

    def pick(self, endpoints: list[Endpoint]) -> Endpoint:
        """Select the next endpoint in rotation."""
        return endpoints[next(self._turns) % len(endpoints)]


class LeastLoadRouter(Baseline):
    """Selects by least reported load; forwards without free capacity."""

    def choose(self, request: RoutingRequest) -> Choice:
        """Select an endpoint or another data centre for a request."""
        here = self._local_endpoints(request)
        full = all(e.running + e.waiting >= e.slots for e in here)
        free_slots = self._remote_free_slots(request)
        if (
            not request.hops
            and full
            and max(free_slots.values(), default=0) > 0
        ):
            return self._forward_to(
                max(free_slots, key=lambda name: free_slots[name])
            )
        return super().choose(request)

    def pick(self, endpoints: list[Endpoint]) -> Endpoint:
        """Select the endpoint with the least reported load."""
        return min(
            endpoints,
            key=lambda e: ((e.running + e.waiting) / e.slots, self._tie()),
        )

    def _tie(self) -> float:
        return self._rng.random()


class LocalRouter(LeastLoadRouter):
    """Selects by least reported load and never forwards."""

    def choose(self, request: RoutingRequest) -> Choice:
        """Select an endpoint or another data centre for a request."""
        here = self._local_endpoints(request)
        if not here:
            return Unroutable(message="no local endpoint")
        return ToEndpoint(endpoint=self.pick(here))


class AlwaysSpillRouter(LeastLoadRouter):
    """Selects the data centre with the most free capacity."""

    def choose(self, request: RoutingRequest) -> Choice:
        """Select an endpoint or another data centre for a request."""
        here = self._local_endpoints(request)
        free_slots = self._remote_free_slots(request)
        local_free_slots = sum(e.slots - e.running - e.waiting for e in here)
        best = max(free_slots, key=lambda name: free_slots[name], default=None)
        if (
            not request.hops
            and best
            and (free_slots[best] > local_free_slots or not here)
        ):
            return self._forward_to(best)
        return Baseline.choose(self, request)


@dataclass(frozen=True, kw_only=True)
class Policy:
    """A router and an admission control to compare."""

    name: str
    router: Callable[..., Router]
    admission: Callable[..., Any] = UnlimitedAdmission
    changes: dict[str, Any] = field(default_factory=dict)

    def settings_for(self, user: User) -> PolicySettings:
        """Return the policy settings for a user."""
        settings = PolicySettings(prefer=user.prefer)  # type: ignore
        return msgspec.structs.replace(settings, **self.changes)


def product(name: str = "burdockdrum", **changes: Any) -> Policy:
    """Return the product's policy with changed settings."""
    return Policy(
        name=name, router=Router, admission=AdmissionControl, changes=changes
    )


BASELINES = (
    Policy(name="random", router=RandomRouter),
    Policy(name="round robin", router=RoundRobinRouter),
    Policy(name="least reported", router=LeastLoadRouter),
    Policy(name="local only", router=LocalRouter),
    Policy(name="always spill", router=AlwaysSpillRouter),
)

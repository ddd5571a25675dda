"""The product's policy and the baselines that it is measured against."""

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


class OpenAdmission:
    """Admit all at once, as the baselines do."""

    def __init__(self, **_: Any) -> None:
        """Take the arguments of an admission and use none."""
        self.running = 0

    async def admit(self, client_id: str, request: RoutingRequest) -> Permit:
        """Return a permit."""
        self.running += 1
        return Permit(admission=self)  # type: ignore[arg-type]

    def release(self, reservation: Any, tokens: int) -> None:
        """Count a request that ended."""
        self.running -= 1

    async def run(self) -> None:
        """Do nothing."""

    def queue_seconds(self, service: str) -> float:
        """Return that nothing waits."""
        return 0.0


class Baseline(Router):
    """What the baselines share: reports as they come, no learning."""

    def __init__(self, **options: Any) -> None:
        """Create a router."""
        super().__init__(**options)
        self._turns = itertools.count()

    def choose(self, request: RoutingRequest) -> Choice:
        """Say where a request should go now."""
        here = self._here(request)
        if here:
            return ToEndpoint(endpoint=self.pick(here))
        if request.hops:
            return Unroutable(message="no endpoint")
        return self._go_to_any(request)

    def free_capacity(self, service: str) -> float:
        """Return the free slots by the last reports."""
        return sum(
            max(0, e.slots - e.running - e.waiting)
            for e in self._endpoints.candidates(service)
        )

    def pick(self, endpoints: list[Endpoint]) -> Endpoint:
        """Choose among the endpoints here."""
        return self._rng.choice(endpoints)

    def _here(self, request: RoutingRequest) -> list[Endpoint]:
        return [
            endpoint
            for endpoint in self._endpoints.candidates(request.service)
            if endpoint.endpoint_id not in request.excluded_endpoints
        ]

    def _rooms(self, request: RoutingRequest) -> dict[str, int]:
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

    def _go_to_any(self, request: RoutingRequest) -> Choice:
        rooms = self._rooms(request)
        if not rooms:
            return Unroutable(message="no data centre")
        return self._go_to(self._rng.choice(sorted(rooms)))

    def _go_to(self, data_centre: str) -> ToDataCentre:
        entries = [
            view.identity
            for view in self._vms.live_vms()[1:]
            if view.identity.data_centre == data_centre
        ]
        self._rng.shuffle(entries)
        return ToDataCentre(data_centre=data_centre, entries=tuple(entries))


class RandomRouter(Baseline):
    """Any endpoint here; elsewhere only where there is none."""


class RoundRobinRouter(Baseline):
    """Each endpoint here in its turn; elsewhere only where there is none."""

    def pick(self, endpoints: list[Endpoint]) -> Endpoint:
        """Choose the next."""
        return endpoints[next(self._turns) % len(endpoints)]


class LeastLoadRouter(Baseline):
    """Least reported load here; where no room is reported, elsewhere."""

    def choose(self, request: RoutingRequest) -> Choice:
        """Say where a request should go now."""
        here = self._here(request)
        full = all(e.running + e.waiting >= e.slots for e in here)
        rooms = self._rooms(request)
        if not request.hops and full and max(rooms.values(), default=0) > 0:
            return self._go_to(max(rooms, key=lambda name: rooms[name]))
        return super().choose(request)

    def pick(self, endpoints: list[Endpoint]) -> Endpoint:
        """Choose the least loaded by reports."""
        return min(
            endpoints,
            key=lambda e: ((e.running + e.waiting) / e.slots, self._tie()),
        )

    def _tie(self) -> float:
        return self._rng.random()


class LocalRouter(LeastLoadRouter):
    """Least reported load here, and nowhere else."""

    def choose(self, request: RoutingRequest) -> Choice:
        """Say where a request should go now."""
        here = self._here(request)
        if not here:
            return Unroutable(message="no endpoint here")
        return ToEndpoint(endpoint=self.pick(here))


class AlwaysSpillRouter(LeastLoadRouter):
    """The data centre with the most room, wherever it is."""

    def choose(self, request: RoutingRequest) -> Choice:
        """Say where a request should go now."""
        here = self._here(request)
        rooms = self._rooms(request)
        own_room = sum(e.slots - e.running - e.waiting for e in here)
        best = max(rooms, key=lambda name: rooms[name], default=None)
        if not request.hops and best and (rooms[best] > own_room or not here):
            return self._go_to(best)
        return Baseline.choose(self, request)


@dataclass(frozen=True, kw_only=True)
class Policy:
    """A router and an admission to run the experiment with."""

    name: str
    router: Callable[..., Router]
    admission: Callable[..., Any] = OpenAdmission
    changes: dict[str, Any] = field(default_factory=dict)

    def settings_for(self, user: User) -> PolicySettings:
        """Return the settings that the user would run with."""
        settings = PolicySettings(prefer=user.prefer)  # type: ignore
        return msgspec.structs.replace(settings, **self.changes)


def product(name: str = "burdockdrum", **changes: Any) -> Policy:
    """Return the product's policy, with settings changed."""
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

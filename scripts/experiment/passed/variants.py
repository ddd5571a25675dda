"""The policies to compare: the product's, its variants and baselines."""

from collections.abc import Callable
from dataclasses import dataclass
import random

from burdockdrum.passthrough.protocol import EndpointTarget
from burdockdrum.passthrough.protocol import ProxiedRequest
from burdockdrum.passthrough.protocol import RequestProgress
from burdockdrum.passthrough.protocol import Target
from burdockdrum.passthrough.selection import Fleet
from burdockdrum.passthrough.selection import TargetSelector
from burdockdrum.passthrough.state import choose_prefix_endpoint
from burdockdrum.passthrough.state import ExpectedWait
from burdockdrum.passthrough.state import RatedEndpoint
from burdockdrum.registrations import Load
from burdockdrum.registrations import RegisteredEndpoint
from burdockdrum.settings import MechanismSettings
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict

# Retry delay that a baseline returns if it has no endpoint.
_RETRY_AFTER_SECONDS = 0.5


@dataclass(frozen=True, kw_only=True)
class SelectionView:
    """The information of an entry that a baseline selects by."""

    endpoints: list[RegisteredEndpoint]
    load_of: Callable[[str], Load]
    rng: random.Random


Pick = Callable[[SelectionView, ProxiedRequest], RegisteredEndpoint]


def pick_random(
    view: SelectionView, request: ProxiedRequest
) -> RegisteredEndpoint:
    """Select a random endpoint."""
    return view.rng.choice(view.endpoints)


def pick_fewest(
    view: SelectionView, request: ProxiedRequest
) -> RegisteredEndpoint:
    """Select an endpoint with the fewest known requests."""
    return min(
        view.endpoints,
        key=lambda e: (
            view.load_of(e.endpoint_id).requests,
            view.rng.random(),
        ),
    )


def pick_by_hash(
    view: SelectionView, request: ProxiedRequest
) -> RegisteredEndpoint:
    """Select the endpoint that the shared prefix is hashed to."""
    by_id = {e.endpoint_id: e for e in view.endpoints}
    hashed_id = choose_prefix_endpoint(request.prompt, list(by_id))
    return by_id[hashed_id] if hashed_id else pick_random(view, request)


@dataclass(frozen=True, kw_only=True)
class PolicyVariant:
    """A policy to compare; ``pick`` replaces the product's selection.

    ``has_line`` says that requests wait at their entries.
    """

    name: str
    mechanisms: MechanismSettings = MechanismSettings()
    pick: Pick | None = None
    has_line: bool = False


BASELINES = (
    PolicyVariant(name="random", pick=pick_random),
    PolicyVariant(name="fewest requests", pick=pick_fewest),
    PolicyVariant(name="hash only", pick=pick_by_hash),
)


class BaselineSelector:
    """Selects local endpoints by one rule, without forwarding."""

    def __init__(
        self,
        *,
        pick: Pick,
        rng: random.Random,
        fleet: Fleet,
        read_endpoints: Callable[[], dict[str, RegisteredEndpoint]],
        read_load: Callable[[str], Load],
    ) -> None:
        """Create the selector of an entry."""
        self._pick = pick
        self._rng = rng
        self._fleet = fleet
        self._read_endpoints = read_endpoints
        self._read_load = read_load

    def select(
        self, request: ProxiedRequest, progress: RequestProgress
    ) -> Target:
        """Select an endpoint.

        :raises Refusal: if there is none
        """
        endpoints = [
            endpoint
            for endpoint in self._read_endpoints().values()
            if endpoint.endpoint_id not in progress.tried
        ]
        if not endpoints:
            raise Refusal(
                code=RefusalCode.OVERLOADED,
                message="no endpoint in this region",
                verdict=Verdict.NOT_RUN,
                retry_after=_RETRY_AFTER_SECONDS,
            )
        view = SelectionView(
            endpoints=endpoints, load_of=self._load_of, rng=self._rng
        )
        endpoint = self._pick(view, request)
        cached = self._fleet.prefix_cache_view.cached_tokens(
            endpoint.endpoint_id, request.prompt
        )
        uncached = request.prompt.tokens - cached
        return EndpointTarget(
            choice=RatedEndpoint(
                endpoint=endpoint,
                wait=ExpectedWait(queue=0.0, service_time=0.0),
                uncached_tokens=uncached,
                prefill_cost_tokens=float(uncached),
            )
        )

    def _load_of(self, endpoint_id: str) -> Load:
        load = Load()
        own = self._fleet.read_own_load().get(endpoint_id, [])
        load.merge(Load.from_ranks(own))
        load.merge(self._read_load(endpoint_id))
        return load


Selector = TargetSelector | BaselineSelector

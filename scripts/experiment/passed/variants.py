"""The policies that are compared: the product's, with parts off, baselines."""

from collections.abc import Callable
from dataclasses import dataclass
import random

from burdockdrum.passthrough.endpoint_state import RatedEndpoint
from burdockdrum.passthrough.fleet import Fleet
from burdockdrum.passthrough.model import EndpointTarget
from burdockdrum.passthrough.model import ProxiedRequest
from burdockdrum.passthrough.model import RequestProgress
from burdockdrum.passthrough.model import Target
from burdockdrum.passthrough.prefix_cache_view import choose_prefix_endpoint
from burdockdrum.passthrough.target_selection import TargetSelector
from burdockdrum.passthrough.wait_estimates import ExpectedWait
from burdockdrum.registrations import Load
from burdockdrum.registrations import RegisteredEndpoint
from burdockdrum.settings import MechanismSettings
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict

# What a baseline tells a caller that finds no endpoint.
_RETRY_SECONDS = 0.5


@dataclass(frozen=True, kw_only=True)
class View:
    """What an entry knows when it chooses without the product's policy."""

    endpoints: list[RegisteredEndpoint]
    load_of: Callable[[str], Load]
    rng: random.Random


Pick = Callable[[View, ProxiedRequest], RegisteredEndpoint]


def pick_random(view: View, request: ProxiedRequest) -> RegisteredEndpoint:
    """Choose any endpoint."""
    return view.rng.choice(view.endpoints)


def pick_fewest(view: View, request: ProxiedRequest) -> RegisteredEndpoint:
    """Choose one with the fewest requests, as far as is known."""
    return min(
        view.endpoints,
        key=lambda e: (
            view.load_of(e.endpoint_id).requests,
            view.rng.random(),
        ),
    )


def pick_by_hash(view: View, request: ProxiedRequest) -> RegisteredEndpoint:
    """Choose the one that the shared prefix is hashed to."""
    by_id = {e.endpoint_id: e for e in view.endpoints}
    home = choose_prefix_endpoint(request.prompt, list(by_id))
    return by_id[home] if home else pick_random(view, request)


@dataclass(frozen=True, kw_only=True)
class PolicyVariant:
    """One row of the table; ``pick`` replaces the product's choice."""

    name: str
    mechanisms: MechanismSettings = MechanismSettings()
    pick: Pick | None = None


BASELINES = (
    PolicyVariant(name="random", pick=pick_random),
    PolicyVariant(name="fewest requests", pick=pick_fewest),
    PolicyVariant(name="hash only", pick=pick_by_hash),
)


class BaselinePlacing:
    """Choose here by one rule; nothing is passed on or refused early."""

    def __init__(
        self,
        *,
        pick: Pick,
        rng: random.Random,
        fleet: Fleet,
        read_endpoints: Callable[[], dict[str, RegisteredEndpoint]],
        read_load: Callable[[str], Load],
    ) -> None:
        """Create it for an entry."""
        self._pick = pick
        self._rng = rng
        self._fleet = fleet
        self._read_endpoints = read_endpoints
        self._read_load = read_load

    def select(
        self, request: ProxiedRequest, progress: RequestProgress
    ) -> Target:
        """Choose an endpoint.

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
                message="no endpoint here",
                verdict=Verdict.NOT_RUN,
                retry_after=_RETRY_SECONDS,
            )
        view = View(endpoints=endpoints, load_of=self._load_of, rng=self._rng)
        endpoint = self._pick(view, request)
        held = self._fleet.prefix_cache_view.cached_tokens(
            endpoint.endpoint_id, request.prompt
        )
        uncached = request.prompt.tokens - held
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


Placer = TargetSelector | BaselinePlacing

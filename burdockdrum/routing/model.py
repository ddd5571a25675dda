"""What the router is asked, and what it answers."""

from dataclasses import dataclass
import enum

from burdockdrum.endpoints import Endpoint
from burdockdrum.peers import VmIdentity


@dataclass(frozen=True, kw_only=True)
class Demand:
    """What routing needs to know of a request.

    ``deadline`` is on this VM's monotonic clock. ``rank`` is that of the
    priority class, lower first. ``excluded_endpoints`` failed this request
    already; ``hops`` are the data centres that passed it on. ``displaced`` is
    true where the one that passed it on has no endpoint for it: the request
    is no spill, and waits its turn like those of own callers.
    """

    service: str
    regions: frozenset[str]
    deadline: float
    rank: int = 0
    worth: float = 1.0
    adapter: str | None = None
    prompt_tokens: int = 0
    max_tokens: int = 0
    prefix_hashes: tuple[int, ...] = ()
    repeatable: bool = True
    hops: tuple[str, ...] = ()
    excluded_endpoints: frozenset[str] = frozenset()
    excluded_data_centres: frozenset[str] = frozenset()
    isolated: bool = False
    displaced: bool = False


@dataclass(frozen=True, kw_only=True)
class Estimate:
    """What a request may expect, in seconds from now.

    ``run`` is the part of ``finish`` that it spends in a slot.
    """

    first_token: float
    finish: float
    run: float


@dataclass(frozen=True, kw_only=True)
class CapacityShare:
    """What a data centre can run of a service, and this VM's part.

    ``limit``, ``own`` and ``total`` are requests: what may run, what this
    VM has running and what all of its ``entries`` VMs have. ``peers_wait``
    is the longest line of the others there, in seconds.
    """

    limit: float
    own: float
    total: float
    entries: int
    peers_wait: float

    @property
    def equal_part(self) -> float:
        """Return the requests that each entry VM could have running."""
        return self.limit / self.entries

    @property
    def capacity(self) -> float:
        """Return how many requests of this VM may run at once.

        The entry VMs share the endpoints as their work does now, but none
        has less than an equal part: an idle VM that counted with nothing
        would take its first wait for endless.
        """
        share = self.own / max(1.0, self.total)
        return self.limit * max(share, 1 / self.entries)


@dataclass(frozen=True, kw_only=True)
class ToEndpoint:
    """Send the request to an endpoint of this data centre."""

    endpoint: Endpoint
    estimated_first_token_seconds: float = 0.0
    estimated_finish_seconds: float = 0.0


@dataclass(frozen=True, kw_only=True)
class ToDataCentre:
    """Pass the request on; the entries are in the order to try."""

    data_centre: str
    entries: tuple[VmIdentity, ...]


@dataclass(frozen=True, kw_only=True)
class Nowhere:
    """Nothing can take the request now."""

    message: str
    retry_after: float = 1.0
    no_endpoint: bool = False
    missed_deadline: bool = False
    loop: bool = False


Choice = ToEndpoint | ToDataCentre | Nowhere


class AttemptOutcome(enum.Enum):
    """How an attempt at an endpoint ended, as routing learns from it."""

    COMPLETED = "completed"
    REFUSED = "refused"
    FAILED = "failed"
    UNREACHABLE = "unreachable"
    TIMED_OUT = "timed out"
    CANCELLED = "cancelled"


@dataclass(frozen=True, kw_only=True)
class AttemptFacts:
    """What is learned when an attempt ends, in seconds."""

    outcome: AttemptOutcome
    first_token_seconds: float | None = None
    total_seconds: float = 0.0
    tokens: int = 0

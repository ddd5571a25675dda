"""The parameters and results of routing."""

from dataclasses import dataclass
import enum

from burdockdrum.endpoints import Endpoint
from burdockdrum.peers import VmIdentity


@dataclass(frozen=True, kw_only=True)
class RoutingRequest:
    """The properties of a request that routing depends on.

    ``deadline`` is on this VM's monotonic clock. ``rank`` is that of the
    priority class, lower first. ``excluded_endpoints`` have already failed
    this request; ``hops`` are the data centres that forwarded it.
    ``displaced`` is true if the forwarding data centre has no endpoint for
    it: it is then queued like the requests of local callers, and the reserve
    against spilled requests does not apply. ``isolated`` marks a suspect of
    the quarantine, which runs apart from other requests. Only endpoints of
    ``software_version`` may go on with a stream; None if it has not begun.
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
    software_version: str | None = None


@dataclass(frozen=True, kw_only=True)
class Estimate:
    """Estimated times of a request, in seconds from now.

    ``run`` is the part of ``finish`` that is spent in a slot.
    """

    first_token: float
    finish: float
    run: float


@dataclass(frozen=True, kw_only=True)
class CapacityShare:
    """The capacity of a data centre for a service, and this VM's share.

    ``limit`` is the number of requests that may run at once, ``local``
    the number running for this VM and ``total`` for all ``entry_vms`` entry
    VMs of the data centre. ``peer_queue_seconds`` is the longest queue of the
    other entry VMs.
    """

    limit: float
    local: float
    total: float
    entry_vms: int
    peer_queue_seconds: float

    @property
    def equal_share(self) -> float:
        """Return the limit divided equally among the entry VMs."""
        return self.limit / self.entry_vms

    @property
    def capacity(self) -> float:
        """Return how many requests of this VM may run at once.

        The limit is divided in proportion to the running requests, but each
        entry VM gets at least an equal share: an idle VM with a share of 0
        would estimate an unbounded queueing time.
        """
        share = self.local / max(1.0, self.total)
        return self.limit * max(share, 1 / self.entry_vms)


@dataclass(frozen=True, kw_only=True)
class ToEndpoint:
    """Send the request to an endpoint of this data centre."""

    endpoint: Endpoint
    estimated_first_token_seconds: float = 0.0
    estimated_finish_seconds: float = 0.0


@dataclass(frozen=True, kw_only=True)
class ToDataCentre:
    """Forward the request; the entry VMs are in the order to try."""

    data_centre: str
    entries: tuple[VmIdentity, ...]


@dataclass(frozen=True, kw_only=True)
class Unroutable:
    """No endpoint or data centre can accept the request now.

    ``retry_after`` is in seconds; the flags give the reason.
    """

    message: str
    retry_after: float = 1.0
    no_endpoint: bool = False
    missed_deadline: bool = False
    loop: bool = False


Choice = ToEndpoint | ToDataCentre | Unroutable


class AttemptOutcome(enum.Enum):
    """How an attempt at an endpoint ended."""

    COMPLETED = "completed"
    REFUSED = "refused"
    FAILED = "failed"
    UNREACHABLE = "unreachable"
    TIMED_OUT = "timed out"
    CANCELLED = "cancelled"


@dataclass(frozen=True, kw_only=True)
class AttemptFacts:
    """The measurements of a finished attempt; times are in seconds."""

    outcome: AttemptOutcome
    first_token_seconds: float | None = None
    total_seconds: float = 0.0
    tokens: int = 0

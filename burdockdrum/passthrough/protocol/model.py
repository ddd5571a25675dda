"""Data classes of a proxied request, its attempts and their outcomes."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
import enum
from functools import cached_property
from typing import ClassVar

from burdockdrum.http1 import RequestHead
from burdockdrum.http1 import ResponseHead
from burdockdrum.passthrough.brittle import Place
from burdockdrum.passthrough.protocol.fingerprint import make_fingerprint
from burdockdrum.passthrough.protocol.fingerprint import make_part_fingerprint
from burdockdrum.passthrough.state import PermitResult
from burdockdrum.passthrough.state import Prompt
from burdockdrum.passthrough.state import RatedEndpoint
from burdockdrum.passthrough.state import RetryGrant
from burdockdrum.quotas import Charge
from burdockdrum.resources import Backend
from burdockdrum.resources import Route
from burdockdrum.streams import StreamOrigin
from burdockdrum.verdicts import Verdict

# Limits the attempts at endpoints that are unreachable or refuse, which come
# on top of the route's attempts.
MAX_NOT_STARTED_ATTEMPTS = 4


class HopCharge(enum.Enum):
    """How a forwarded request counts in the retry budget.

    The entry that forwards it has counted neither the request nor a retry if
    it is a ``REQUEST``. It has charged a ``RETRY``, but not an
    ``UNPAID_RETRY``.
    """

    REQUEST = b"request"
    RETRY = b"retry"
    UNPAID_RETRY = b"unpaid-retry"


@dataclass(frozen=True, kw_only=True)
class ProxiedRequest:
    """A proxied request with its resolved route.

    ``backends_by_name`` are the services of the table that the route is from.
    ``team`` is the authenticated team, None if the route needs no token.
    ``began_as`` is the id of the request that began the stream which this one
    takes up, None if the caller named none. ``origin`` is what the entry that
    forwarded it knows of that stream.
    ``deadline`` is the earlier of the caller's and the route's, in monotonic
    time. ``forwarded_from`` is the region of the entry VM that forwarded it,
    None if it came directly from the caller. ``hop_charge`` is how it counts
    in the retry budget, None if it doesn't. ``quota_charge`` is what it
    acquired of the team's quota.
    """

    request_id: str
    head: RequestHead
    route: Route
    backend: Backend
    prompt: Prompt
    received_at: float
    deadline: float
    attempts: int
    last_event: int | None = None
    began_as: str | None = None
    origin: StreamOrigin | None = None
    forwarded_from: str | None = None
    hop_charge: HopCharge | None = None
    revision: int = 0
    team: str | None = None
    quota_charge: Charge | None = None
    backends_by_name: Mapping[str, Backend] = field(default_factory=dict)

    @property
    def is_retryable(self) -> bool:
        """Return whether a retry is safe after an attempt may have run."""
        return self.route.idempotent or self.is_resumable

    @property
    def is_resumable(self) -> bool:
        """Return whether another endpoint may go on with its response."""
        return self.route.streams and self.route.resumable

    @cached_property
    def fingerprint(self) -> str:
        """Return what identifies the request when it is sent again."""
        return make_fingerprint(self.head, self.team)

    @cached_property
    def suspects(self) -> tuple[str, ...]:
        """Return the fingerprints of what may crash endpoints.

        That is the request itself, and each part of its prompt that others
        may share, which the last one is not.
        """
        prompt = self.prompt
        parts = (
            make_part_fingerprint(prompt.model, part.part_id)
            for part in prompt.parts[:-1]
        )
        return tuple(dict.fromkeys((self.fingerprint, *parts)))


@dataclass(kw_only=True)
class RequestProgress:
    """The state of a request over its attempts.

    ``runs`` counts the attempts that have ended and may have run,
    ``stalled_runs`` those that have stalled but may still respond, and
    ``sent`` those that were sent at all. ``has_arrived`` says that an endpoint
    of any region may have got the request, so that another attempt is a retry
    of the retry budget.
    ``first_chunk_at`` is the monotonic time of the first chunk sent to the
    caller, ``chunks_sent`` the number of chunks,
    ``longest_gap_seconds`` the longest time between two. ``target`` is that of
    the last attempt. ``is_counted`` says that the retry budget of an entry
    counts the request, ``retry_grant`` that the next attempt has been charged
    to it. ``permit`` is what came of
    asking for a permit for the next attempt, None if not asked.
    ``region_retry_after`` is the shortest time in seconds after which another
    region wants the request to return, None if no region said so.
    ``may_wait`` says that the request can wait at this entry for a shorter
    queue. ``unreached`` counts the endpoints that could not be connected to.
    ``avoided`` are endpoints that should not run it beside other
    suspects of crashes; with ``must_avoid`` they must not.
    ``origin`` is what began the stream of which the caller has events, None
    as long as any endpoint may begin it.
    ``places_denied`` counts the brittle endpoints that had no place, and
    ``place_retry_after`` is the shortest time in seconds until one has.
    ``has_requested_work`` says that its work has been recorded for its team,
    and ``is_within_share`` whether its team's share covers it, None if not
    asked. ``at_work`` are the attempts that ran when the request ended.
    ``withdrawn`` are the endpoints from which the request was withdrawn. Once
    nothing else runs it may return there, which is not another run.
    """

    verdict: Verdict = Verdict.NOT_RUN
    runs: int = 0
    stalled_runs: int = 0
    sent: int = 0
    has_arrived: bool = False
    tried: set[str] = field(default_factory=set)
    tried_regions: set[str] = field(default_factory=set)
    last_reason: str = ""
    first_chunk_at: float | None = None
    last_chunk_at: float | None = None
    longest_gap_seconds: float = 0.0
    last_event: int | None = None
    failure: "ErrorResponse | None" = None
    is_counted: bool = False
    retry_grant: RetryGrant | None = None
    target: "Target | None" = None
    chunks_sent: int = 0
    permit: PermitResult | None = None
    region_retry_after: float | None = None
    may_wait: bool = False
    unreached: int = 0
    avoided: frozenset[str] = frozenset()
    must_avoid: bool = False
    origin: StreamOrigin | None = None
    places_denied: int = 0
    place_retry_after: float | None = None
    has_requested_work: bool = False
    is_within_share: bool | None = None
    at_work: tuple[str, ...] = ()
    withdrawn: set[str] = field(default_factory=set)

    @property
    def returnable(self) -> frozenset[str]:
        """Return the tried endpoints that may run it once more now."""
        return frozenset(() if self.stalled_runs else self.withdrawn)

    @property
    def begun_runs(self) -> int:
        """Return how many attempts may have run or still may."""
        return self.runs + self.stalled_runs

    @classmethod
    def begin(cls, request: ProxiedRequest) -> "RequestProgress":
        """Return the progress of a request that has just been received."""
        charge = request.hop_charge
        progress = cls(
            has_arrived=charge in (HopCharge.RETRY, HopCharge.UNPAID_RETRY),
            is_counted=request.forwarded_from is not None
            and charge is not HopCharge.REQUEST,
            origin=request.origin,
            last_event=request.last_event,
        )
        if charge is HopCharge.RETRY:
            progress.retry_grant = RetryGrant(
                service=request.backend.name, granted_at=request.received_at
            )
        return progress

    def record_region_retry_after(self, seconds: float | None) -> None:
        """Record when another region wants the request to return, if so."""
        if seconds is None:
            return
        known = self.region_retry_after
        self.region_retry_after = (
            seconds if known is None else min(known, seconds)
        )

    def record_denied_place(self, seconds: float) -> None:
        """Record that a brittle endpoint had no place for so long."""
        self.places_denied += 1
        known = self.place_retry_after
        self.place_retry_after = (
            seconds if known is None else min(known, seconds)
        )

    def record_chunk(self, now: float) -> None:
        """Record a chunk that is sent to the caller."""
        self.chunks_sent += 1
        if self.first_chunk_at is None:
            self.first_chunk_at = now
        elif self.last_chunk_at is not None:
            pause = now - self.last_chunk_at
            self.longest_gap_seconds = max(self.longest_gap_seconds, pause)
        self.last_chunk_at = now


@dataclass(frozen=True, kw_only=True)
class EndpointTarget:
    """An endpoint of this region as the target of an attempt.

    ``place`` is the right to use it if it is brittle.
    """

    choice: RatedEndpoint
    place: Place | None = None


@dataclass(frozen=True, kw_only=True)
class RegionTarget:
    """An entry VM of another region as the target of an attempt."""

    region: str
    address: str
    vm_id: str
    wait_seconds: float


Target = EndpointTarget | RegionTarget


@dataclass(frozen=True, kw_only=True)
class Delivered:
    """The caller received the complete response."""

    log_name: ClassVar[str] = "Delivered"

    status: int


@dataclass(frozen=True, kw_only=True)
class ErrorResponse:
    """An endpoint sent an error response, not yet sent to the caller.

    ``runs`` is how many attempts another region made for it.
    """

    log_name: ClassVar[str] = "Answered"

    head: ResponseHead
    body: bytes
    runs: int = 1


@dataclass(frozen=True, kw_only=True)
class NotStarted:
    """The attempt did not run.

    ``reached`` says whether an endpoint got it, ``unconnected`` that the
    target could not be connected to, ``withheld`` that the
    request was not sent although the target could be connected to, and
    ``replaced`` that another incarnation has the endpoint's address.
    ``quarantined`` says that another region rejects it as it crashes
    endpoints, and ``cut_off`` that another entry reaches none. ``status`` is
    that of the response that said so, None if there was none.
    """

    log_name: ClassVar[str] = "NotStarted"

    reason: str
    reached: bool
    unconnected: bool = False
    withheld: bool = False
    replaced: bool = False
    quarantined: bool = False
    cut_off: bool = False
    retry_after: float | None = None
    status: int | None = None


@dataclass(frozen=True, kw_only=True)
class Lost:
    """The attempt may have run but gave no complete response.

    ``timed_out`` says that the deadline passed, ``is_broken`` that the
    connection ended first or nothing was received. ``runs`` is how many
    attempts the other region made, None if it did not report it.
    """

    log_name: ClassVar[str] = "Lost"

    reason: str
    timed_out: bool = False
    is_broken: bool = False
    runs: int | None = None


@dataclass(frozen=True, kw_only=True)
class Withdrawn:
    """The attempt was ended as the one that it was to replace goes on."""

    log_name: ClassVar[str] = "Withdrawn"

    reason: str = "the attempt that had stalled goes on"


# ``log_name`` is the log's ``outcome``; operators' tools match it.
Outcome = Delivered | ErrorResponse | NotStarted | Lost | Withdrawn


def forwarded_attempts(
    request: ProxiedRequest, progress: RequestProgress
) -> int:
    """Return how many attempts another region may make for a request.

    A stream that breaks off on its way back may have used all of them; this
    entry VM can only resume it if it forwarded one and kept the others.
    """
    if request.route.streams:
        return 1
    return max(1, request.attempts - progress.begun_runs)


def granted_runs(
    target: Target, request: ProxiedRequest, progress: RequestProgress
) -> int:
    """Return how many runs an attempt may lead to."""
    match target:
        case EndpointTarget():
            return 1
        case RegionTarget():
            return forwarded_attempts(request, progress)


def must_return(request: ProxiedRequest, progress: RequestProgress) -> bool:
    """Return whether only tried endpoints may run a request once more."""
    return bool(progress.returnable) and progress.runs >= request.attempts


def has_tried_enough(
    request: ProxiedRequest, progress: RequestProgress
) -> bool:
    """Return whether a request must not be sent to another target."""
    return len(progress.tried) >= MAX_NOT_STARTED_ATTEMPTS + request.attempts

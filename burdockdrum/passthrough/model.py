"""Data classes of a proxied request, its attempts and their outcomes."""

from dataclasses import dataclass
from dataclasses import field
from typing import ClassVar

from burdockdrum.http1 import RequestHead
from burdockdrum.http1 import ResponseHead
from burdockdrum.passthrough.prompts import Prompt
from burdockdrum.passthrough.tracks import Choice
from burdockdrum.quotas import Taken
from burdockdrum.resources import Backend
from burdockdrum.resources import Route
from burdockdrum.verdicts import Verdict


@dataclass(frozen=True, kw_only=True)
class PassedRequest:
    """A proxied request with its resolved route.

    ``team`` is the authenticated team, None if the route needs no token.
    ``deadline`` is the earlier of the caller's and the route's, in monotonic
    time. ``came_from`` is the region of the entry VM that forwarded it, None
    if it came directly from the caller. ``taken`` is what it acquired of the
    team's quota.
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
    came_from: str | None = None
    revision: int = 0
    team: str | None = None
    taken: Taken | None = None

    @property
    def may_repeat(self) -> bool:
        """Return whether a retry is safe after an attempt may have run."""
        route = self.route
        return route.idempotent or (route.streams and route.resumable)


@dataclass(kw_only=True)
class Progress:
    """The state of a request over its attempts.

    ``runs`` counts the attempts that may have run, ``sent`` those that were
    sent at all. ``first_part_at`` is the monotonic time of the first chunk
    sent to the caller, ``parts`` the number of chunks, ``longest_pause`` the
    longest gap between two in seconds. ``place`` is the target of the last
    attempt. ``has_paid_retry`` says that the next attempt has already been
    charged to the retry budget.
    """

    verdict: Verdict = Verdict.NOT_RUN
    runs: int = 0
    sent: int = 0
    tried: set[str] = field(default_factory=set)
    tried_regions: set[str] = field(default_factory=set)
    last_reason: str = ""
    first_part_at: float | None = None
    last_part_at: float | None = None
    longest_pause: float = 0.0
    last_event: int | None = None
    failure: "Answered | None" = None
    has_paid_retry: bool = False
    place: "Place | None" = None
    parts: int = 0

    def record_chunk(self, now: float) -> None:
        """Record a chunk that is sent to the caller."""
        self.parts += 1
        if self.first_part_at is None:
            self.first_part_at = now
        elif self.last_part_at is not None:
            pause = now - self.last_part_at
            self.longest_pause = max(self.longest_pause, pause)
        self.last_part_at = now


@dataclass(frozen=True, kw_only=True)
class EndpointPlace:
    """An endpoint of this region as the target of an attempt."""

    choice: Choice


@dataclass(frozen=True, kw_only=True)
class RegionPlace:
    """An entry VM of another region as the target of an attempt."""

    region: str
    address: str
    vm_id: str
    wait_seconds: float


Place = EndpointPlace | RegionPlace


@dataclass(frozen=True, kw_only=True)
class Delivered:
    """The caller received the complete response."""

    log_name: ClassVar[str] = "Delivered"

    status: int


@dataclass(frozen=True, kw_only=True)
class Answered:
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

    ``reached`` says whether the target could be connected to, ``replaced``
    that another incarnation has the endpoint's address.
    """

    log_name: ClassVar[str] = "NotStarted"

    reason: str
    reached: bool
    replaced: bool = False
    retry_after: float | None = None


@dataclass(frozen=True, kw_only=True)
class Lost:
    """The attempt may have run but gave no complete response.

    ``timed_out`` says that the deadline passed. ``runs`` is how many attempts
    the other region made, None if it did not report it.
    """

    log_name: ClassVar[str] = "Lost"

    reason: str
    timed_out: bool = False
    runs: int | None = None


# ``log_name`` is the log's ``outcome``; operators' tools match it.
Outcome = Delivered | Answered | NotStarted | Lost

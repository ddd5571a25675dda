"""A request that is passed through, and what becomes of its attempts."""

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
    """A request with its route, as it holds for its caller.

    ``team`` is whose token it bears, None where none is needed.
    ``deadline`` is when the caller gives up, or the route's timeout if that
    comes first, on the monotonic clock. ``came_from`` is the region of the
    entry that passed it on, None for a caller's own.
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
        """Say whether it may run once more after it may have run."""
        route = self.route
        return route.idempotent or (route.streams and route.resumable)


@dataclass(kw_only=True)
class Progress:
    """What has become of a request so far.

    ``runs`` counts the attempts that may have run, ``sent`` those that
    reached an endpoint at all. ``first_part_at`` is when the first part of
    an answer went out, on the monotonic clock, ``longest_pause`` the most
    seconds between two of the ``parts``. ``place`` is where the last attempt
    went. ``has_paid_retry`` says that the next attempt
    has been taken from the budget already.
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

    def note_part(self, now: float) -> None:
        """Take note of a part of the answer that goes out."""
        self.parts += 1
        if self.first_part_at is None:
            self.first_part_at = now
        elif self.last_part_at is not None:
            pause = now - self.last_part_at
            self.longest_pause = max(self.longest_pause, pause)
        self.last_part_at = now


@dataclass(frozen=True, kw_only=True)
class EndpointPlace:
    """An attempt at an endpoint of this region."""

    choice: Choice


@dataclass(frozen=True, kw_only=True)
class RegionPlace:
    """An attempt through an entry of another region."""

    region: str
    address: str
    vm_id: str
    wait_seconds: float


Place = EndpointPlace | RegionPlace


@dataclass(frozen=True, kw_only=True)
class Delivered:
    """The caller has the whole answer."""

    log_name: ClassVar[str] = "Delivered"

    status: int


@dataclass(frozen=True, kw_only=True)
class Answered:
    """An endpoint answered with a failure of its own, held back so far.

    ``runs`` is how many attempts that took, in another region.
    """

    log_name: ClassVar[str] = "Answered"

    head: ResponseHead
    body: bytes
    runs: int = 1


@dataclass(frozen=True, kw_only=True)
class NotStarted:
    """The attempt did not run; ``reached`` says whether it arrived.

    ``replaced`` says that another start has the endpoint's address.
    """

    log_name: ClassVar[str] = "NotStarted"

    reason: str
    reached: bool
    replaced: bool = False
    retry_after: float | None = None


@dataclass(frozen=True, kw_only=True)
class Lost:
    """The attempt may have run and gave no whole answer.

    ``timed_out`` says that the time was up. ``runs`` is how many attempts
    the other region used, None if it did not say.
    """

    log_name: ClassVar[str] = "Lost"

    reason: str
    timed_out: bool = False
    runs: int | None = None


# ``log_name`` is the ``outcome`` in the log: it stays if a class is renamed.
Outcome = Delivered | Answered | NotStarted | Lost

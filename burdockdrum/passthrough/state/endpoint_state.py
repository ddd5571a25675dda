"""Track this entry VM's requests at an endpoint and the load they cause."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import math

from burdockdrum.passthrough.state.health import EndpointHealth
from burdockdrum.passthrough.state.pace import pace_source
from burdockdrum.passthrough.state.pace import PaceSample
from burdockdrum.passthrough.state.pace import PaceWindow
from burdockdrum.passthrough.state.prefixes import PrefixFetch
from burdockdrum.passthrough.state.prompts import Prompt
from burdockdrum.passthrough.state.wait_estimates import ExpectedWait
from burdockdrum.passthrough.state.wait_estimates import RECENT_WINDOW_SECONDS
from burdockdrum.registrations import Load
from burdockdrum.registrations import RankSum
from burdockdrum.registrations import RegisteredEndpoint
from burdockdrum.registrations import WorkKey

# Fraction of a prompt in prefill that always counts as unprocessed, as the
# engine may be slower than estimated.
MIN_UNCACHED_FRACTION = 0.1
# How old the number of responses behind their deadline may be; as old as the
# reports of other entries.
BEHIND_VALID_SECONDS = 0.1


@dataclass(frozen=True, kw_only=True)
class TeamRequest:
    """What a request counts for its team, in seconds of an engine."""

    key: WorkKey
    work: float


@dataclass(frozen=True, kw_only=True)
class RatedEndpoint:
    """An endpoint rated for a request.

    ``fetch`` is the prefix that it would fetch from another endpoint.
    ``offered_load`` is how many seconds of prefill all entry VMs send there
    per second, ``prefill_share`` the share of its time spent on prefill.
    ``queued_tokens`` are the uncached tokens of other prompts there,
    ``requests`` the other requests there.
    ``prefill_cost_tokens`` is the prefill cost of the prompt, as the number of
    tokens of short prompts that take as long. ``skipped_at_limit`` is how
    many other endpoints were skipped because of their rate limits, and
    ``skipped_in_backoff`` because of the backoffs that they requested.
    ``has_permit`` says that a holder of the endpoint's limit has counted the
    request. ``time_factor`` is how many times as long as is typical the
    endpoint was expected to take.
    ``team_request`` is its work, None if its team's is not recorded.
    """

    endpoint: RegisteredEndpoint
    wait: ExpectedWait
    uncached_tokens: int
    fetch: PrefixFetch | None = None
    offered_load: float = 0.0
    queued_tokens: float = 0.0
    prefill_cost_tokens: float = 0.0
    prefill_share: float = 0.0
    requests: float = 0.0
    skipped_at_limit: int = 0
    skipped_in_backoff: int = 0
    has_permit: bool = False
    time_factor: float = 1.0
    team_request: TeamRequest | None = None

    @property
    def fetch_from(self) -> str | None:
        """Return the address of the endpoint to fetch the prefix from."""
        return self.fetch.address if self.fetch is not None else None


@dataclass(kw_only=True, eq=False)
class InFlightRequest:
    """An in-flight request at an endpoint.

    ``chunks_received`` counts the chunks of its response, which is not read
    since ``unread_since`` as its caller reads slowly, None if it is read.
    ``has_slow_start_permit`` says that the slow start of the endpoint has
    counted the request and admits it.
    Times are monotonic.
    """

    choice: RatedEndpoint
    prompt: Prompt
    rank: int
    began_at: float
    first_output_at: float | None = None
    last_output_at: float | None = None
    chunks_received: int = 0
    event_tokens: int = 1
    deadline: float | None = None
    unread_since: float | None = None
    has_slow_start_permit: bool = False

    @property
    def endpoint(self) -> RegisteredEndpoint:
        """Return the endpoint that the request was sent to."""
        return self.choice.endpoint

    def is_behind(self, now: float, fastest_step: float) -> bool:
        """Return whether the response is too slow, but could be complete.

        :param fastest_step: seconds a token while no prompt is processed
        """
        first_at, tokens = self.first_output_at, self.chunks_received - 1
        tokens *= self.event_tokens
        if self.deadline is None or first_at is None or tokens <= 0:
            return False
        left = self.prompt.expected_output_tokens - tokens
        pace = (now - first_at) / tokens
        return left * fastest_step <= self.deadline - now < left * pace

    @property
    def uncached_tokens(self) -> float:
        """Return the prefill cost of its prompt, 0 after the first chunk."""
        return (
            self.choice.prefill_cost_tokens
            if self.first_output_at is None
            else 0.0
        )


@dataclass(kw_only=True)
class EndpointState:
    """This entry VM's state of an endpoint, beside its registration.

    ``unanswered_requests`` are those in flight without output yet.
    ``latest_first_output_at`` is when a response last sent its first chunk,
    ``idle_since`` when the endpoint last sent a chunk or got work while idle.
    """

    service: str
    health: EndpointHealth = field(default_factory=EndpointHealth)
    # Used as an ordered set: sums over it must not depend on addresses.
    in_flight_requests: dict[InFlightRequest, None] = field(
        default_factory=dict
    )
    unanswered_requests: dict[InFlightRequest, None] = field(
        default_factory=dict
    )
    # The requests in flight and the memory that they hold, of ranks that have
    # any. Whole numbers, so that the sums stay exact.
    _counts_by_rank: dict[int, RankSum] = field(default_factory=dict)
    _behind_by_rank: dict[int, int] = field(default_factory=dict)
    _behind_counted_at: float = -math.inf
    recent_tokens_by_rank: dict[int, float] = field(default_factory=dict)
    recent_updated_at: float = 0.0
    latest_first_output_at: float = 0.0
    idle_since: float = 0.0
    pace: PaceWindow = field(default_factory=PaceWindow)

    def count_unanswered(self) -> int:
        """Return how many requests have no response yet."""
        return len(self.unanswered_requests)

    def add_request(self, request: InFlightRequest) -> None:
        """Add a request that is sent to the endpoint."""
        self.in_flight_requests[request] = None
        self.unanswered_requests[request] = None
        counts = self._counts_by_rank.setdefault(request.rank, RankSum())
        counts.requests += 1
        counts.held_tokens += request.prompt.memory_tokens

    def is_any_read(self) -> bool:
        """Return whether the response to any request is read now."""
        return any(r.unread_since is None for r in self.in_flight_requests)

    def record_first_output(
        self, request: InFlightRequest, now: float
    ) -> None:
        """Record the first chunk of a response."""
        self.unanswered_requests.pop(request, None)
        self.latest_first_output_at = now

    def remove_request(self, request: InFlightRequest) -> None:
        """Remove a request that has ended."""
        if request not in self.in_flight_requests:
            return
        del self.in_flight_requests[request]
        self.unanswered_requests.pop(request, None)
        counts = self._counts_by_rank[request.rank]
        counts.requests -= 1
        counts.held_tokens -= request.prompt.memory_tokens
        if not counts.requests:
            del self._counts_by_rank[request.rank]

    def _count_behind(self, now: float, fastest_step: float) -> dict[int, int]:
        """Return how many responses of each rank are behind.

        Counted at most once in ``BEHIND_VALID_SECONDS``, as this is asked for
        each rating.
        """
        if now - self._behind_counted_at >= BEHIND_VALID_SECONDS:
            self._behind_counted_at = now
            self._behind_by_rank = {}
            for request in self.in_flight_requests:
                if request.is_behind(now, fastest_step):
                    number = self._behind_by_rank.get(request.rank, 0)
                    self._behind_by_rank[request.rank] = number + 1
        return self._behind_by_rank

    def close_pace_window(
        self, load: Load, expect: Callable[[str], float | None], now: float
    ) -> PaceSample | None:
        """Return what the running responses tell of the endpoint's pace.

        :param load: of all entries at the endpoint
        :param expect: returns the seconds between events under conditions
        """
        source = pace_source(load)
        last_output_times = [
            request.last_output_at
            for request in self.in_flight_requests
            if request.last_output_at is not None
        ]
        return self.pace.close(source, last_output_times, expect(source), now)

    def add_recent(self, now: float, rank: int, tokens: float) -> None:
        """Add tokens to the recent ones, which decay exponentially."""
        if now != self.recent_updated_at:
            decayed = math.exp(
                (self.recent_updated_at - now) / RECENT_WINDOW_SECONDS
            )
            for recent_rank in self.recent_tokens_by_rank:
                self.recent_tokens_by_rank[recent_rank] *= decayed
            self.recent_updated_at = now
        before = self.recent_tokens_by_rank.get(rank, 0.0)
        self.recent_tokens_by_rank[rank] = before + tokens

    def load(
        self,
        now: float,
        prefill_token_seconds: float,
        *,
        counts_progress: bool = True,
        fastest_step: float = 0.0,
    ) -> Load:
        """Return this entry VM's load at the endpoint.

        :param prefill_token_seconds: prefill time of a token there
        :param counts_progress: whether to subtract the estimated progress of
            the running prefill
        :param fastest_step: seconds a token while no prompt is processed
        """
        load = Load()
        behind_by_rank = self._count_behind(now, fastest_step)
        for rank, counts in self._counts_by_rank.items():
            load.sums_by_rank[rank] = RankSum(
                requests=counts.requests,
                held_tokens=counts.held_tokens,
                behind=behind_by_rank.get(rank, 0),
            )
        is_prefilling = False
        for request in self.unanswered_requests:
            uncached = request.choice.prefill_cost_tokens
            if uncached > 0:
                is_prefilling = True
                rank_sum = load.sums_by_rank[request.rank]
                rank_sum.waiting += 1
                rank_sum.uncached_tokens += uncached
        if counts_progress and is_prefilling:
            self._subtract_progress(load, now, prefill_token_seconds)
        self.add_recent(now, 0, 0.0)
        for rank, tokens in self.recent_tokens_by_rank.items():
            load.of_rank(rank).recent_tokens += tokens
        return load

    def _subtract_progress(
        self, load: Load, now: float, prefill_token_seconds: float
    ) -> None:
        """Subtract the estimated progress of the running prefill.

        Only the most urgent prompt counts as running. If all of them counted
        down, an engine slower than estimated would seem to have no queue.
        """
        waiting = [
            p for p in self.unanswered_requests if p.choice.prefill_cost_tokens
        ]
        first = min(waiting, key=lambda p: (p.rank, p.began_at))
        seconds = now - max(self.latest_first_output_at, first.began_at)
        limit = first.uncached_tokens * (1 - MIN_UNCACHED_FRACTION)
        done = min(limit, max(0.0, seconds) / prefill_token_seconds)
        load.add(first.rank, RankSum(uncached_tokens=done), -1)

"""Track this entry VM's requests at an endpoint and the load they cause."""

from dataclasses import dataclass
from dataclasses import field
import math

from burdockdrum.passthrough.beginnings import Fetch
from burdockdrum.passthrough.health import EndpointHealth
from burdockdrum.passthrough.prompts import Prompt
from burdockdrum.passthrough.waiting import RECENT_WINDOW_SECONDS
from burdockdrum.passthrough.waiting import Wait
from burdockdrum.registrations import Load
from burdockdrum.registrations import RankSum
from burdockdrum.registrations import RegisteredEndpoint

# Fraction of a prompt in prefill that always counts as unread, as the engine
# may be slower than estimated.
MIN_UNREAD_FRACTION = 0.1


@dataclass(frozen=True, kw_only=True)
class Choice:
    """An endpoint rated for a request.

    ``fetch`` is the prefix that it would fetch from another endpoint.
    ``offered_load`` is how many seconds of prefill all entry VMs send there
    per second, ``prefill_share`` the share of its time spent on prefill.
    ``queued_tokens`` are the unread tokens of other prompts there.
    ``reading_tokens`` is the prefill cost of the prompt, as the number of
    tokens of short prompts that take as long.
    """

    endpoint: RegisteredEndpoint
    wait: Wait
    unread_tokens: int
    fetch: Fetch | None = None
    offered_load: float = 0.0
    queued_tokens: float = 0.0
    reading_tokens: float = 0.0
    prefill_share: float = 0.0

    @property
    def fetch_from(self) -> str | None:
        """Return the address of the endpoint to fetch the prefix from."""
        return self.fetch.address if self.fetch is not None else None


@dataclass(kw_only=True, eq=False)
class Placement:
    """An in-flight request at an endpoint.

    ``parts`` counts the chunks of its response. Times are monotonic.
    """

    choice: Choice
    prompt: Prompt
    rank: int
    began_at: float
    first_output_at: float | None = None
    last_output_at: float | None = None
    parts: int = 0

    @property
    def endpoint(self) -> RegisteredEndpoint:
        """Return the endpoint that the request was sent to."""
        return self.choice.endpoint

    @property
    def unread_tokens(self) -> float:
        """Return the prefill cost of its prompt, 0 after the first chunk."""
        return (
            self.choice.reading_tokens if self.first_output_at is None else 0.0
        )


@dataclass(kw_only=True)
class EndpointState:
    """This entry VM's state of an endpoint, beside its registration.

    ``latest_first_output_at`` is when a response last sent its first chunk,
    ``idle_since`` when the endpoint last sent a chunk or got work while idle.
    """

    service: str
    health: EndpointHealth = field(default_factory=EndpointHealth)
    placements: set[Placement] = field(default_factory=set)
    recent_tokens_by_rank: dict[int, float] = field(default_factory=dict)
    recent_updated_at: float = 0.0
    latest_first_output_at: float = 0.0
    idle_since: float = 0.0

    def add_recent(self, now: float, rank: int, tokens: float) -> None:
        """Add tokens to the recent ones, which decay exponentially."""
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
        token_seconds: float,
        *,
        counts_progress: bool = True,
    ) -> Load:
        """Return this entry VM's load at the endpoint.

        :param token_seconds: prefill time of a token
        :param counts_progress: whether to subtract the estimated progress of
            the running prefill
        """
        load = Load()
        for placement in self.placements:
            rank_sum = load.of_rank(placement.rank)
            rank_sum.requests += 1
            if placement.first_output_at is None:
                unread = placement.unread_tokens
                rank_sum.waiting += unread > 0
                rank_sum.unread_tokens += unread
        if counts_progress:
            self._subtract_progress(load, now, token_seconds)
        self.add_recent(now, 0, 0.0)
        for rank, tokens in self.recent_tokens_by_rank.items():
            load.of_rank(rank).recent_tokens += tokens
        return load

    def _subtract_progress(
        self, load: Load, now: float, token_seconds: float
    ) -> None:
        """Subtract the estimated progress of the running prefill.

        Only the most urgent prompt counts as running. If all of them counted
        down, an engine slower than estimated would seem to have no queue.
        """
        waiting = [
            p
            for p in self.placements
            if p.first_output_at is None and p.unread_tokens
        ]
        if not waiting:
            return
        first = min(waiting, key=lambda p: (p.rank, p.began_at))
        seconds = now - max(self.latest_first_output_at, first.began_at)
        limit = first.unread_tokens * (1 - MIN_UNREAD_FRACTION)
        done = min(limit, max(0.0, seconds) / token_seconds)
        load.add(first.rank, RankSum(unread_tokens=done), -1)

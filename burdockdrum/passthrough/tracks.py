"""What an entry has under way at an endpoint."""

from dataclasses import dataclass
from dataclasses import field
import math

from burdockdrum.passthrough.beginnings import Fetch
from burdockdrum.passthrough.health import EndpointHealth
from burdockdrum.passthrough.prompts import Prompt
from burdockdrum.passthrough.waiting import RECENT_SECONDS
from burdockdrum.passthrough.waiting import Wait
from burdockdrum.registrations import Load
from burdockdrum.registrations import RankSum
from burdockdrum.registrations import RegisteredEndpoint

# Of the prompt that is read now, so much is left at the least.
MIN_LEFT_PART = 0.1


@dataclass(frozen=True, kw_only=True)
class Choice:
    """An endpoint, and when its first output is to be expected.

    ``fetch`` is what it gets from another one, if anything; ``pace`` is how
    many seconds of reading all entries send there in a second.
    ``ahead_tokens`` is what others of its prompts have unread, ``busy`` the
    share of its time in which it reads. ``reading_tokens`` are the tokens of
    short prompts that take as long to read as this one: each token of a long
    prompt takes longer than one of a short prompt.
    """

    endpoint: RegisteredEndpoint
    wait: Wait
    unread_tokens: int
    fetch: Fetch | None = None
    pace: float = 0.0
    ahead_tokens: float = 0.0
    reading_tokens: float = 0.0
    busy: float = 0.0

    @property
    def fetch_from(self) -> str | None:
        """Return the address of the endpoint that it fetches from."""
        return self.fetch.address if self.fetch is not None else None


@dataclass(kw_only=True, eq=False)
class Placement:
    """A request under way at an endpoint.

    ``read_at`` is when its first output came, ``last_at`` when the latest
    did, on the monotonic clock; ``parts`` counts them.
    """

    choice: Choice
    prompt: Prompt
    rank: int
    began_at: float
    read_at: float | None = None
    last_at: float | None = None
    parts: int = 0

    @property
    def endpoint(self) -> RegisteredEndpoint:
        """Return where it runs."""
        return self.choice.endpoint

    @property
    def unread_tokens(self) -> float:
        """Return what is to be read of it, as long as nothing came."""
        return self.choice.reading_tokens if self.read_at is None else 0.0


@dataclass(kw_only=True)
class Track:
    """What this entry knows of an endpoint beside its registration.

    ``first_at`` is when the latest first output came from it.
    """

    service: str
    health: EndpointHealth = field(default_factory=EndpointHealth)
    placements: set[Placement] = field(default_factory=set)
    recent_by_rank: dict[int, float] = field(default_factory=dict)
    recent_at: float = 0.0
    first_at: float = 0.0
    silent_since: float = 0.0

    def add_recent(self, now: float, rank: int, tokens: float) -> None:
        """Count what is sent now to be read; what was before fades."""
        faded = math.exp((self.recent_at - now) / RECENT_SECONDS)
        for known in self.recent_by_rank:
            self.recent_by_rank[known] *= faded
        self.recent_at = now
        before = self.recent_by_rank.get(rank, 0.0)
        self.recent_by_rank[rank] = before + tokens

    def load(
        self,
        now: float,
        token_seconds: float,
        *,
        counts_progress: bool = True,
    ) -> Load:
        """Return what this entry has under way there.

        :param token_seconds: how long a token of a prompt takes to read
        :param counts_progress: takes off what has been read since
        """
        load = Load()
        for placement in self.placements:
            part = load.of_rank(placement.rank)
            part.requests += 1
            if placement.read_at is None:
                unread = placement.unread_tokens
                part.waiting += unread > 0
                part.unread_tokens += unread
        if counts_progress:
            self._take_off_progress(load, now, token_seconds)
        self.add_recent(now, 0, 0.0)
        for rank, tokens in self.recent_by_rank.items():
            load.of_rank(rank).recent_tokens += tokens
        return load

    def _take_off_progress(
        self, load: Load, now: float, token_seconds: float
    ) -> None:
        """Count what has been read of the prompt that is read now.

        Only the one that must be read first is taken to be in work: were each
        to count down by itself, an engine that is slower than expected would
        seem to have nothing left to read.
        """
        waiting = [
            p for p in self.placements if p.read_at is None and p.unread_tokens
        ]
        if not waiting:
            return
        first = min(waiting, key=lambda p: (p.rank, p.began_at))
        seconds = now - max(self.first_at, first.began_at)
        most = first.unread_tokens * (1 - MIN_LEFT_PART)
        done = min(most, max(0.0, seconds) / token_seconds)
        load.add(first.rank, RankSum(unread_tokens=done), -1)

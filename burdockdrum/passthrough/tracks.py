"""What an entry has under way at an endpoint."""

from dataclasses import dataclass
from dataclasses import field
import math

from burdockdrum.passthrough.health import EndpointHealth
from burdockdrum.passthrough.waiting import RECENT_SECONDS
from burdockdrum.passthrough.waiting import Wait
from burdockdrum.registrations import Load
from burdockdrum.registrations import RegisteredEndpoint


@dataclass(kw_only=True)
class Track:
    """What this entry knows of an endpoint beside its registration."""

    health: EndpointHealth = field(default_factory=EndpointHealth)
    load: Load = field(default_factory=Load)
    recent_at: float = 0.0
    silent_since: float = 0.0

    def add_recent(self, now: float, seconds: float) -> None:
        """Count reading that is sent now; what was sent before fades."""
        faded = math.exp((self.recent_at - now) / RECENT_SECONDS)
        self.load.recent_seconds = self.load.recent_seconds * faded + seconds
        self.recent_at = now


@dataclass(frozen=True, kw_only=True)
class Choice:
    """An endpoint, and when its first output is to be expected.

    ``fetch_from`` is the address of one that holds what it lacks, ``pace``
    how many seconds of reading all entries send there in a second.
    """

    endpoint: RegisteredEndpoint
    wait: Wait
    unread_tokens: int
    fetch_from: str | None = None
    pace: float = 0.0


@dataclass(kw_only=True)
class Placement:
    """A request under way at an endpoint.

    ``reading_seconds`` is what its prompt is expected to take;
    ``read_at`` is when its first output came, on the monotonic clock.
    """

    endpoint: RegisteredEndpoint
    rank: int
    reading_seconds: float
    began_at: float
    read_at: float | None = None

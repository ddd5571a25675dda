"""Failure detection: when another VM counts as suspected or dead.

A VM's heartbeat is the growth of its publication's sequence, received directly
or through a third VM. Each VM decides for itself and ignores the verdicts of
others, so a VM with a fault of its own makes no other VM suspected.
"""

from dataclasses import dataclass
import enum

# Ticks without a direct message before third VMs are queried.
QUERY_TICKS = 1.5
SUSPECT_TICKS = 2.5
DEAD_TICKS = 4.0
# Margins for the delay of messages.
QUERY_MARGIN_SECONDS = 0.15
SUSPECT_MARGIN_SECONDS = 0.75
DEAD_MARGIN_SECONDS = 2.0
# A tick that is this late was delayed by a stall of this VM.
STALL_SECONDS = 0.3


class Health(enum.Enum):
    """The health of another VM."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    DEAD = "dead"


@dataclass(frozen=True, kw_only=True)
class IdleTimeouts:
    """Idle timeouts in seconds until a VM is queried, suspected or dead."""

    query: float
    suspect: float
    dead: float

    @classmethod
    def from_tick(cls, tick_seconds: float) -> "IdleTimeouts":
        """Return the timeouts for a tick interval."""
        return cls(
            query=QUERY_TICKS * tick_seconds + QUERY_MARGIN_SECONDS,
            suspect=SUSPECT_TICKS * tick_seconds + SUSPECT_MARGIN_SECONDS,
            dead=DEAD_TICKS * tick_seconds + DEAD_MARGIN_SECONDS,
        )


class Heartbeat:
    """The last heartbeats of one VM, on this VM's monotonic clock."""

    def __init__(self, *, now: float) -> None:
        """Create a heartbeat that counts as received now."""
        self.sequence = 0
        self.advanced_at = now
        self.direct_at = now

    def record(self, sequence: int, *, now: float, direct: bool) -> None:
        """Record a received sequence; only a higher one is a heartbeat."""
        if direct:
            self.direct_at = now
        if sequence > self.sequence:
            self.sequence = sequence
            self.advanced_at = now

    def discount_stall(self, seconds: float) -> None:
        """Exclude a time in which this VM itself was stalled.

        Otherwise a VM that was stalled for longer than the timeouts would
        declare all others dead when it resumes.
        """
        self.advanced_at += seconds
        self.direct_at += seconds

    def is_indirect(self, timeouts: IdleTimeouts, now: float) -> bool:
        """Return whether third VMs should be queried."""
        return now - self.direct_at > timeouts.query

    def health(self, timeouts: IdleTimeouts, now: float) -> Health:
        """Return the health according to the idle time."""
        idle_seconds = now - self.advanced_at
        if idle_seconds > timeouts.dead:
            return Health.DEAD
        if idle_seconds > timeouts.suspect:
            return Health.SUSPECTED
        return Health.ALIVE

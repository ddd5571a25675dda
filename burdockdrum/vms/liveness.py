"""When another VM counts as suspected or dead, by this VM's own evidence.

A VM's heartbeat is the growth of its publication's sequence, heard directly
or through any third VM. No VM is declared dead on another's word, so that
one with a fault of its own (a stalled loop, a broken link) accuses nobody.
"""

from dataclasses import dataclass
import enum

# Asking third VMs begins after so many ticks without a direct message.
ASK_TICKS = 1.5
SUSPECT_TICKS = 2.5
DEAD_TICKS = 4.0
# What a message may take beside the ticks.
ASK_EXTRA_SECONDS = 0.15
SUSPECT_EXTRA_SECONDS = 0.75
DEAD_EXTRA_SECONDS = 2.0
# A tick that comes so much late was held up by this VM itself.
STALL_SECONDS = 0.3


class Health(enum.Enum):
    """What this VM thinks of another."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    DEAD = "dead"


@dataclass(frozen=True, kw_only=True)
class Limits:
    """Seconds of silence until a VM is asked about, suspected, dead."""

    ask: float
    suspect: float
    dead: float

    @classmethod
    def from_tick(cls, tick_seconds: float) -> "Limits":
        """Return the limits that go with a tick."""
        return cls(
            ask=ASK_TICKS * tick_seconds + ASK_EXTRA_SECONDS,
            suspect=SUSPECT_TICKS * tick_seconds + SUSPECT_EXTRA_SECONDS,
            dead=DEAD_TICKS * tick_seconds + DEAD_EXTRA_SECONDS,
        )


class Heartbeat:
    """The signs of life of one VM, on this VM's monotonic clock."""

    def __init__(self, *, now: float) -> None:
        """Begin with a sign of life now."""
        self.sequence = 0
        self.advanced_at = now
        self.direct_at = now

    def note(self, sequence: int, *, now: float, direct: bool) -> None:
        """Take in a sequence that was heard; an old one is no sign."""
        if direct:
            self.direct_at = now
        if sequence > self.sequence:
            self.sequence = sequence
            self.advanced_at = now

    def excuse(self, seconds: float) -> None:
        """Leave out a time in which this VM itself heard nothing.

        Without this, a VM that was stalled for longer than the limit would
        wake up and declare every other one dead at once.
        """
        self.advanced_at += seconds
        self.direct_at += seconds

    def is_indirect(self, limits: Limits, now: float) -> bool:
        """Say whether third VMs should be asked."""
        return now - self.direct_at > limits.ask

    def health(self, limits: Limits, now: float) -> Health:
        """Judge the silence."""
        silence = now - self.advanced_at
        if silence > limits.dead:
            return Health.DEAD
        if silence > limits.suspect:
            return Health.SUSPECTED
        return Health.ALIVE

"""The public types: settings, state machine, roles and errors."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
import enum
from typing import Protocol


class LogError(Exception):
    """The base class of the errors of the replicated log."""


class NotAccepted(LogError):
    """A command was not applied and never will be.

    Raised only if that is certain: the command reached no log, or another
    entry was committed at its index.
    """


class OutcomeUnknown(LogError):
    """A command may have been applied, or may be applied later.

    The caller resends it with the same change id; the state machine must
    answer a known change id without applying the command again.
    """


class NotCurrent(LogError):
    """No quorum confirmed in time that a read is linearizable."""


class StateMachine(Protocol):
    """The state that commands change, replicated on every member."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a command and return its result.

        It must be deterministic: no clock, no random numbers, no ports.
        """
        ...

    def snapshot(self) -> bytes:
        """Return the whole state, including the known change ids."""
        ...

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state."""
        ...


@dataclass(frozen=True, kw_only=True)
class Applied:
    """The index and the result of a committed and applied command."""

    index: int
    result: bytes


class Role(enum.Enum):
    """The current role of a member.

    A ``HALTED`` member takes no part until its restart, because its disk was
    rolled back to an older state.
    """

    WAITING = "waiting to be added"
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
    HALTED = "halted"


@dataclass(frozen=True, kw_only=True)
class LogSettings:
    """The settings of one member.

    ``bootstrap_addresses_by_id`` names the control VMs of the first
    configuration, this one included. It is read only while the data folder
    is empty; it is empty on a VM that is to be added later.

    ``target_voter_count`` is the number of voters that the cluster maintains,
    0 if operators do; ``read_control_addresses`` returns the addresses of the
    control VMs that receive join requests.

    After a snapshot at most ``keep_entries`` entries before it are kept, and
    at most ``keep_bytes`` of their data, for members that are a little behind.

    ``max_clock_drift`` is the largest error of a VM's clock rate, as a
    fraction; the leader's lease depends on it.
    """

    vm_id: str
    bootstrap_addresses_by_id: Mapping[str, str] = field(default_factory=dict)
    target_voter_count: int = 0
    read_control_addresses: Callable[[], Iterable[str]] = tuple
    heartbeat_seconds: float = 0.25
    election_timeout_seconds: float = 1.2
    call_timeout_seconds: float = 0.6
    max_clock_drift: float = 0.01
    append_bytes: int = 256 * 1024
    snapshot_chunk_bytes: int = 256 * 1024
    max_command_bytes: int = 1024 * 1024
    max_uncommitted_entries: int = 4096
    snapshot_every_entries: int = 1000
    snapshot_every_bytes: int = 4 * 1024 * 1024
    keep_entries: int = 200
    keep_bytes: int = 4 * 1024 * 1024
    segment_bytes: int = 1024 * 1024

    @property
    def vote_timeout_seconds(self) -> float:
        """Return how long a candidate waits for a vote.

        A vote is synced before it is told. A disk whose syncs take longer
        than an election timeout counts as stalled.
        """
        return self.election_timeout_seconds

    @property
    def replacement_timeout_seconds(self) -> float:
        """Return after how long an unreachable voter is replaced.

        Two election timeouts: the voter may have been cut off only from a
        previous leader that is gone as well.
        """
        return 2 * self.election_timeout_seconds

    @property
    def lease_seconds(self) -> float:
        """Return for how long a quorum's replies extend the lease.

        A follower with a fast clock waits ``timeout / (1 + drift)`` true
        seconds before it votes; the lease of a leader with a slow clock
        lasts ``lease / (1 - drift)``. The second must not exceed the first.
        """
        drift = self.max_clock_drift
        return self.election_timeout_seconds * (1 - drift) / (1 + drift)

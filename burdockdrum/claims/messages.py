"""Messages between entry VMs, coordinators and claim replicas."""

import enum

import msgspec

from burdockdrum.peers import Message


class ClaimState(enum.Enum):
    """The state of the run that holds a claim."""

    GRANTED = "granted"
    LOST = "lost"
    RAN = "ran"


class ClaimRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A claim of one request on an idempotency key.

    ``owner`` is the id of the request, ``taken_at`` the wall time at which
    the claim was granted and ``seconds`` the longest time that the run may
    take. ``body`` is None if no answer is stored.
    """

    client_id: str
    key: str
    fingerprint: str
    owner: str
    taken_at: float
    seconds: float
    state: ClaimState = ClaimState.GRANTED
    status: int = 0
    content_type: str = ""
    headers: dict[str, str] = {}
    body: bytes | None = None

    @property
    def claim_id(self) -> tuple[str, str]:
        """Return the client id and key, which identify the claim."""
        return (self.client_id, self.key)


class Epoch(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A period in which the replicas together have lost no claim.

    ``former`` is the VM that began it, with a random number of its start.
    """

    number: int
    former: str


NO_EPOCH = Epoch(0, "")


class VoteOutcome(enum.Enum):
    """A replica's decision on a vote request."""

    GRANTED = "granted"
    TAKEN = "taken"
    UNKNOWN = "unknown"
    FULL = "full"
    NOT_READY = "not ready"


class VoteCall(Message, frozen=True, kw_only=True):
    """Request a vote; ``keepers`` are the ids of all replicas, sorted."""

    keepers: list[str]
    record: ClaimRecord


class VoteReply(Message, frozen=True, kw_only=True):
    """A vote, with the incarnations of other replicas known to the voter."""

    outcome: VoteOutcome
    vm_id: str
    incarnation: int
    epoch: Epoch
    incarnations: dict[str, int] = {}
    record: ClaimRecord | None = None


class SettleCall(Message, frozen=True, kw_only=True):
    """Report how a run ended; a ``state`` of None releases the claim."""

    client_id: str
    key: str
    owner: str
    state: ClaimState | None
    status: int = 0
    content_type: str = ""
    headers: dict[str, str] = {}
    body: bytes | None = None
    pass_on: bool = False


class SettleReply(Message, frozen=True, kw_only=True):
    """Whether the end of a run was recorded; False if it may be lost."""

    stored: bool = True


class RecoverCall(Message, frozen=True, kw_only=True):
    """Request a page of claims for a replica that recovers.

    ``after`` is the position at which the page begins.
    """

    vm_id: str
    incarnation: int
    after: int


class RecoverReply(Message, frozen=True, kw_only=True):
    """A page of claims; ``last`` is the next position, None at the end.

    A replica that is ``ready`` knows every claim of its epoch. One that
    ``waits_for_disk`` may be, once it could read its disk.
    """

    vm_id: str
    incarnation: int
    ready: bool
    waits_for_disk: bool = False
    epoch: Epoch
    incarnations: dict[str, int]
    formed_at: float
    new_clients: list[str]
    records: list[ClaimRecord]
    last: int | None


class EpochCall(Message, frozen=True, kw_only=True):
    """Begin a new epoch, as too many replicas lost their claims."""

    epoch: Epoch
    formed_at: float


class EpochReply(Message, frozen=True, kw_only=True):
    """Whether a replica has entered the epoch."""

    accepted: bool
    epoch: Epoch


class AcquireCall(Message, frozen=True, kw_only=True):
    """Request a claim from a coordinator in the client's home region."""

    wire_kind = "claims.TakeCall"

    record: ClaimRecord


class AcquireOutcome(enum.Enum):
    """The result of an attempt to acquire a claim."""

    GRANTED = "granted"
    TAKEN = "taken"
    UNKNOWN = "unknown"
    FULL = "full"
    UNREACHABLE = "unreachable"


class AcquireReply(Message, frozen=True, kw_only=True):
    """The result of the attempt, and the claim that prevents a grant."""

    wire_kind = "claims.TakeReply"

    outcome: AcquireOutcome
    record: ClaimRecord | None = None


class TicketCall(Message, frozen=True, kw_only=True):
    """Request a ticket from a VM of the client's home region."""


class TicketReply(Message, frozen=True, kw_only=True):
    """A key of the current epoch, or None if no replica is ready."""

    ticket: str | None

"""What entry VMs and keepers of claims tell each other."""

import enum

import msgspec

from burdockdrum.peers import Message


class ClaimState(enum.Enum):
    """What is known of the run that holds a claim."""

    GRANTED = "granted"
    LOST = "lost"
    RAN = "ran"


class ClaimRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One claim.

    ``owner`` is the id of the request that holds it, ``taken_at`` wall time
    and ``seconds`` how long the run may take. An answer is kept while there
    is room; ``body`` is None where there is none.
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
        """Return what names the claim."""
        return (self.client_id, self.key)


class Epoch(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A time through which the keepers together have forgotten nothing."""

    number: int
    former: str


NO_EPOCH = Epoch(0, "")


class VoteOutcome(enum.Enum):
    """What a keeper says to a request for a claim."""

    GRANTED = "granted"
    TAKEN = "taken"
    UNKNOWN = "unknown"
    FULL = "full"
    NOT_READY = "not ready"


class VoteCall(Message, frozen=True, kw_only=True):
    """Ask a keeper for its vote; ``keepers`` is the group asked."""

    keepers: list[str]
    record: ClaimRecord


class VoteReply(Message, frozen=True, kw_only=True):
    """A keeper's vote, and the starts of the others that it knows."""

    outcome: VoteOutcome
    vm_id: str
    incarnation: int
    epoch: Epoch
    incarnations: dict[str, int] = {}
    record: ClaimRecord | None = None


class SettleCall(Message, frozen=True, kw_only=True):
    """Tell how a run ended; without a state the claim is given back."""

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
    """The end of a run was noted."""


class RecoverCall(Message, frozen=True, kw_only=True):
    """A keeper that remembers nothing asks another for what it knows.

    ``after`` is the place from which the next page begins.
    """

    vm_id: str
    incarnation: int
    after: int


class RecoverReply(Message, frozen=True, kw_only=True):
    """One page of a keeper's claims; ``last`` is None after the end."""

    vm_id: str
    incarnation: int
    ready: bool
    epoch: Epoch
    incarnations: dict[str, int]
    formed_at: float
    new_clients: list[str]
    records: list[ClaimRecord]
    last: int | None


class EpochCall(Message, frozen=True, kw_only=True):
    """Begin an epoch, as too much was forgotten in the one before."""

    epoch: Epoch
    formed_at: float


class EpochReply(Message, frozen=True, kw_only=True):
    """Whether a keeper has entered an epoch."""

    accepted: bool
    epoch: Epoch


class TakeCall(Message, frozen=True, kw_only=True):
    """Ask a VM of the client's home region to obtain a claim."""

    record: ClaimRecord


class TakeOutcome(enum.Enum):
    """What became of the attempt to obtain a claim."""

    GRANTED = "granted"
    TAKEN = "taken"
    UNKNOWN = "unknown"
    FULL = "full"
    UNREACHABLE = "unreachable"


class TakeReply(Message, frozen=True, kw_only=True):
    """What became of the attempt, and the claim that stands in the way."""

    outcome: TakeOutcome
    record: ClaimRecord | None = None


class TicketCall(Message, frozen=True, kw_only=True):
    """Ask a VM of the client's home region for a ticket."""


class TicketReply(Message, frozen=True, kw_only=True):
    """A key of the present epoch, or None where no keeper is ready."""

    ticket: str | None

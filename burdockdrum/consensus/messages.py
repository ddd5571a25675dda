"""The messages between members.

Requests between members name the target cluster and disk, so that a VM with
another disk never replies in place of its former member.
"""

from burdockdrum.consensus.membership import Configuration
from burdockdrum.consensus.membership import Member
from burdockdrum.consensus.records import Entry
from burdockdrum.peers import Message


class MemberMessage(Message, frozen=True, kw_only=True):
    """The base class of requests from one member to another."""

    cluster_id: str
    target_disk_id: str
    term: int
    sender_id: str


class JoinRequest(Message, frozen=True, kw_only=True):
    """Asks the leader to add this VM with this disk as a member."""

    vm_id: str
    address: str
    disk_id: str
    incarnation: int


class VoteRequest(MemberMessage, frozen=True, kw_only=True):
    """Requests a vote.

    A ``trial`` is a pre-vote, which changes no state. A ``transfer`` was
    requested by the leader, which has given up its lease, so the receiver
    may vote despite it. ``waived_start`` is the receiver's start id from a
    pre-vote in which every voter replied that it does not lead, 0 if there
    was none: a lease from before that start no longer binds the receiver.
    ``target_id`` is the VM whose disk the request is for.
    """

    target_id: str = ""
    sender_disk_id: str
    last_index: int
    last_term: int
    trial: bool = False
    transfer: bool = False
    waived_start: int = 0


class VoteReply(Message, frozen=True, kw_only=True):
    """Grants or denies a vote.

    ``start`` identifies the current start of the member. ``leads`` says
    whether it is the leader; ``only_restarted`` that it denies the vote only
    because of a lease that may date from before its restart.
    """

    term: int
    granted: bool
    start: int = 0
    leads: bool = True
    only_restarted: bool = False


class AppendRequest(MemberMessage, frozen=True, kw_only=True):
    """Entries after ``previous_index``; a heartbeat if there are none."""

    previous_index: int
    previous_term: int
    commit_index: int
    entries: list[Entry]


class AppendReply(Message, frozen=True, kw_only=True):
    """The state of the follower's synced log.

    If not ``accepted``, the leader retries from ``retry_index``. If not
    ``counts``, the follower stores entries but is in no quorum yet. With a
    ``refusal``, why its disk is blocked, it only acknowledges the contact.
    """

    term: int
    accepted: bool
    counts: bool
    last_index: int
    match_index: int = 0
    retry_index: int = 0
    refusal: str = ""


class SnapshotRequest(MemberMessage, frozen=True, kw_only=True):
    """One chunk of a snapshot."""

    index: int
    index_term: int
    configuration: Configuration
    digest: bytes
    size: int
    offset: int
    data: bytes


class SnapshotReply(Message, frozen=True, kw_only=True):
    """The offset that the follower needs next; ``size`` once it is done.

    With a ``refusal``, why its disk is blocked, it only acknowledges the
    contact.
    """

    term: int
    next_offset: int
    done: bool
    counts: bool
    refusal: str = ""


class RollbackNotice(MemberMessage, frozen=True, kw_only=True):
    """Notifies a member that its disk lost acknowledged entries."""

    acknowledged_index: int
    found_index: int


class LeadRequest(MemberMessage, frozen=True, kw_only=True):
    """Asks a follower to start an election at once (TimeoutNow)."""


class LeadReply(Message, frozen=True, kw_only=True):
    """Confirms a ``LeadRequest``."""

    term: int


class ProposeRequest(Message, frozen=True, kw_only=True):
    """Forwards a command to the leader of a term.

    The term makes a rejection final: a member that no longer leads in it
    never will again. The number identifies duplicates.
    """

    number: int
    term: int
    command: bytes
    timeout: float


class ProposeReply(Message, frozen=True, kw_only=True):
    """The outcome of a command; ``refused`` is final for its term."""

    index: int = 0
    result: bytes = b""
    refused: bool = False
    unknown: bool = False
    reason: str = ""


class MemberChangeRequest(Message, frozen=True, kw_only=True):
    """Asks the leader of a term to add a learner.

    Without a learner, the VM's member is removed. The reply is a
    ``ProposeReply``.
    """

    number: int
    term: int
    vm_id: str
    learner: Member | None
    timeout: float


class ReadRequest(Message, frozen=True, kw_only=True):
    """Asks the leader for the index that a linearizable read needs."""

    timeout: float


class ReadReply(Message, frozen=True, kw_only=True):
    """The read index, or None if it could not be confirmed."""

    index: int | None


class FoundingQuery(Message, frozen=True, kw_only=True):
    """Asks a control VM for the state of its bootstrap."""


class FoundingReply(Message, frozen=True, kw_only=True):
    """A VM's disk, and the first configuration that it has accepted."""

    vm_id: str
    disk_id: str
    founding: Configuration | None
    formed: bool


class FoundingProposal(Message, frozen=True, kw_only=True):
    """Proposes the first configuration to a founder."""

    founding: Configuration


class DiskStateQuery(Message, frozen=True, kw_only=True):
    """Asks for the newest log position that a disk has acknowledged."""

    wire_kind = "consensus.WitnessQuery"

    disk_id: str


class DiskStateReply(Message, frozen=True, kw_only=True):
    """The newest term and index that the disk acknowledged, 0 if none.

    Also the configuration of the replying member and the end of its log, as
    the requesting member may know only members that are gone.
    """

    wire_kind = "consensus.WitnessReply"

    own_disk_id: str
    term: int
    index: int
    configuration: Configuration
    last_term: int
    last_index: int

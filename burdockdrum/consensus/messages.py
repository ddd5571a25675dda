"""What the members tell each other.

Each message names the cluster and the disk that it is meant for, so that a
VM with another disk never answers in the place of the member that it was.
"""

from burdockdrum.consensus.membership import Configuration
from burdockdrum.consensus.membership import Member
from burdockdrum.consensus.records import Entry
from burdockdrum.peers import Message


class MemberMessage(Message, frozen=True, kw_only=True):
    """The base class of what goes from one member to another."""

    cluster_id: str
    target_disk_id: str
    term: int
    sender_id: str


class JoinRequest(Message, frozen=True, kw_only=True):
    """Ask the leader for a place among the members, with the disk named."""

    vm_id: str
    address: str
    disk_id: str
    incarnation: int


class VoteRequest(MemberMessage, frozen=True, kw_only=True):
    """Ask for a vote.

    A ``trial`` (pre-vote) asks whether the vote would be given, and changes
    nothing. A ``transfer`` was caused by the leader itself, which gave up
    its lease before, so the promise not to vote does not hold for it.
    ``waived_start`` is the start of the receiver at which it was asked in a
    trial in which every voter said that it does not lead: what it may have
    promised to a leader before that start no longer holds. 0 if not so.
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
    """Give or refuse a vote.

    ``start`` is a number of this start of the member. ``leads`` says whether
    it leads; ``only_restarted`` that it refuses for nothing but what it may
    have promised before its restart.
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
    """What the follower holds on its synced disk.

    If not ``accepted``, the leader tries again from ``retry_index``. A
    follower that does not count yet takes entries but is in no quorum.
    """

    term: int
    accepted: bool
    counts: bool
    last_index: int
    match_index: int = 0
    retry_index: int = 0


class SnapshotRequest(MemberMessage, frozen=True, kw_only=True):
    """One part of a snapshot."""

    index: int
    index_term: int
    configuration: Configuration
    digest: bytes
    size: int
    offset: int
    data: bytes


class SnapshotReply(Message, frozen=True, kw_only=True):
    """The offset that the follower wants next; ``size`` once it is done."""

    term: int
    next_offset: int
    done: bool
    counts: bool


class RollbackNotice(MemberMessage, frozen=True, kw_only=True):
    """Tell a member that its disk holds less than it acknowledged."""

    acknowledged_index: int
    found_index: int


class LeadRequest(MemberMessage, frozen=True, kw_only=True):
    """Ask a follower to stand for election at once (TimeoutNow)."""


class LeadReply(Message, frozen=True, kw_only=True):
    """Say that the request came."""

    term: int


class ProposeRequest(Message, frozen=True, kw_only=True):
    """Pass a command on to the leader of a term.

    The term makes a refusal final: who leads no longer in it never will
    again. The number tells copies of this message from others.
    """

    number: int
    term: int
    command: bytes
    timeout: float


class ProposeReply(Message, frozen=True, kw_only=True):
    """What became of a command; ``refused`` is final for its term."""

    index: int = 0
    result: bytes = b""
    refused: bool = False
    unknown: bool = False
    reason: str = ""


class MemberChangeRequest(Message, frozen=True, kw_only=True):
    """Ask the leader of a term to add a learner.

    Without one the member of the VM is removed. A ``ProposeReply`` answers.
    """

    number: int
    term: int
    vm_id: str
    learner: Member | None
    timeout: float


class ReadRequest(Message, frozen=True, kw_only=True):
    """Ask the leader up to where a current read has to have applied."""

    timeout: float


class ReadReply(Message, frozen=True, kw_only=True):
    """The index, or None if it could not be confirmed."""

    index: int | None


class FoundingQuery(Message, frozen=True, kw_only=True):
    """Ask a control VM what it knows of the cluster."""


class FoundingReply(Message, frozen=True, kw_only=True):
    """A VM's disk, and what it promised or knows to be founded."""

    vm_id: str
    disk_id: str
    founding: Configuration | None
    formed: bool


class FoundingProposal(Message, frozen=True, kw_only=True):
    """Ask for the promise to take part in a founding configuration."""

    founding: Configuration


class WitnessQuery(Message, frozen=True, kw_only=True):
    """Ask what was seen of a disk before it started again."""

    disk_id: str


class WitnessReply(Message, frozen=True, kw_only=True):
    """The newest term and index that the disk acknowledged, 0 if none.

    Also the configuration that the answering member knows, and where its
    log ends, as the other one may know only members that are gone.
    """

    own_disk_id: str
    term: int
    index: int
    configuration: Configuration
    last_term: int
    last_index: int

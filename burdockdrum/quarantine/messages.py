"""What VMs tell each other about requests under suspicion."""

import msgspec

from burdockdrum.peers import Message


class LossNote(Message, frozen=True, kw_only=True):
    """An endpoint was lost while it ran a request.

    ``pass_on`` asks the relay of a data centre to tell the VMs there.
    """

    fingerprint: str
    endpoint_id: str
    incarnation: int
    pass_on: bool = False


class ClearNote(Message, frozen=True, kw_only=True):
    """A request is no longer suspect: it completed, or was lifted."""

    fingerprint: str
    lifted: bool
    pass_on: bool = False


class TrialCall(Message, frozen=True, kw_only=True):
    """Ask the keeper of a data centre to let a suspect run."""

    fingerprint: str
    endpoint_id: str


class TrialReply(Message, frozen=True, kw_only=True):
    """Whether a suspect may run now."""

    granted: bool


class TrialEnd(Message, frozen=True, kw_only=True):
    """A suspect's run has ended."""

    fingerprint: str
    endpoint_id: str


class QuarantineEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One fingerprint as an operator sees it."""

    fingerprint: str
    quarantined: bool
    lost_endpoints: list[str]
    seconds_left: float

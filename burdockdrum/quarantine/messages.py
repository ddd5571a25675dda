"""Messages between VMs about suspected requests."""

import msgspec

from burdockdrum.peers import Message

# Of a request for a trial by an older version of this program.
DEFAULT_TRIAL_SECONDS = 120.0


class EndpointLost(Message, frozen=True, kw_only=True):
    """Reports that an endpoint was lost while it ran a request.

    ``parts`` are the fingerprints of the parts of its prompt. ``pass_on`` asks
    the relay of a data centre to forward it to the VMs there.
    """

    wire_kind = "quarantine.LossNote"

    fingerprint: str
    endpoint_id: str
    incarnation: int
    pass_on: bool = False
    parts: list[str] = []


class SuspectCleared(Message, frozen=True, kw_only=True):
    """Clears suspects that have run, or that an operator lifted.

    ``fingerprint`` is that of a request, empty if only ``parts`` of prompts
    are cleared. The run began to write ``seconds`` ago; crashes of parts since
    go on counting.
    """

    wire_kind = "quarantine.ClearNote"

    fingerprint: str
    lifted: bool
    pass_on: bool = False
    parts: list[str] = []
    seconds: float = 0.0


class TrialRequest(Message, frozen=True, kw_only=True):
    """Asks the coordinator of a data centre to let a suspect run.

    ``seconds`` is the longest time that the run may take.
    """

    wire_kind = "quarantine.TrialCall"

    fingerprint: str
    endpoint_id: str
    seconds: float = DEFAULT_TRIAL_SECONDS


class TrialReply(Message, frozen=True, kw_only=True):
    """Says whether a suspect may run now."""

    granted: bool


class TrialEnd(Message, frozen=True, kw_only=True):
    """Reports that the run of a suspect has ended."""

    fingerprint: str
    endpoint_id: str


class QuarantineEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A suspected or quarantined fingerprint, as shown to operators."""

    fingerprint: str
    quarantined: bool
    lost_endpoints: list[str]
    seconds_left: float

"""Why a response that had begun did not come to its end."""

import enum

from burdockdrum.passthrough.protocol.model import ErrorResponse
from burdockdrum.passthrough.protocol.model import Lost
from burdockdrum.passthrough.protocol.model import Outcome
from burdockdrum.passthrough.protocol.model import ProxiedRequest
from burdockdrum.passthrough.protocol.model import RequestProgress
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode


class CutCause(enum.Enum):
    """Why no attempt went on with a response; a label of metrics and logs."""

    DEADLINE = "deadline"
    # The endpoint ended it, and no other one may go on with it.
    NOT_RESUMABLE = "not_resumable"
    ATTEMPTS_USED = "attempts_used"
    RETRY_BUDGET = "retry_budget"
    # Another endpoint answered with an error of the request.
    REJECTED = "rejected"
    NO_TARGET = "no_target"
    # The request may crash endpoints.
    QUARANTINED = "quarantined"
    STOPPING = "stopping"


class ResponseTruncated(Exception):
    """A response was truncated after part of it had been forwarded."""

    def __init__(self, reason: str, cause: CutCause) -> None:
        """Create it with a readable reason."""
        super().__init__(reason)
        self.cause = cause


def find_cut_cause(
    request: ProxiedRequest,
    progress: RequestProgress,
    outcome: Outcome,
    now: float,
) -> CutCause:
    """Return why no other attempt follows one that has failed.

    :param now: the monotonic time
    """
    if request.deadline <= now:
        return CutCause.DEADLINE
    match outcome:
        case Lost(timed_out=True):
            return CutCause.DEADLINE
        case ErrorResponse(head=head) if head.status < 500:
            return CutCause.REJECTED
    if not request.is_resumable:
        return CutCause.NOT_RESUMABLE
    if progress.runs >= request.attempts:
        return CutCause.ATTEMPTS_USED
    return CutCause.RETRY_BUDGET


def cause_of_refusal(refusal: Refusal) -> CutCause:
    """Return why a refusal cut a response that had begun."""
    match refusal.code:
        case RefusalCode.QUARANTINED:
            return CutCause.QUARANTINED
        case RefusalCode.DRAINING:
            return CutCause.STOPPING
        case RefusalCode.DEADLINE:
            return CutCause.DEADLINE
    return CutCause.NO_TARGET

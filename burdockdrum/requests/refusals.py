"""Refusals of requests without an answer, and what they say."""

from burdockdrum.requests.attempts import AttemptFailed
from burdockdrum.routing import AttemptOutcome
from burdockdrum.routing import Unroutable
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict

# Refusals that concern one entry VM and not its whole data centre.
ENTRY_SPECIFIC_CODES = frozenset(
    {RefusalCode.DRAINING, RefusalCode.CONFIGURATION_STALE}
)


def refuse_past_deadline() -> Refusal:
    """Return the refusal of a request whose deadline has passed."""
    return Refusal(
        code=RefusalCode.DEADLINE,
        message="the deadline has passed",
        verdict=Verdict.NOT_RUN,
    )


def is_entry_specific(failure: AttemptFailed) -> bool:
    """Return whether another entry VM of the data centre may succeed."""
    if failure.outcome is AttemptOutcome.UNREACHABLE:
        return True
    return failure.refusal.code in ENTRY_SPECIFIC_CODES


def is_overloaded(failure: AttemptFailed) -> bool:
    """Return whether a data centre refused a request as it is full."""
    refusal = failure.refusal
    is_full = refusal.code is RefusalCode.OVERLOADED
    return is_full and refusal.verdict is Verdict.NOT_RUN


def refuse_unroutable(unroutable: Unroutable, last: Refusal | None) -> Refusal:
    """Return the refusal of a request without a target.

    :param last: the refusal of the last attempt, if there was one
    """
    code = RefusalCode.OVERLOADED
    if last is not None:
        # The last failure is more specific than the lack of alternatives.
        code = last.code
    elif unroutable.loop:
        code = RefusalCode.LOOP
    elif unroutable.no_endpoint:
        code = RefusalCode.NO_ENDPOINT
    elif unroutable.missed_deadline:
        code = RefusalCode.DEADLINE
    return Refusal(
        code=code,
        message=unroutable.message,
        verdict=Verdict.NOT_RUN,
        retry_after=unroutable.retry_after,
    )

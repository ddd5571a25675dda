"""Tell a caller what is known of the run that holds its key."""

from burdockdrum.claims.coordinator import StoredAnswer
from burdockdrum.claims.messages import ClaimRecord
from burdockdrum.claims.messages import ClaimState
from burdockdrum.claims.messages import TakeOutcome
from burdockdrum.claims.messages import TakeReply
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict

PROGRESS_RETRY_SECONDS = 1.0


def explain(
    reply: TakeReply, wanted: ClaimRecord, *, now: float
) -> StoredAnswer:
    """Return the answer that a key has brought already.

    :param now: wall time
    :raises Refusal: if there is none to give
    """
    known = reply.record
    if reply.outcome is TakeOutcome.TAKEN and known is not None:
        return _explain_taken(known, wanted, now=now)
    match reply.outcome:
        case TakeOutcome.UNKNOWN:
            raise _refuse(
                RefusalCode.CLAIM_UNKNOWN,
                "the keepers of claims have restarted and can't tell whether "
                "this key was used before; get one from POST /v1/tickets "
                "for a request that was never sent",
            )
        case TakeOutcome.FULL:
            raise _refuse(
                RefusalCode.OVERLOADED,
                "the keepers of claims have no room for another key",
                retry_after=60.0,
            )
        case _:
            raise _refuse(
                RefusalCode.CLAIM_UNREACHABLE,
                "too few keepers of claims in the client's home region "
                "answered; not run here, but an earlier copy may have run",
                retry_after=2.0,
            )


def _explain_taken(
    known: ClaimRecord, wanted: ClaimRecord, *, now: float
) -> StoredAnswer:
    if known.fingerprint != wanted.fingerprint:
        raise _refuse(
            RefusalCode.CLAIM_MISMATCH,
            "the key was used for a request with another content",
        )
    if known.state is ClaimState.RAN:
        if known.body is not None:
            return StoredAnswer(
                status=known.status,
                content_type=known.content_type,
                headers=known.headers,
                body=known.body,
            )
        raise _refuse(
            RefusalCode.CLAIM_UNKNOWN,
            "the request ran, and its answer is not kept any more",
            verdict=Verdict.RAN,
        )
    late = now > known.taken_at + known.seconds
    if known.state is ClaimState.LOST or late:
        raise _refuse(
            RefusalCode.ENDPOINT_LOST,
            "the first run under this key was lost; it won't run again",
        )
    raise _refuse(
        RefusalCode.CLAIM_IN_PROGRESS,
        "the request is being run under this key; ask again for its answer",
        retry_after=PROGRESS_RETRY_SECONDS,
    )


def _refuse(
    code: RefusalCode,
    message: str,
    *,
    verdict: Verdict = Verdict.MAY_HAVE_RUN,
    retry_after: float | None = None,
) -> Refusal:
    return Refusal(
        code=code,
        message=message,
        verdict=verdict,
        retry_after=retry_after,
    )

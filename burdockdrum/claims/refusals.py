"""Replay the stored answer of a key, or refuse with the claim's state."""

from burdockdrum.claims.coordinator import StoredAnswer
from burdockdrum.claims.messages import AcquireOutcome
from burdockdrum.claims.messages import AcquireReply
from burdockdrum.claims.messages import ClaimRecord
from burdockdrum.claims.messages import ClaimState
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict

IN_PROGRESS_RETRY_SECONDS = 1.0


def replay_or_refuse(
    reply: AcquireReply, wanted: ClaimRecord, *, now: float
) -> StoredAnswer:
    """Return the stored answer of a key for which no claim was granted.

    :param now: wall time
    :raises Refusal: if no answer is stored
    """
    known = reply.record
    if reply.outcome is AcquireOutcome.TAKEN and known is not None:
        return _replay_held(known, wanted, now=now)
    match reply.outcome:
        case AcquireOutcome.UNKNOWN:
            raise _refuse(
                RefusalCode.CLAIM_UNKNOWN,
                "the claim replicas have restarted and can't tell whether "
                "this key was used before; for a request that was never sent "
                "get a key from POST /v1/tickets",
            )
        case AcquireOutcome.FULL:
            raise _refuse(
                RefusalCode.OVERLOADED,
                "the claim replicas have reached their limit of keys",
                retry_after=60.0,
            )
        case _:
            raise _refuse(
                RefusalCode.CLAIM_UNREACHABLE,
                "too few claim replicas in the client's home region can "
                "vote; this request was not run, but an earlier one with "
                "the same key may have run",
                retry_after=2.0,
            )


def _replay_held(
    known: ClaimRecord, wanted: ClaimRecord, *, now: float
) -> StoredAnswer:
    if known.fingerprint != wanted.fingerprint:
        raise _refuse(
            RefusalCode.CLAIM_MISMATCH,
            "the key was used for a request with different content",
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
            "the request ran, but its answer is no longer stored",
            verdict=Verdict.RAN,
        )
    late = now > known.taken_at + known.seconds
    if known.state is ClaimState.LOST or late:
        raise _refuse(
            RefusalCode.ENDPOINT_LOST,
            "the request with this key was lost while it ran; it will not "
            "run again",
        )
    raise _refuse(
        RefusalCode.CLAIM_IN_PROGRESS,
        "a request with this key is still running; retry for its answer",
        retry_after=IN_PROGRESS_RETRY_SECONDS,
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

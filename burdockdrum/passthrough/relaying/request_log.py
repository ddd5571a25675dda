"""Log lines about the attempts and the outcome of a request."""

from collections.abc import Callable
import functools

from burdockdrum.logs import log_decision
from burdockdrum.logs import log_failure
from burdockdrum.logs import log_record
from burdockdrum.logs import Value
from burdockdrum.passthrough.protocol import Delivered
from burdockdrum.passthrough.protocol import EndpointTarget
from burdockdrum.passthrough.protocol import Lost
from burdockdrum.passthrough.protocol import NotStarted
from burdockdrum.passthrough.protocol import Outcome
from burdockdrum.passthrough.protocol import ProxiedRequest
from burdockdrum.passthrough.protocol import RegionTarget
from burdockdrum.passthrough.protocol import RequestProgress
from burdockdrum.passthrough.protocol import ResponseTruncated
from burdockdrum.passthrough.protocol import Target
from burdockdrum.passthrough.relaying.running_attempts import Attempt
from burdockdrum.passthrough.state import InFlightRequest
from burdockdrum.verdicts import Refusal


def log_attempt(
    target: Target,
    request: ProxiedRequest,
    progress: RequestProgress,
    outcome: Outcome,
    *,
    started_at: float,
    sent_at: float | None,
    first_byte_seconds: float | None,
    now: float,
) -> None:
    """Log an attempt: its target, the estimates behind it and its outcome.

    Those of a request that may run once are not sampled.

    :param started_at: when the attempt started, on the monotonic clock
    :param sent_at: when the request was written; None if it was not
    :param first_byte_seconds: from then to the first byte of the response
    """
    if first_byte_seconds is not None and first_byte_seconds < 0:
        # The first byte came from an earlier attempt.
        first_byte_seconds = None
    _choose_log(request, is_failure=not isinstance(outcome, Delivered))(
        "request.attempted",
        request_id=request.request_id,
        route=request.route.name,
        generation=request.revision,
        team=request.team,
        rank=request.route.rank,
        **_describe(target, request),
        prompt_tokens=request.prompt.tokens,
        shared_tokens=request.prompt.shared_tokens,
        expected_output=request.prompt.expected_output_tokens,
        last_event=progress.last_event,
        began_as=request.began_as,
        within_share=progress.is_within_share,
        outcome=outcome.log_name,
        reason=getattr(outcome, "reason", None),
        not_run_status=outcome.status
        if isinstance(outcome, NotStarted)
        else None,
        sent=progress.sent,
        hop=request.forwarded_from is not None,
        fingerprint=request.fingerprint if isinstance(outcome, Lost) else None,
        written_after=None
        if sent_at is None
        else _round(sent_at - started_at),
        first_seconds=None
        if first_byte_seconds is None
        else _round(first_byte_seconds),
        longest_pause=_round(progress.longest_gap_seconds),
        seconds=_round(now - started_at),
        since_received=_round(now - request.received_at),
    )


def log_refusal(
    refusal: Refusal,
    request: ProxiedRequest | None,
    progress: RequestProgress,
    *,
    request_id: str,
    status: int,
    is_hop: bool,
) -> None:
    """Log that a request is refused, and what was sent of it before.

    :param request: None if it could not be read
    :param status: of the response
    """
    was_sent = progress.sent > 0 and request is not None
    _choose_log(request if was_sent else None, is_failure=True)(
        "request.refused",
        request_id=request_id,
        route=request.route.name if request else None,
        generation=request.revision if request else None,
        team=request.team if request else None,
        code=refusal.code.value,
        verdict=refusal.verdict.value,
        status=status,
        reason=refusal.message,
        retry_after=None
        if refusal.retry_after is None
        else _round(refusal.retry_after),
        hop=is_hop,
        sent=progress.sent,
        runs=progress.runs,
        at_work=", ".join(progress.at_work),
    )


def log_sent_again(
    target: Target, request: ProxiedRequest, progress: RequestProgress
) -> None:
    """Log that a request which may run once is sent to another target.

    ``reason`` says why it has not run at the one before.
    """
    if request.is_retryable or not progress.sent:
        return
    log_record(
        "request.sent_again",
        is_failure=False,
        request_id=request.request_id,
        route=request.route.name,
        **_describe(target, request),
        reason=progress.last_reason,
        sent=progress.sent,
        hop=request.forwarded_from is not None,
    )


def log_stalled(target: Target, request: ProxiedRequest) -> None:
    """Log that an attempt is silent and another one may start beside it."""
    log_decision(
        "attempt.stalled",
        request_id=request.request_id,
        route=request.route.name,
        **_describe(target, request),
    )


def log_overlap(
    request: ProxiedRequest, ended: Attempt, other: Attempt, seconds: float
) -> None:
    """Log that two attempts ran beside each other until one ended."""
    log_decision(
        "attempts.overlapped",
        request_id=request.request_id,
        ended=describe_attempt(ended),
        other=describe_attempt(other),
        seconds=_round(seconds),
    )


def log_slow_start(
    sent: InFlightRequest, request: ProxiedRequest, *, since_assigned: float
) -> None:
    """Log that a request is written to an endpoint in slow start.

    :param since_assigned: seconds since the endpoint was chosen for it
    """
    log_decision(
        "request.sent_in_slow_start",
        request_id=request.request_id,
        place=sent.endpoint.endpoint_id,
        has_permit=sent.has_slow_start_permit,
        since_assigned=_round(since_assigned),
    )


def log_withdrawn(target: Target, request: ProxiedRequest) -> None:
    """Log that an attempt ends as a stalled one beside it may be at work."""
    log_decision(
        "attempt.withdrawn",
        request_id=request.request_id,
        route=request.route.name,
        **_describe(target, request),
    )


def log_not_replaced(request: ProxiedRequest, reason: str) -> None:
    """Log that no target accepts a request whose attempt has stalled."""
    log_decision(
        "attempt.not_replaced", request_id=request.request_id, reason=reason
    )


def describe_attempt(attempt: Attempt) -> str:
    """Return the target of an attempt that runs, and what it does."""
    state = "stalled" if attempt.is_stalled else "running"
    match attempt.target:
        case EndpointTarget(choice=choice):
            return f"{choice.endpoint.endpoint_id} {state}"
        case RegionTarget(vm_id=vm_id):
            return f"{vm_id} {state}"
        case None:
            return "no target yet"


def log_cut(
    request: ProxiedRequest,
    progress: RequestProgress,
    error: ResponseTruncated,
    *,
    generation_in_force: int | None,
    now: float,
) -> None:
    """Log that a response that had begun did not come to its end."""
    target = progress.target
    _choose_log(request, is_failure=True)(
        "request.cut",
        request_id=request.request_id,
        route=request.route.name,
        team=request.team,
        cause=error.cause.value,
        reason=str(error),
        **(_describe(target, request) if target is not None else {}),
        at_work=", ".join(progress.at_work),
        runs=progress.runs,
        attempts=request.attempts,
        last_event=progress.last_event,
        since_received=_round(now - request.received_at),
        seconds_left=_round(request.deadline - now),
        generation=request.revision,
        generation_in_force=generation_in_force,
        hop=request.forwarded_from is not None,
    )


def log_disconnect(
    request: ProxiedRequest, progress: RequestProgress, now: float
) -> None:
    """Log the progress of a request whose caller disconnected."""
    received_at = request.received_at
    first_at = progress.first_chunk_at
    last_at = progress.last_chunk_at or first_at
    target = progress.target
    _choose_log(request, is_failure=True)(
        "request.left",
        request_id=request.request_id,
        route=request.route.name,
        team=request.team,
        **(_describe(target, request) if target is not None else {}),
        prompt_tokens=request.prompt.tokens,
        expected_output=request.prompt.expected_output_tokens,
        parts=progress.chunks_sent,
        first_part=None
        if first_at is None
        else _round(first_at - received_at),
        last_part=None if last_at is None else _round(last_at - received_at),
        longest_pause=_round(progress.longest_gap_seconds),
        sent=progress.sent,
        at_work=", ".join(progress.at_work),
        since_received=_round(now - received_at),
        seconds_left=_round(request.deadline - now),
    )


def _describe(target: Target, request: ProxiedRequest) -> dict[str, Value]:
    """Return the target of an attempt and the estimates for it."""
    match target:
        case EndpointTarget(choice=choice):
            return {
                "place": choice.endpoint.endpoint_id,
                "software_version": choice.endpoint.software_version,
                "expected_wait": _round(choice.wait.total),
                "expected_queue": _round(choice.wait.queue),
                "expected_own": _round(choice.wait.service_time),
                "expected_finish": _round(choice.wait.until_complete),
                "unread_tokens": choice.uncached_tokens,
                "fetch_from": choice.fetch_from,
                "skipped_at_limit": choice.skipped_at_limit,
                "skipped_in_backoff": choice.skipped_in_backoff,
                "has_permit": choice.has_permit,
            }
        case RegionTarget(vm_id=vm_id):
            return {
                "place": vm_id,
                "expected_wait": _round(target.wait_seconds),
                "unread_tokens": request.prompt.tokens,
            }


def _choose_log(
    request: ProxiedRequest | None, *, is_failure: bool
) -> Callable[..., None]:
    """Return how a line about a request is written.

    :param request: None if its line may be left out under load
    """
    if request is not None and not request.is_retryable:
        return functools.partial(log_record, is_failure=is_failure)
    return log_failure if is_failure else log_decision


def _round(seconds: float) -> float:
    return round(seconds, 4)

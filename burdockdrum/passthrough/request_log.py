"""Log lines about the attempts and the outcome of a request."""

from burdockdrum.logs import log_decision
from burdockdrum.logs import log_failure
from burdockdrum.logs import Value
from burdockdrum.passthrough.model import Delivered
from burdockdrum.passthrough.model import EndpointPlace
from burdockdrum.passthrough.model import Outcome
from burdockdrum.passthrough.model import PassedRequest
from burdockdrum.passthrough.model import Place
from burdockdrum.passthrough.model import Progress
from burdockdrum.passthrough.model import RegionPlace


def log_attempt(
    place: Place,
    request: PassedRequest,
    progress: Progress,
    outcome: Outcome,
    *,
    started_at: float,
    first_byte_seconds: float | None,
    now: float,
) -> None:
    """Log an attempt: its target, the estimates behind it and its outcome.

    :param started_at: when the attempt started, on the monotonic clock
    :param first_byte_seconds: from then to the first byte of the response
    """
    write_log = log_decision if isinstance(outcome, Delivered) else log_failure
    if first_byte_seconds is not None and first_byte_seconds < 0:
        # The first byte came from an earlier attempt.
        first_byte_seconds = None
    write_log(
        "request.attempted",
        request_id=request.request_id,
        route=request.route.name,
        generation=request.revision,
        team=request.team,
        rank=request.route.rank,
        **_describe(place, request),
        prompt_tokens=request.prompt.tokens,
        shared_tokens=request.prompt.shared_tokens,
        expected_output=request.prompt.expected_output,
        last_event=progress.last_event,
        outcome=outcome.log_name,
        reason=getattr(outcome, "reason", None),
        first_seconds=None
        if first_byte_seconds is None
        else _round(first_byte_seconds),
        longest_pause=_round(progress.longest_pause),
        seconds=_round(now - started_at),
        since_received=_round(now - request.received_at),
    )


def log_disconnect(
    request: PassedRequest, progress: Progress, now: float
) -> None:
    """Log the progress of a request whose caller disconnected."""
    received_at = request.received_at
    first_at = progress.first_part_at
    last_at = progress.last_part_at or first_at
    place = progress.place
    log_failure(
        "request.left",
        request_id=request.request_id,
        route=request.route.name,
        team=request.team,
        **(_describe(place, request) if place is not None else {}),
        prompt_tokens=request.prompt.tokens,
        expected_output=request.prompt.expected_output,
        parts=progress.parts,
        first_part=None
        if first_at is None
        else _round(first_at - received_at),
        last_part=None if last_at is None else _round(last_at - received_at),
        longest_pause=_round(progress.longest_pause),
        since_received=_round(now - received_at),
        seconds_left=_round(request.deadline - now),
    )


def _describe(place: Place, request: PassedRequest) -> dict[str, Value]:
    """Return the target of an attempt and the estimates for it."""
    match place:
        case EndpointPlace(choice=choice):
            return {
                "place": choice.endpoint.endpoint_id,
                "expected_wait": _round(choice.wait.total),
                "expected_queue": _round(choice.wait.queue),
                "expected_own": _round(choice.wait.own),
                "unread_tokens": choice.unread_tokens,
                "fetch_from": choice.fetch_from,
            }
        case RegionPlace(vm_id=vm_id):
            return {
                "place": vm_id,
                "expected_wait": _round(place.wait_seconds),
                "unread_tokens": request.prompt.tokens,
            }


def _round(seconds: float) -> float:
    return round(seconds, 4)

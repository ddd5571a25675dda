"""Map refusals to HTTP responses.

The status tells a caller whether the request may have run, as that decides
whether it is safe to send it again.
"""

from burdockdrum.http1 import Exchange
from burdockdrum.http1 import find_header
from burdockdrum.http1 import Headers
from burdockdrum.passthrough.protocol.header_names import HeaderNames
from burdockdrum.passthrough.protocol.header_names import TIMED_OUT_STATUS
from burdockdrum.passthrough.protocol.header_names import VERDICT
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict

# Default Retry-After of a request that was not run.
DEFAULT_RETRY_AFTER_SECONDS = 0.5
_FINAL_STATUS_BY_CODE = {
    RefusalCode.BAD_REQUEST: 400,
    RefusalCode.UNAUTHENTICATED: 401,
    RefusalCode.NOT_FOUND: 404,
}
NOT_RUN_STATUS = 503
# Rejected without a time to come back, as no later attempt would be served.
_FINAL_CODES = frozenset(
    {
        RefusalCode.QUARANTINED,
        RefusalCode.VERSION_GONE,
        RefusalCode.VERSION_UNKNOWN,
    }
)
QUOTA_EXCEEDED_STATUS = 429
MAYBE_RUN_STATUS = 502
# Statuses by which callers conclude that the request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, QUOTA_EXCEEDED_STATUS, NOT_RUN_STATUS})


def status_of(refusal: Refusal) -> int:
    """Return the HTTP status of a refusal.

    Callers send a request again after one of ``NOT_RUN_STATUSES``, so that
    these must not be used for a request that may have run.
    """
    if refusal.verdict is not Verdict.NOT_RUN:
        if refusal.code is RefusalCode.DEADLINE:
            return TIMED_OUT_STATUS
        return MAYBE_RUN_STATUS
    if refusal.code is RefusalCode.QUOTA:
        return QUOTA_EXCEEDED_STATUS
    return _FINAL_STATUS_BY_CODE.get(refusal.code, NOT_RUN_STATUS)


def not_run_headers(
    headers: Headers, names: HeaderNames, *, to_vm: bool
) -> Headers:
    """Return the headers of the refusal of a request that was not read.

    :param headers: those of the request; none if they had not arrived
    :param to_vm: whether another entry VM forwards the request
    """
    given = find_header(headers, names.request_id)
    identity = [] if given is None else [(names.request_id, given)]
    if to_vm:
        identity.append((VERDICT, Verdict.NOT_RUN.value.encode()))
    return identity


def send_refusal(
    exchange: Exchange, refusal: Refusal, identity: Headers, *, to_vm: bool
) -> None:
    """Respond to a request with a refusal.

    :param identity: the header with the request's id
    :param to_vm: whether another entry VM forwarded the request
    """
    status = status_of(refusal)
    headers = [*identity, (b"content-type", b"text/plain; charset=utf-8")]
    if status in NOT_RUN_STATUSES and refusal.code not in _FINAL_CODES:
        seconds = refusal.retry_after or DEFAULT_RETRY_AFTER_SECONDS
        headers.append((b"retry-after", b"%.2f" % seconds))
    if to_vm:
        headers.append((VERDICT, refusal.verdict.value.encode()))
    exchange.respond(status, headers, refusal.message.encode())

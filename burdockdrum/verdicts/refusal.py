"""The errors that the gateway returns to callers."""

import enum

from burdockdrum.verdicts.verdict import Verdict


class RefusalCode(enum.Enum):
    """Stable error codes that client programs may match on."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    UNKNOWN_CLIENT = "unknown_client"
    UNKNOWN_SERVICE = "unknown_service"
    RESIDENCY = "residency"
    NO_ENDPOINT = "no_endpoint"
    OVERLOADED = "overloaded"
    ENDPOINT_LIMIT = "endpoint_limit"
    ENDPOINT_BACKOFF = "endpoint_backoff"
    QUOTA = "quota"
    DEADLINE = "deadline"
    DRAINING = "draining"
    CONFIGURATION_STALE = "configuration_stale"
    CLAIM_UNREACHABLE = "claim_unreachable"
    CLAIM_UNKNOWN = "claim_unknown"
    CLAIM_IN_PROGRESS = "claim_in_progress"
    CLAIM_MISMATCH = "claim_mismatch"
    QUARANTINED = "quarantined"
    VERSION_GONE = "version_gone"
    VERSION_UNKNOWN = "version_unknown"
    VERSION_NOT_YET_KNOWN = "version_not_yet_known"
    ENDPOINT_LOST = "endpoint_lost"
    ENDPOINT_ERROR = "endpoint_error"
    ANSWER_TOO_LARGE = "answer_too_large"
    LOOP = "loop"
    NOT_ACCEPTED = "not_accepted"
    OUTCOME_UNKNOWN = "outcome_unknown"
    INTERNAL = "internal"


_STATUS_BY_CODE = {
    RefusalCode.BAD_REQUEST: 400,
    RefusalCode.BODY_TOO_LARGE: 413,
    RefusalCode.UNAUTHENTICATED: 401,
    RefusalCode.FORBIDDEN: 403,
    RefusalCode.NOT_FOUND: 404,
    RefusalCode.UNKNOWN_CLIENT: 403,
    RefusalCode.UNKNOWN_SERVICE: 404,
    RefusalCode.RESIDENCY: 403,
    RefusalCode.QUOTA: 429,
    RefusalCode.OVERLOADED: 503,
    RefusalCode.CLAIM_IN_PROGRESS: 409,
    RefusalCode.CLAIM_MISMATCH: 422,
    RefusalCode.QUARANTINED: 422,
    RefusalCode.DEADLINE: 504,
    RefusalCode.ENDPOINT_LOST: 502,
    RefusalCode.ENDPOINT_ERROR: 502,
    RefusalCode.ANSWER_TOO_LARGE: 502,
    RefusalCode.LOOP: 508,
    RefusalCode.NOT_ACCEPTED: 409,
    RefusalCode.INTERNAL: 500,
}
_DEFAULT_STATUS = 503


class Refusal(Exception):
    """A request fails, with the verdict on whether it may have run."""

    def __init__(
        self,
        *,
        code: RefusalCode,
        message: str,
        verdict: Verdict,
        retry_after: float | None = None,
    ) -> None:
        """Create a refusal.

        :param code: the stable code
        :param message: a readable sentence that names the field or limit
        :param verdict: whether the request may have run
        :param retry_after: seconds after which a retry may succeed
        """
        super().__init__(message)
        self.code = code
        self.message = message
        self.verdict = verdict
        self.retry_after = retry_after

    @property
    def status(self) -> int:
        """Return the HTTP status of the code."""
        return _STATUS_BY_CODE.get(self.code, _DEFAULT_STATUS)

    def with_verdict(self, verdict: Verdict) -> "Refusal":
        """Return a copy with another verdict."""
        return Refusal(
            code=self.code,
            message=self.message,
            verdict=verdict,
            retry_after=self.retry_after,
        )

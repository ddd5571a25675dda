"""One attempt at a request: at an endpoint, or through another entry VM.

Errors of the connection are converted to ``AttemptFailed``. Its verdict is
"not run" if nothing was sent, and "may have run" otherwise.
"""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass
import math
from urllib.parse import unquote

import msgspec

from burdockdrum.decoding import decode_json
from burdockdrum.endpoints import Endpoint
from burdockdrum.http1 import parse_seconds
from burdockdrum.ports import AnswerLost
from burdockdrum.ports import UpstreamAnswer
from burdockdrum.quarantine import Trial
from burdockdrum.requests.events import has_other_request_id
from burdockdrum.requests.read_timer import ReadTimer
from burdockdrum.routing import Attempt
from burdockdrum.routing import AttemptOutcome
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict

# Set on the gateway's own refusals, so that a forwarding entry VM can tell
# them from errors of an endpoint.
VERDICT_HEADER = "x-verdict"
REQUEST_ID_HEADER = "x-request-id"
# On streams of a forwarded request: the software version that writes them.
VERSION_HEADER = "x-software-version"
DRAIN_TIMEOUT_SECONDS = 0.5
# Of the end of a body whose content is complete.
MAX_DRAIN_BYTES = 64 * 1024
MAX_WHOLE_BYTES = 4 * 1024 * 1024
# Statuses of an overloaded or failing server.
RETRYABLE_STATUSES = frozenset({429, 500, 502, 503, 504})


class AttemptFailed(Exception):
    """An attempt without a complete answer.

    ``lost`` is true if the connection broke during the request, for example
    because the endpoint crashed. ``final`` rules out another attempt, for
    example because the other side has already made its retries.
    """

    def __init__(
        self,
        refusal: Refusal,
        *,
        outcome: AttemptOutcome = AttemptOutcome.FAILED,
        lost: bool = False,
        final: bool = False,
    ) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal
        self.outcome = outcome
        self.lost = lost
        self.final = final


@dataclass(frozen=True, kw_only=True)
class EndpointTarget:
    """An endpoint of this data centre, and the attempt there.

    ``opened_at`` is when it began, on the monotonic clock, and ``trial`` the
    permission to run a suspect, None if the request is none.
    """

    endpoint: Endpoint
    attempt: Attempt
    opened_at: float
    trial: Trial | None = None


@dataclass(frozen=True, kw_only=True)
class DataCentreTarget:
    """An entry VM of another data centre."""

    data_centre: str
    vm_id: str


Target = EndpointTarget | DataCentreTarget


class Upstream:
    """The open answer of an attempt."""

    def __init__(
        self,
        *,
        answer: UpstreamAnswer,
        target: Target,
        attempt_id: str,
        timer: ReadTimer,
        idle_timeout: float,
    ) -> None:
        """Wrap an answer whose head has been received.

        ``wrote_since`` is when the endpoint wrote its first tokens, on the
        monotonic clock, and ``is_sound`` says that it has gone on since.

        :param idle_timeout: between two parts of the body, in seconds; a
            silence that exceeds it is reported
        """
        self.status = answer.status
        self.headers = answer.headers
        self.target = target
        self.attempt_id = attempt_id.encode()
        self.wrote_since: float | None = None
        self.is_sound = False
        self._answer = answer
        self._idle_timeout = idle_timeout
        self._timer = timer
        self._parts: AsyncIterator[bytes] = aiter(answer.chunks())
        # A refusal of another entry VM has a request id of its own.
        if VERDICT_HEADER not in answer.headers:
            self._check_id(answer.headers.get(REQUEST_ID_HEADER))

    @property
    def software_version(self) -> str:
        """Return that of the endpoint which writes the answer."""
        match self.target:
            case EndpointTarget(endpoint=endpoint):
                return endpoint.software_version
            case DataCentreTarget():
                return unquote(self.headers.get(VERSION_HEADER, ""))

    async def read(self, seconds: float) -> bytes | None:
        """Return the next part of the body, or None at its end.

        :param seconds: until the deadline
        :raises AttemptFailed: if the connection breaks or the deadline passes
        """
        self._timer.begin(seconds, self._idle_timeout)
        try:
            part = await anext(self._parts, None)
        except asyncio.CancelledError:
            if not self._timer.absorb():
                raise
            raise fail_timed_out("silent within the answer") from None
        except AnswerLost as error:
            raise fail_connection_lost(error) from error
        finally:
            self._timer.end()
        if part is not None and isinstance(self.target, EndpointTarget):
            self.target.attempt.record_first_token()
        return part

    def stop_watching(self) -> None:
        """Report no silence any more, as nothing else can provide the rest."""
        self._idle_timeout = math.inf

    async def read_whole(self, seconds: float) -> bytes:
        """Read the body to its end.

        :param seconds: timeout for the whole body
        :raises AttemptFailed: if it breaks, times out or is too large
        """
        body, ended = await self.read_start(seconds, MAX_WHOLE_BYTES)
        if not ended:
            raise _fail_too_large()
        return body

    async def read_start(
        self, seconds: float, limit: int
    ) -> tuple[bytes, bool]:
        """Read a body up to a size; return it and whether it has ended.

        :param seconds: timeout for reading
        :param limit: in bytes; the last part may exceed it
        :raises AttemptFailed: if it breaks or times out
        """
        parts: list[bytes] = []
        size = 0
        try:
            async with asyncio.timeout(seconds):
                while size <= limit:
                    part = await anext(self._parts, None)
                    if part is None:
                        return b"".join(parts), True
                    parts.append(part)
                    size += len(part)
        except TimeoutError:
            raise fail_timed_out(
                "the answer was not complete in time"
            ) from None
        except AnswerLost as error:
            raise fail_connection_lost(error) from error
        return b"".join(parts), False

    def check_request_id(self, content: bytes) -> None:
        """Check that a part of the answer belongs to this attempt.

        :raises AttemptFailed: if it has another request's id
        """
        if has_other_request_id(content, self.attempt_id):
            raise _fail_wrong_request()

    def finish(self, outcome: AttemptOutcome, *, tokens: int = 0) -> None:
        """Report to the router how the attempt ended."""
        if isinstance(self.target, EndpointTarget):
            self.target.attempt.finish(outcome, tokens=tokens)

    async def drain(self) -> None:
        """Read the end of a body whose content is complete.

        The connection can then be reused for another request, unless more
        follows than ``MAX_DRAIN_BYTES``.
        """
        size = 0
        try:
            async with asyncio.timeout(DRAIN_TIMEOUT_SECONDS):
                async for part in self._parts:
                    size += len(part)
                    if size > MAX_DRAIN_BYTES:
                        break
        except (TimeoutError, AnswerLost):
            pass
        finally:
            await self.close()

    async def close(self) -> None:
        """Close the connection unless the body was read to its end."""
        self._timer.stop()
        await self._answer.close()

    def _check_id(self, value: str | None) -> None:
        if value is None or not value.startswith("req-"):
            return
        if value.encode() != self.attempt_id:
            raise _fail_wrong_request()


def fail_connection_lost(error: Exception) -> AttemptFailed:
    """Return the failure of a connection that broke during a request."""
    return AttemptFailed(
        Refusal(
            code=RefusalCode.ENDPOINT_LOST,
            message=f"the connection broke: {error}",
            verdict=Verdict.MAY_HAVE_RUN,
        ),
        lost=True,
    )


def fail_timed_out(message: str) -> AttemptFailed:
    """Return the failure of an attempt that timed out."""
    return AttemptFailed(
        Refusal(
            code=RefusalCode.ENDPOINT_LOST,
            message=message,
            verdict=Verdict.MAY_HAVE_RUN,
        ),
        outcome=AttemptOutcome.TIMED_OUT,
    )


def fail_unreachable(error: Exception) -> AttemptFailed:
    """Return the failure to connect, in which case nothing was sent."""
    return AttemptFailed(
        Refusal(
            code=RefusalCode.NO_ENDPOINT,
            message=f"could not connect: {error}",
            verdict=Verdict.NOT_RUN,
            retry_after=1.0,
        ),
        outcome=AttemptOutcome.UNREACHABLE,
    )


def fail_incomplete(*, final: bool = False) -> AttemptFailed:
    """Return the failure of an answer that ended too early."""
    return AttemptFailed(
        Refusal(
            code=RefusalCode.ENDPOINT_LOST,
            message="the answer ended before it was complete",
            verdict=Verdict.MAY_HAVE_RUN,
        ),
        final=final,
    )


def fail_status(status: int) -> AttemptFailed:
    """Return the failure of an endpoint that returned an error status."""
    return AttemptFailed(
        Refusal(
            code=RefusalCode.ENDPOINT_ERROR,
            message=f"the endpoint answered with status {status}",
            verdict=Verdict.MAY_HAVE_RUN,
        ),
        outcome=AttemptOutcome.REFUSED
        if status in (429, 503)
        else AttemptOutcome.FAILED,
    )


class _ErrorBody(msgspec.Struct, frozen=True):
    code: str
    message: str


class _ErrorAnswer(msgspec.Struct, frozen=True):
    error: _ErrorBody


async def read_refusal(upstream: Upstream, seconds: float) -> AttemptFailed:
    """Read the refusal of a forwarded request by another entry VM.

    It is final unless its verdict is "not run": the other side has made its
    retries, and retries at both hops would multiply.

    :raises AttemptFailed: if the refusal can't be read to its end
    """
    try:
        body = await upstream.read_whole(seconds)
    finally:
        await upstream.close()
    verdict = Verdict.MAY_HAVE_RUN
    code = RefusalCode.ENDPOINT_ERROR
    message = f"refused with status {upstream.status}"
    try:
        error = decode_json(body, _ErrorAnswer).error
        verdict = Verdict(upstream.headers[VERDICT_HEADER])
        code = RefusalCode(error.code)
        message = error.message
    except ValueError:
        pass
    seconds_text = upstream.headers.get("retry-after", "")
    refusal = Refusal(
        code=code,
        message=message,
        verdict=verdict,
        retry_after=parse_seconds(seconds_text.encode()),
    )
    return AttemptFailed(
        refusal,
        outcome=AttemptOutcome.REFUSED,
        final=verdict is not Verdict.NOT_RUN,
    )


def _fail_wrong_request() -> AttemptFailed:
    return AttemptFailed(
        Refusal(
            code=RefusalCode.ENDPOINT_ERROR,
            message="the answer has the id of another request",
            verdict=Verdict.MAY_HAVE_RUN,
        )
    )


def _fail_too_large() -> AttemptFailed:
    return AttemptFailed(
        Refusal(
            code=RefusalCode.ANSWER_TOO_LARGE,
            message=f"the answer exceeds {MAX_WHOLE_BYTES} bytes",
            verdict=Verdict.RAN,
        ),
        final=True,
    )

"""One attempt at a request: at an endpoint, or through another entry VM.

What can go wrong on the socket is turned into an ``AttemptFailed`` here,
with the verdict that the facts allow: not run while nothing was sent, may
have run from then on.
"""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

import msgspec

from burdockdrum.endpoints import Endpoint
from burdockdrum.ports import AnswerLost
from burdockdrum.ports import UpstreamAnswer
from burdockdrum.requests.events import is_of_other
from burdockdrum.requests.silence import SilenceTimer
from burdockdrum.routing import Attempt
from burdockdrum.routing import AttemptOutcome
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict

# On refusals of the system, so that an entry VM which passed a request on
# tells them from the errors of an endpoint.
VERDICT_HEADER = "x-verdict"
REQUEST_ID_HEADER = "x-request-id"
DRAIN_SECONDS = 0.5
MAX_WHOLE_BYTES = 4 * 1024 * 1024
# What an overloaded or failing server answers before it does the work.
RETRYABLE_STATUSES = frozenset({429, 500, 502, 503, 504})


class AttemptFailed(Exception):
    """An attempt that gave no whole answer.

    ``lost`` is true where the connection broke under the request, as when
    the endpoint crashed. ``final`` forbids another attempt: the other side
    has made its own.
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
class ToEndpointPlace:
    """An attempt runs at an endpoint of this data centre."""

    endpoint: Endpoint
    attempt: Attempt


@dataclass(frozen=True, kw_only=True)
class ToDataCentrePlace:
    """An attempt runs through an entry VM of another data centre."""

    data_centre: str
    vm_id: str


Place = ToEndpointPlace | ToDataCentrePlace


class Upstream:
    """The open answer of an attempt."""

    def __init__(
        self,
        *,
        answer: UpstreamAnswer,
        place: Place,
        attempt_id: str,
        silence_seconds: float,
    ) -> None:
        """Take over an answer whose head has come.

        :param silence_seconds: how long nothing may come in the middle
        """
        self.status = answer.status
        self.headers = answer.headers
        self.place = place
        self.attempt_id = attempt_id.encode()
        self._answer = answer
        self._silence_seconds = silence_seconds
        self._silence = SilenceTimer()
        self._parts: AsyncIterator[bytes] = aiter(answer.chunks())
        # A refusal of another entry VM bears an id of its own.
        if VERDICT_HEADER not in answer.headers:
            self._check_id(answer.headers.get(REQUEST_ID_HEADER))

    async def read(self, seconds: float) -> bytes | None:
        """Return the next part of the body, or None at its end.

        :param seconds: until the deadline
        :raises AttemptFailed: if it breaks, or is silent for too long
        """
        self._silence.begin(min(seconds, self._silence_seconds))
        try:
            part = await anext(self._parts, None)
        except asyncio.CancelledError:
            if not self._silence.absorb():
                raise
            raise fail_silent("nothing came in the middle") from None
        except AnswerLost as error:
            raise fail_lost(error) from error
        finally:
            self._silence.end()
        if part is not None and isinstance(self.place, ToEndpointPlace):
            self.place.attempt.note_first_token()
        return part

    async def read_whole(self, seconds: float) -> bytes:
        """Read the body to its end.

        :param seconds: how long that may take
        :raises AttemptFailed: if it breaks, is late or is too large
        """
        body, ended = await self.read_start(seconds, MAX_WHOLE_BYTES)
        if not ended:
            raise _fail_too_large()
        return body

    async def read_start(
        self, seconds: float, limit: int
    ) -> tuple[bytes, bool]:
        """Read a body up to a size, and say whether it has ended.

        :param seconds: how long that may take
        :param limit: in bytes; one part more may be returned
        :raises AttemptFailed: if it breaks or is late
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
            raise fail_silent("the answer was not whole in time") from None
        except AnswerLost as error:
            raise fail_lost(error) from error
        return b"".join(parts), False

    def check_owner(self, content: bytes) -> None:
        """Check that a part of the answer is this attempt's own.

        :raises AttemptFailed: if it bears another request's id
        """
        if is_of_other(content, self.attempt_id):
            raise _fail_crossed()

    def finish(self, outcome: AttemptOutcome, *, tokens: int = 0) -> None:
        """Let routing learn how the attempt ended."""
        if isinstance(self.place, ToEndpointPlace):
            self.place.attempt.finish(outcome, tokens=tokens)

    async def drain(self) -> None:
        """Read the end of a body whose content is complete.

        The connection can then serve another request.
        """
        try:
            async with asyncio.timeout(DRAIN_SECONDS):
                async for _ in self._parts:
                    pass
        except (TimeoutError, AnswerLost):
            pass
        finally:
            await self.close()

    async def close(self) -> None:
        """Close the connection unless the body was read to its end."""
        self._silence.stop()
        await self._answer.close()

    def _check_id(self, value: str | None) -> None:
        if value is None or not value.startswith("req-"):
            return
        if value.encode() != self.attempt_id:
            raise _fail_crossed()


def fail_lost(error: Exception) -> AttemptFailed:
    """Return the failure of a connection that broke under a request."""
    return AttemptFailed(
        Refusal(
            code=RefusalCode.ENDPOINT_LOST,
            message=f"the connection broke: {error}",
            verdict=Verdict.MAY_HAVE_RUN,
        ),
        lost=True,
    )


def fail_silent(message: str) -> AttemptFailed:
    """Return the failure of an attempt that was given up."""
    return AttemptFailed(
        Refusal(
            code=RefusalCode.ENDPOINT_LOST,
            message=message,
            verdict=Verdict.MAY_HAVE_RUN,
        ),
        outcome=AttemptOutcome.TIMED_OUT,
    )


def fail_unreachable(error: Exception) -> AttemptFailed:
    """Return the failure of a connect: no byte has left."""
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
    """Return the failure of an answer that ended before it was whole."""
    return AttemptFailed(
        Refusal(
            code=RefusalCode.ENDPOINT_LOST,
            message="the answer ended before it was complete",
            verdict=Verdict.MAY_HAVE_RUN,
        ),
        final=final,
    )


def fail_status(status: int) -> AttemptFailed:
    """Return the failure of an endpoint that answered with an error."""
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


class _Wrapped(msgspec.Struct, frozen=True):
    error: _ErrorBody


async def read_refusal(upstream: Upstream, seconds: float) -> AttemptFailed:
    """Read why another entry VM refused a request that was passed on.

    It is final unless nothing has run there: the other side made its own
    retries, and retries of retries would multiply.

    :raises AttemptFailed: if the refusal breaks off
    """
    try:
        body = await upstream.read_whole(seconds)
    finally:
        await upstream.close()
    verdict = Verdict.MAY_HAVE_RUN
    code = RefusalCode.ENDPOINT_ERROR
    message = f"refused with status {upstream.status}"
    try:
        error = msgspec.json.decode(body, type=_Wrapped).error
        verdict = Verdict(upstream.headers[VERDICT_HEADER])
        code = RefusalCode(error.code)
        message = error.message
    except (msgspec.MsgspecError, ValueError):
        pass
    seconds_text = upstream.headers.get("retry-after", "")
    refusal = Refusal(
        code=code,
        message=message,
        verdict=verdict,
        retry_after=float(seconds_text) if seconds_text.isdigit() else None,
    )
    return AttemptFailed(
        refusal,
        outcome=AttemptOutcome.REFUSED,
        final=verdict is not Verdict.NOT_RUN,
    )


def _fail_crossed() -> AttemptFailed:
    return AttemptFailed(
        Refusal(
            code=RefusalCode.ENDPOINT_ERROR,
            message="the endpoint answered another request",
            verdict=Verdict.MAY_HAVE_RUN,
        )
    )


def _fail_too_large() -> AttemptFailed:
    return AttemptFailed(
        Refusal(
            code=RefusalCode.ANSWER_TOO_LARGE,
            message=f"the answer is over {MAX_WHOLE_BYTES} bytes",
            verdict=Verdict.RAN,
        ),
        final=True,
    )

"""What a response says: whose it is, and whether the request has run."""

from burdockdrum.http1 import ClientConnection
from burdockdrum.http1 import Headers
from burdockdrum.http1 import parse_count
from burdockdrum.http1 import parse_seconds
from burdockdrum.http1 import ResponseHead
from burdockdrum.http1 import ResponseLost
from burdockdrum.http1 import without_connection_headers
from burdockdrum.passthrough.model import Lost
from burdockdrum.passthrough.model import NotStarted
from burdockdrum.passthrough.vocabulary import HeaderNames
from burdockdrum.passthrough.vocabulary import HOP_HEADERS
from burdockdrum.passthrough.vocabulary import HOP_RUNS
from burdockdrum.passthrough.vocabulary import TIMED_OUT_STATUS
from burdockdrum.passthrough.vocabulary import VERDICT
from burdockdrum.verdicts import Verdict

ANOTHER_ENDPOINT = 421
# A whole answer is held until its end is known, up to this size; a larger
# one is passed on as it comes.
MAX_HELD_BYTES = 256 * 1024


class AnswerCut(Exception):
    """An answer broke off after its beginning had been passed on."""


class ResponseReader:
    """Judge heads of responses by a deployment's header names."""

    def __init__(self, *, names: HeaderNames) -> None:
        """Create it for a deployment."""
        self._names = names

    def judge(self, head: ResponseHead) -> NotStarted | Lost | None:
        """Say what a head tells; None for an answer that may be passed on.

        A success without the endpoint's own mark, without the request's id
        or in a coding that nobody asked for is not the endpoint's answer.
        """
        verdict = head.find(VERDICT)
        if verdict is not None:
            return _read_verdict(head, verdict)
        if head.status == ANOTHER_ENDPOINT:
            return NotStarted(
                reason="another endpoint answered", reached=True, replaced=True
            )
        if head.find(self._names.not_run) is not None:
            return NotStarted(
                reason=f"the endpoint refused with {head.status}",
                reached=True,
                retry_after=_read_seconds(head),
            )
        if head.find(self._names.request_id) is None:
            return Lost(reason="an answer without the request's id")
        if head.find(self._names.provenance) is None:
            return Lost(reason=f"status {head.status} without an origin")
        if head.status < 300 and head.find(b"content-encoding") is not None:
            return Lost(reason="an encoded body")
        return None

    def headers_for_caller(self, head: ResponseHead) -> Headers:
        """Return the headers of an answer as it is passed on."""
        return without_connection_headers(head.headers, HOP_HEADERS)


async def read_held(connection: ClientConnection) -> tuple[bytes, bool]:
    """Read a body to its end, or as far as it may be held.

    :returns: what was read, and whether that is the whole body
    :raises ResponseLost: if the body breaks off
    """
    parts: list[bytes] = []
    size = 0
    while size <= MAX_HELD_BYTES:
        part = await connection.read_part()
        if part is None:
            return b"".join(parts), True
        parts.append(part)
        size += len(part)
    return b"".join(parts), False


async def read_small(connection: ClientConnection) -> bytes:
    """Read the body of a refusal or failure.

    :raises ResponseLost: if it breaks off or has no end in sight
    """
    body, whole = await read_held(connection)
    if not whole:
        raise ResponseLost("the body of a failure is too large")
    return body


def _read_verdict(head: ResponseHead, verdict: bytes) -> NotStarted | Lost:
    if verdict.decode("latin-1") == Verdict.NOT_RUN.value:
        return NotStarted(
            reason="the other region refused",
            reached=False,
            retry_after=_read_seconds(head),
        )
    return Lost(
        reason="lost in the other region",
        timed_out=head.status == TIMED_OUT_STATUS,
        runs=read_runs(head),
    )


def read_runs(head: ResponseHead) -> int | None:
    """Return how many attempts another entry says that it used."""
    return parse_count(head.find(HOP_RUNS))


def _read_seconds(head: ResponseHead) -> float | None:
    return parse_seconds(head.find(b"retry-after"))

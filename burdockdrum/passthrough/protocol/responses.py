"""Interpret responses from endpoints and from entries of other regions.

A response tells whether the request has run, and must prove that it is the
endpoint's own before it is forwarded.
"""

from burdockdrum.http1 import ClientConnection
from burdockdrum.http1 import Headers
from burdockdrum.http1 import parse_count
from burdockdrum.http1 import parse_seconds
from burdockdrum.http1 import remove_hop_by_hop_headers
from burdockdrum.http1 import ResponseHead
from burdockdrum.http1 import ResponseLost
from burdockdrum.passthrough.protocol.header_names import decode_version
from burdockdrum.passthrough.protocol.header_names import HeaderNames
from burdockdrum.passthrough.protocol.header_names import HOP_CUT_OFF
from burdockdrum.passthrough.protocol.header_names import HOP_HEADERS
from burdockdrum.passthrough.protocol.header_names import HOP_QUARANTINED
from burdockdrum.passthrough.protocol.header_names import HOP_REACHED
from burdockdrum.passthrough.protocol.header_names import HOP_USED_ATTEMPTS
from burdockdrum.passthrough.protocol.header_names import HOP_VERSION
from burdockdrum.passthrough.protocol.header_names import TIMED_OUT_STATUS
from burdockdrum.passthrough.protocol.header_names import VERDICT
from burdockdrum.passthrough.protocol.model import Lost
from burdockdrum.passthrough.protocol.model import NotStarted
from burdockdrum.verdicts import Verdict

MISDIRECTED_STATUS = 421
# With this status an endpoint may ask an entry to send no requests.
BACKOFF_STATUS = 503
# A response up to this size is forwarded once it is complete, so that a
# truncated one can be retried; a larger one is streamed.
MAX_BUFFERED_BYTES = 256 * 1024


class ResponseClassifier:
    """Classifies responses by a deployment's header names."""

    def __init__(self, *, names: HeaderNames) -> None:
        """Create a reader for a deployment's header names."""
        self._names = names

    def classify(
        self, head: ResponseHead, *, is_from_entry: bool
    ) -> NotStarted | Lost | None:
        """Classify a response; None if it may be forwarded.

        A response without the request's id may be to anything that was sent
        on the connection, so it says nothing of the request. One without the
        provenance header, or with an unrequested content coding, does not
        come from the endpoint.

        :param is_from_entry: whether the request was forwarded to another
            entry, which has a verdict where an endpoint has a status
        """
        if head.find(self._names.request_id) is None:
            return Lost(reason="response without the request id")
        if is_from_entry:
            verdict = head.find(VERDICT)
            if verdict is not None:
                return _classify_verdict(head, verdict)
        elif (rejection := self._find_rejection(head)) is not None:
            return rejection
        if head.find(self._names.provenance) is None:
            return Lost(
                reason=f"response with status {head.status} without provenance"
            )
        if head.status < 300 and head.find(b"content-encoding") is not None:
            return Lost(reason="response with an unrequested content coding")
        return None

    def _find_rejection(self, head: ResponseHead) -> NotStarted | None:
        """Return what an endpoint says of a request that it did not run."""
        if head.status == MISDIRECTED_STATUS:
            return NotStarted(
                reason="the address belongs to another endpoint",
                reached=True,
                replaced=True,
                status=head.status,
            )
        if head.find(self._names.not_run) is None:
            return None
        return NotStarted(
            reason=f"the endpoint refused with status {head.status}",
            reached=True,
            status=head.status,
            # A backoff is kept by the entry, which tells its callers.
            retry_after=None
            if head.status == BACKOFF_STATUS
            else _parse_retry_after(head),
        )

    def read_version(self, head: ResponseHead) -> str:
        """Return the software version that another entry reports."""
        return decode_version(head.find(HOP_VERSION) or b"")

    def headers_for_caller(self, head: ResponseHead) -> Headers:
        """Return the response headers to forward to the caller."""
        return remove_hop_by_hop_headers(head.headers, HOP_HEADERS)


def is_from_endpoint(head: ResponseHead, names: HeaderNames) -> bool:
    """Return whether the endpoint that was called sent a response itself.

    Only endpoints say that they did not run a request; such a response may
    have no provenance header.
    """
    if head.find(VERDICT) is not None or head.status == MISDIRECTED_STATUS:
        return False
    return (
        head.find(names.provenance) is not None
        or head.find(names.not_run) is not None
    )


async def read_buffered(connection: ClientConnection) -> tuple[bytes, bool]:
    """Read a body to its end, or up to ``MAX_BUFFERED_BYTES``.

    :returns: the data read, and whether it is the whole body
    :raises ResponseLost: if the body is truncated
    """
    chunks: list[bytes] = []
    size = 0
    while size <= MAX_BUFFERED_BYTES:
        chunk = await connection.read_part()
        if chunk is None:
            return b"".join(chunks), True
        chunks.append(chunk)
        size += len(chunk)
    return b"".join(chunks), False


async def read_error_body(connection: ClientConnection) -> bytes:
    """Read the body of an error response.

    :raises ResponseLost: if it is truncated or too large
    """
    body, whole = await read_buffered(connection)
    if not whole:
        raise ResponseLost("the body of an error response is too large")
    return body


def _classify_verdict(head: ResponseHead, verdict: bytes) -> NotStarted | Lost:
    if verdict.decode("latin-1") == Verdict.NOT_RUN.value:
        return NotStarted(
            reason="refused by the other entry",
            reached=head.find(HOP_REACHED) is not None,
            cut_off=head.find(HOP_CUT_OFF) is not None,
            quarantined=head.find(HOP_QUARANTINED) is not None,
            status=head.status,
            retry_after=_parse_retry_after(head),
        )
    return Lost(
        reason="lost by the other region",
        timed_out=head.status == TIMED_OUT_STATUS,
        runs=read_used_attempts(head),
    )


def read_used_attempts(head: ResponseHead) -> int | None:
    """Return how many attempts another entry reports, None if unknown."""
    return parse_count(head.find(HOP_USED_ATTEMPTS))


def _parse_retry_after(head: ResponseHead) -> float | None:
    return parse_seconds(head.find(b"retry-after"))

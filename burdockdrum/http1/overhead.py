"""Limits on what a peer sends besides the body of the expected response.

The parser has no limits: it buffers a header until its end, and skips a
chunk extension of any length. So the bytes of each read that turn out not
to be body are counted, whether or not the parser reports them.
"""

import enum

# The status line and the headers of one response, in bytes.
MAX_HEAD_BYTES = 64 * 1024
# Interim responses before a response.
MAX_INTERIM_RESPONSES = 100
MAX_INTERIM_BYTES = 256 * 1024
# Responses to other requests, which are skipped; the bytes include bodies.
MAX_SKIPPED_RESPONSES = 100
MAX_SKIPPED_BYTES = 1024 * 1024
MAX_TRAILER_BYTES = 64 * 1024
# Chunk sizes, chunk extensions and trailers, beyond what a body justifies.
MAX_FRAMING_BYTES = 64 * 1024
# A chunk of one byte has at most 8 digits and two line ends.
FRAMING_BYTES_PER_BODY_BYTE = 12
# "HTTP/1.1 200 " and two line ends.
_STATUS_LINE_BYTES = 17
# ": " and a line end.
_HEADER_LINE_BYTES = 4


class LimitExceeded(Exception):
    """A peer sent more than a limit; the reason names both."""


class ResponseKind(enum.Enum):
    """What a response is to the request that waits for one."""

    EXPECTED = enum.auto()
    INTERIM = enum.auto()
    # It names another request.
    SKIPPED = enum.auto()


class OverheadCounter:
    """Counts the bytes that are not body of the expected response.

    Every method raises ``LimitExceeded`` at once, so that the parser stops in
    the middle of a read; ``exceeded`` keeps it.
    """

    def __init__(self) -> None:
        """Create a counter for the first request of a connection."""
        self.exceeded: LimitExceeded | None = None
        self.begin_request()

    def begin_request(self) -> None:
        """Start to count anew."""
        self._interim_responses = 0
        self._interim_bytes = 0
        self._skipped_responses = 0
        self._skipped_bytes = 0
        self._trailer_bytes = 0
        self._framing_bytes = 0
        # Bytes of the current read that have been counted.
        self._counted_bytes = 0
        self.begin_head()

    def begin_head(self) -> None:
        """Start to count the head of a response."""
        # What is being received; None while a head is incomplete.
        self._kind: ResponseKind | None = None
        # As the parser reports it, and as it was read.
        self._head_bytes = _STATUS_LINE_BYTES
        self._unparsed_bytes = 0

    def add_status(self, reason: bytes) -> None:
        """Count a part of the reason phrase of a status line."""
        self._add_to_head(len(reason))

    def add_header(self, name: bytes, value: bytes) -> bool:
        """Count a header or a trailer; return whether it is a header."""
        size = len(name) + len(value) + _HEADER_LINE_BYTES
        if self._kind is None:
            self._add_to_head(size)
            return True
        self._trailer_bytes += size
        if self._trailer_bytes > MAX_TRAILER_BYTES:
            self._exceed("trailers", MAX_TRAILER_BYTES)
        return False

    def end_head(self, kind: ResponseKind) -> None:
        """Count a complete head."""
        self._kind = kind
        self._counted_bytes += self._head_bytes
        match kind:
            case ResponseKind.INTERIM:
                self._interim_responses += 1
                self._interim_bytes += self._head_bytes
                if self._interim_responses > MAX_INTERIM_RESPONSES:
                    self._exceed(
                        "interim responses", MAX_INTERIM_RESPONSES, unit=""
                    )
                if self._interim_bytes > MAX_INTERIM_BYTES:
                    self._exceed("interim responses", MAX_INTERIM_BYTES)
            case ResponseKind.SKIPPED:
                self._skipped_responses += 1
                if self._skipped_responses > MAX_SKIPPED_RESPONSES:
                    self._exceed(
                        "skipped responses", MAX_SKIPPED_RESPONSES, unit=""
                    )
                self._add_skipped(self._head_bytes)

    def skip_body(self, size: int) -> None:
        """Count a part of a body that is skipped, in bytes."""
        self._counted_bytes += size
        self._add_skipped(size)

    def end_read(self, size: int, body_size: int) -> None:
        """Count the rest of a read.

        :param size: of the read, in bytes
        :param body_size: of the expected body in it, in bytes
        """
        rest = max(0, size - body_size - self._counted_bytes)
        self._counted_bytes = 0
        match self._kind:
            case None:
                self._unparsed_bytes += rest
                if self._unparsed_bytes > MAX_HEAD_BYTES:
                    self._exceed("head", MAX_HEAD_BYTES)
            case ResponseKind.SKIPPED:
                self._add_skipped(rest)
            case _:
                justified = FRAMING_BYTES_PER_BODY_BYTE * body_size
                self._framing_bytes = max(
                    0, self._framing_bytes + rest - justified
                )
                if self._framing_bytes > MAX_FRAMING_BYTES:
                    self._exceed(
                        "chunk sizes, chunk extensions and trailers",
                        MAX_FRAMING_BYTES,
                    )

    def _add_to_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > MAX_HEAD_BYTES:
            self._exceed("head", MAX_HEAD_BYTES)

    def _add_skipped(self, size: int) -> None:
        self._skipped_bytes += size
        if self._skipped_bytes > MAX_SKIPPED_BYTES:
            self._exceed("skipped responses", MAX_SKIPPED_BYTES)

    def _exceed(self, what: str, limit: int, *, unit: str = " bytes") -> None:
        self.exceeded = LimitExceeded(
            f"{what} over the limit of {limit}{unit}"
        )
        raise self.exceeded

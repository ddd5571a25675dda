"""Responses whose bytes have no end."""

from collections.abc import Iterator
import enum

PIECE_BYTES = 32 * 1024


class Endless(enum.Enum):
    """The part of a response that has no end."""

    STATUS_LINE = "status line"
    HEADERS = "headers"
    HEADER = "one header"
    INTERIM = "interim responses"
    SKIPPED = "a response to another request"
    EXTENSION = "the extension of a chunk"
    TRAILER = "the trailer"
    ERROR_BODY = "the body of an error"
    BODY = "the body"
    SURPLUS = "what follows a whole response"


# Those whose beginning is a valid one, as far as anyone can see.
BEGINNING = frozenset({Endless.EXTENSION, Endless.TRAILER, Endless.BODY})


def write_endless(endless: Endless, request_id: str) -> Iterator[bytes]:
    """Return the begin of a response, and then pieces without end."""
    piece = b"a" * PIECE_BYTES
    chunk = b"%x\r\n%s\r\n" % (len(piece), piece)
    lines = b"X-Filler: aaaaaaaaaaaaaaaa\r\n" * (PIECE_BYTES // 28)
    begin, repeated = {
        Endless.STATUS_LINE: (b"HTTP/1.1 200 ", piece),
        Endless.HEADERS: (b"HTTP/1.1 200 OK\r\n", lines),
        Endless.HEADER: (b"HTTP/1.1 200 OK\r\nX-Filler: ", piece),
        Endless.INTERIM: (
            b"",
            b"HTTP/1.1 103 Early Hints\r\n\r\n" * (PIECE_BYTES // 28),
        ),
        Endless.SKIPPED: (_write_head(200, "other"), chunk),
        Endless.EXTENSION: (_write_head(200, request_id) + b"5;x=", piece),
        Endless.TRAILER: (_write_head(200, request_id) + b"0\r\n", lines),
        Endless.ERROR_BODY: (_write_head(500, request_id), chunk),
        Endless.BODY: (_write_head(200, request_id), chunk),
        Endless.SURPLUS: (b"", piece),
    }[endless]
    yield begin
    while True:
        yield repeated


def _write_head(status: int, request_id: str) -> bytes:
    return (
        b"HTTP/1.1 %d X\r\nX-Server-Stamp: s\r\nX-Request-Id: %s\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n" % (status, request_id.encode())
    )

"""Find, filter and encode headers and the heads of messages."""

from collections.abc import Iterable
import http

Headers = list[tuple[bytes, bytes]]

# Hop-by-hop headers, RFC 9110, section 7.6.1.
_CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
_FRAMING_HEADERS = frozenset({b"content-length", b"expect"})
_REASONS_BY_STATUS = {
    status.value: status.phrase.encode() for status in http.HTTPStatus
}


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header; the name is in lower case."""
    for known, value in headers:
        if known.lower() == name:
            return value
    return None


def find_all_headers(headers: Headers, name: bytes) -> list[bytes]:
    """Return every value of a header; the name is in lower case."""
    return [value for known, value in headers if known.lower() == name]


def remove_hop_by_hop_headers(
    headers: Headers, dropped: frozenset[bytes] = frozenset()
) -> Headers:
    """Return headers without those of the hop or of the body's framing.

    :param dropped: further names to remove, in lower case
    """
    named = find_header(headers, b"connection")
    listed: frozenset[bytes] = frozenset()
    if named is not None:
        listed = frozenset(n.strip().lower() for n in named.split(b","))
    removed = _CONNECTION_HEADERS | _FRAMING_HEADERS | dropped | listed
    return [pair for pair in headers if pair[0].lower() not in removed]


def encode_request(
    method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]]
) -> bytes:
    """Encode the head of a request, including the final empty line."""
    lines = [b"%s %s HTTP/1.1" % (method, target)]
    lines += [b"%s: %s" % pair for pair in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def encode_response(
    status: int, headers: Iterable[tuple[bytes, bytes]]
) -> bytes:
    """Encode the head of a response, including the final empty line."""
    reason = _REASONS_BY_STATUS.get(status, b"")
    lines = [b"HTTP/1.1 %d %s" % (status, reason)]
    lines += [b"%s: %s" % pair for pair in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"

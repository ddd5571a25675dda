"""A received request, or the reason for which it was rejected."""

from dataclasses import dataclass
from dataclasses import field

from burdockdrum.http1.heads import find_header
from burdockdrum.http1.heads import Headers


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestHead:
    """A request with its complete body.

    ``received_at`` is when its first byte arrived, by the monotonic clock.
    ``connected_at`` is when its connection was accepted, by the same clock.
    ``peer_host`` is the address that it came from, empty if unknown.
    ``knows_chunks`` says that its caller understands a chunked response.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool
    received_at: float
    knows_chunks: bool = True
    connected_at: float = float("-inf")
    peer_host: str = ""

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of a header; the name is in lower case."""
        return find_header(self.headers, name)

    def find_all(self, name: bytes) -> list[bytes]:
        """Return every value of a header; the name is in lower case."""
        return [value for key, value in self.headers if key.lower() == name]

    @property
    def path(self) -> bytes:
        """The target without its query."""
        return self.target.partition(b"?")[0]

    @property
    def host(self) -> str:
        """The host name without its port, in lower case."""
        value = (self.find(b"host") or b"").decode("latin-1").lower()
        name, colon, port = value.rpartition(":")
        return name if colon and port.isdigit() else value


@dataclass(frozen=True, kw_only=True, slots=True)
class RejectedRequest:
    """The error response to a request that is malformed or over a limit."""

    status: int
    reason: str
    headers: Headers = field(default_factory=list)

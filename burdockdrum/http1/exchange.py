"""A request and the response to it, as a handler sees them."""

from typing import Protocol

from burdockdrum.http1.heads import encode_response
from burdockdrum.http1.heads import Headers
from burdockdrum.http1.requests import RequestHead

# Smaller bodies are copied behind their head, to be sent at once. Larger ones
# may be the same object for many callers.
_COPIED_BYTES = 4 * 1024
_LAST_CHUNK = b"0\r\n\r\n"


class ResponseStarted(Exception):
    """A handler wrote a second head, which would end up in the body."""


class ResponseConnection(Protocol):
    """The interface of a connection that its exchanges use."""

    def write(self, data: bytes) -> None:
        """Write to the caller; ignored after it has disconnected."""
        ...

    async def drain(self) -> None:
        """Wait until the write buffer is below its high-water mark."""
        ...

    def will_stay_open(self, request: RequestHead) -> bool:
        """Return whether the connection is kept alive after a request."""
        ...


class Exchange:
    """A request and the response to it.

    A handler calls either ``respond`` once, or ``start``, ``write`` and
    ``finish``. Without ``finish`` the connection is closed before the last
    chunk, so that the caller detects a truncated response. One that doesn't
    know chunks gets a response that ends with the connection, or a reset.
    """

    def __init__(
        self, *, request: RequestHead, connection: ResponseConnection
    ) -> None:
        """Create the exchange of a request."""
        self.request = request
        self.started = False
        self.finished = False
        self._is_streamed = False
        # What the head of the response said.
        self._is_kept: bool | None = None
        self._connection = connection

    @property
    def is_unframed(self) -> bool:
        """Whether the response ends with its connection."""
        return self._is_streamed and not self.request.knows_chunks

    @property
    def keeps_connection(self) -> bool:
        """Whether another request may follow on the connection.

        That does not change after the head of the response, as the caller
        relies on it.
        """
        if self._is_kept is not None:
            return self._is_kept
        return not self.is_unframed and self._connection.will_stay_open(
            self.request
        )

    def respond(
        self,
        status: int,
        headers: Headers,
        body: bytes,
        *,
        is_last: bool = False,
    ) -> None:
        """Send a complete response.

        :param is_last: whether the connection is closed after it
        :raises ResponseStarted: if the response has begun
        """
        self._check_not_started()
        if is_last:
            self._is_kept = False
        length = (b"content-length", b"%d" % len(body))
        head = self._encode_head(status, [*headers, length])
        self.started = True
        if self.request.method == b"HEAD":
            body = b""
        if len(body) < _COPIED_BYTES:
            self._connection.write(head + body)
        else:
            self._connection.write(head)
            self._connection.write(body)
        self.finished = True

    def start(self, status: int, headers: Headers) -> None:
        """Send the head of a streamed response.

        :raises ResponseStarted: if the response has begun
        """
        self._check_not_started()
        self.started = self._is_streamed = True
        if self.request.knows_chunks:
            headers = [*headers, (b"transfer-encoding", b"chunked")]
        self._connection.write(self._encode_head(status, headers))

    def write(self, part: bytes) -> None:
        """Send a part of the body."""
        if part and self.request.knows_chunks:
            part = b"%x\r\n%s\r\n" % (len(part), part)
        self._connection.write(part)

    async def drain(self) -> None:
        """Wait until the write buffer is below its high-water mark."""
        await self._connection.drain()

    def finish(self) -> None:
        """Send the end of the body."""
        if self.request.knows_chunks:
            self._connection.write(_LAST_CHUNK)
        self.finished = True

    def _check_not_started(self) -> None:
        if self.started:
            raise ResponseStarted("the response has a head already")

    def _encode_head(self, status: int, headers: Headers) -> bytes:
        self._is_kept = self.keeps_connection
        if not self._is_kept:
            headers = [*headers, (b"connection", b"close")]
        return encode_response(status, headers)

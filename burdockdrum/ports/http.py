"""The port for HTTP requests to endpoints and to other entry VMs.

Its errors tell a request that failed before any byte was sent from one that
may have reached the server, which decides whether it may be retried.
"""

from collections.abc import AsyncIterator
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import Protocol

# Of a body that is read whole; a longer one is read in parts.
MAX_WHOLE_BODY_BYTES = 64 * 1024 * 1024


class ConnectFailed(Exception):
    """No connection was established: no byte of the request was sent."""


class AnswerLost(Exception):
    """The response was lost after the request may have been sent.

    Raised while the head or the body of the response is read, because the
    connection broke or a timeout expired.
    """


class AnswerTooLarge(AnswerLost):
    """The body of a response is too large to be read whole."""


@dataclass(frozen=True, kw_only=True)
class UpstreamCall:
    """One HTTP request to an endpoint or another entry VM."""

    method: str
    url: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""
    connect_timeout: float = 1.0
    head_timeout: float = 60.0


class UpstreamAnswer(Protocol):
    """The head of a response, and its body as a stream."""

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        ...

    @property
    def headers(self) -> Mapping[str, str]:
        """Return the headers, names in lower case."""
        ...

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body's chunks as they arrive.

        A slow reader slows down the sender, so that memory stays bounded.

        :raises AnswerLost: if the body is truncated
        """
        ...

    async def close(self) -> None:
        """Close the connection unless the whole body was read."""
        ...


async def read_whole(answer: UpstreamAnswer) -> bytes:
    """Return the whole body of a response.

    :raises AnswerTooLarge: if it exceeds ``MAX_WHOLE_BODY_BYTES``
    :raises AnswerLost: if the body is truncated
    """
    parts: list[bytes] = []
    size = 0
    async for part in answer.chunks():
        parts.append(part)
        size += len(part)
        if size > MAX_WHOLE_BODY_BYTES:
            await answer.close()
            raise AnswerTooLarge(
                f"the body is over the limit of {MAX_WHOLE_BODY_BYTES} bytes"
            )
    return b"".join(parts)


class HttpClient(Protocol):
    """A client that sends requests and never retries by itself."""

    async def open(self, call: UpstreamCall) -> UpstreamAnswer:
        """Send a request and wait for the head of its response.

        :raises ConnectFailed: if nothing was sent
        :raises AnswerLost: if the request may have been sent
        """
        ...

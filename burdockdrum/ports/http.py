"""The port for HTTP calls to endpoints and to other entry VMs.

The port separates what a verdict needs: a call that failed before a byte of
the request could leave, and one that failed after.
"""

from collections.abc import AsyncIterator
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import Protocol


class ConnectFailed(Exception):
    """No connection came about: no byte of the request has left."""


class AnswerLost(Exception):
    """The connection broke or was silent after the request may have left.

    Raised while the head or the body of the answer is read.
    """


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
    """The head of an answer, and its body as a stream."""

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        ...

    @property
    def headers(self) -> Mapping[str, str]:
        """Return the headers, names in lower case."""
        ...

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body's parts as they arrive.

        Reading slowly holds the sender back: bounded memory is held.

        :raises AnswerLost: if the body was cut before its end
        """
        ...

    async def close(self) -> None:
        """Close the connection unless the body was read to its end."""
        ...


async def read_whole(answer: UpstreamAnswer) -> bytes:
    """Return an answer's whole body.

    :raises AnswerLost: if the body was cut before its end
    """
    return b"".join([part async for part in answer.chunks()])


class HttpClient(Protocol):
    """A client that opens calls and never retries by itself."""

    async def open(self, call: UpstreamCall) -> UpstreamAnswer:
        """Send a request and wait for the head of its answer.

        :raises ConnectFailed: if nothing was sent
        :raises AnswerLost: if the request may have been sent
        """
        ...

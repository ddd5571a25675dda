"""A request as it came in, and the answer that goes out."""

from collections.abc import AsyncIterator
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
import enum


class RequestKind(enum.Enum):
    """How the answer of a request is framed and completed."""

    CHAT = "chat"
    COMPLETION = "completion"
    PLAIN = "plain"


@dataclass(frozen=True, kw_only=True)
class InboundRequest:
    """A caller's request after its form was checked.

    ``deadline`` and ``received_at`` are on this VM's monotonic clock in
    seconds. ``hops`` names the data centres that have passed it on, oldest
    first. ``prefix_hashes`` names growing prefixes of the prompt.
    """

    request_id: str
    client_id: str
    service: str
    kind: RequestKind
    method: str
    path: str
    body: bytes
    content_type: str
    stream: bool
    received_at: float
    deadline: float
    priority_class: str | None = None
    unrepeatable: bool = False
    idempotency_key: str | None = None
    adapter: str | None = None
    prompt_tokens: int = 0
    max_tokens: int = 0
    prefix_hashes: tuple[int, ...] = ()
    fingerprint: str = ""
    hops: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class Answer:
    """The head of an answer and the stream of its body.

    The stream ends cleanly only when the answer is complete.
    """

    status: int
    content_type: str
    body: AsyncIterator[bytes]
    headers: Mapping[str, str] = field(default_factory=dict)

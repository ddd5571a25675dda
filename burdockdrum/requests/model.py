"""A request as it came in, and the answer that goes out."""

from collections.abc import AsyncIterator
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
import enum

# RFC 9110, section 9.2.2: what may be sent again without asking.
_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})


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
    ``resume_offset`` is how many tokens the caller has already.
    ``headers`` are those that a plain service may need.
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
    displaced: bool = False
    resume_offset: int = 0
    headers: tuple[tuple[str, str], ...] = ()

    @property
    def may_run_again(self) -> bool:
        """Say whether the gateway may run it again after it may have run.

        A completion only computes. A call of a plain service that is not
        idempotent by its method is repeated only under a key by which the
        service itself can tell the copies.
        """
        if self.unrepeatable:
            return False
        if self.kind is not RequestKind.PLAIN:
            return True
        if self.idempotency_key is not None:
            return True
        return self.method in _IDEMPOTENT_METHODS


@dataclass(frozen=True, kw_only=True)
class Answer:
    """The head of an answer and the stream of its body.

    The stream ends cleanly only when the answer is complete.
    """

    status: int
    content_type: str
    body: AsyncIterator[bytes] | bytes
    headers: Mapping[str, str] = field(default_factory=dict)

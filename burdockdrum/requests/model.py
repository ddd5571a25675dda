"""The data of a received request and of the answer to it."""

from collections.abc import AsyncIterator
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
import enum
from functools import cached_property

from burdockdrum.crashes import PART_PREFIX

# RFC 9110, section 9.2.2.
_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})


class RequestKind(enum.Enum):
    """The kind of a request, which determines the format of its answer."""

    CHAT = "chat"
    COMPLETION = "completion"
    PLAIN = "plain"


@dataclass(frozen=True, kw_only=True)
class InboundRequest:
    """A validated request.

    ``deadline`` and ``received_at`` are on this VM's monotonic clock in
    seconds. ``hops`` lists the data centres that have forwarded it, oldest
    first. ``prefix_hashes`` are the hashes of the prompt's prefixes,
    shortest first. ``resume_offset`` is the number of tokens already sent to
    the caller, and ``software_version`` that of the endpoint which began it,
    None if none has. ``headers`` are forwarded to the endpoint.
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
    software_version: str | None = None
    headers: tuple[tuple[str, str], ...] = ()

    @cached_property
    def parts(self) -> tuple[str, ...]:
        """Return the fingerprints of the prompt's parts.

        They are prefixes that other requests may share, which the longest one
        is not.
        """
        return tuple(
            f"{PART_PREFIX}{self.service}-{prefix:x}"
            for prefix in self.prefix_hashes[:-1]
        )

    @property
    def may_run_again(self) -> bool:
        """Return whether a request that may have run can be retried.

        Completions have no side effects. A call of a plain service must have
        an idempotent method, or an idempotency key by which the service
        itself recognizes duplicates.
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
    """The head of an answer and its body.

    The stream of a body ends without an error only if it is complete.
    """

    status: int
    content_type: str
    body: AsyncIterator[bytes] | bytes
    headers: Mapping[str, str] = field(default_factory=dict)

"""What is recorded while a history runs.

Times are seconds of the event loop, which no VM's clock skews.
"""

from dataclasses import dataclass
from dataclasses import field
import enum


class Sort(enum.Enum):
    """The sorts of request that callers send."""

    STREAMED = "streamed"
    WHOLE = "whole"
    BOOKING = "booking"


class Ending(enum.Enum):
    """How a caller saw a request end."""

    ANSWERED = "answered"
    REFUSED = "refused"
    CUT = "cut"
    UNREACHED = "unreached"


@dataclass(frozen=True, kw_only=True)
class Sent:
    """A caller sent a request to an entry VM.

    ``number`` names the sending; a resent request has another number and
    the same ``key``.
    """

    time: float
    number: int
    client_id: str
    entry: str
    sort: Sort
    key: str | None


@dataclass(frozen=True, kw_only=True)
class Ended:
    """How it ended for the caller, and what it had received by then."""

    time: float
    number: int
    ending: Ending
    verdict: str | None = None
    code: str | None = None
    text: str = ""
    marked_done: bool = False


@dataclass(frozen=True, kw_only=True)
class Ran:
    """An endpoint was sent a request and began to run it.

    A booking shows only its ``key``, because a resent one is the same.
    """

    time: float
    endpoint_id: str
    region: str
    number: int | None
    key: str | None
    incarnation: int = 0


@dataclass(frozen=True, kw_only=True)
class Forwarded:
    """An entry VM was passed a request by another data centre."""

    time: float
    data_centre: str
    request_id: str
    hops: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class Left:
    """An endpoint announced that this start of it leaves."""

    time: float
    endpoint_id: str
    incarnation: int = 0


@dataclass(frozen=True, kw_only=True)
class Drained:
    """A VM was told to drain at ``time`` and exited at ``until``."""

    time: float
    until: float
    vm_id: str


@dataclass(frozen=True, kw_only=True)
class Accepted:
    """An operator was told that a change is accepted."""

    time: float
    revision: int
    kind: str
    name: str
    value: str


@dataclass(frozen=True, kw_only=True)
class InForce:
    """What a VM had in force at a moment; ``values`` are by resource."""

    time: float
    vm_id: str
    incarnation: int
    revision: int
    values: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, kw_only=True)
class FaultSpan:
    """A fault that lasted for a while and touched some hosts."""

    start: float
    end: float
    name: str
    hosts: frozenset[str]


@dataclass
class History:
    """Everything that was recorded, in the order of recording."""

    residency_by_client: dict[str, frozenset[str]] = field(
        default_factory=dict
    )
    sent: list[Sent] = field(default_factory=list)
    ended: list[Ended] = field(default_factory=list)
    ran: list[Ran] = field(default_factory=list)
    forwarded: list[Forwarded] = field(default_factory=list)
    left: list[Left] = field(default_factory=list)
    drained: list[Drained] = field(default_factory=list)
    accepted: list[Accepted] = field(default_factory=list)
    in_force: list[InForce] = field(default_factory=list)
    faults: list[FaultSpan] = field(default_factory=list)
    answers_by_number: dict[int, str] = field(default_factory=dict)
    ended_at: float = 0.0

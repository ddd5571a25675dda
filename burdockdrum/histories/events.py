"""Events that are recorded in a history.

Times are seconds of the event loop's clock, without the skew of VM clocks.
"""

from dataclasses import dataclass
from dataclasses import field
import enum


class Sort(enum.Enum):
    """The kinds of request that callers send."""

    STREAMED = "streamed"
    WHOLE = "whole"
    BOOKING = "booking"


class Ending(enum.Enum):
    """The outcome of a request as its caller sees it."""

    ANSWERED = "answered"
    REFUSED = "refused"
    CUT = "cut"
    UNREACHED = "unreached"


@dataclass(frozen=True, kw_only=True)
class RequestSent:
    """A caller sent a request to an entry VM.

    ``number`` identifies the attempt; a resent request has a new number and
    the same ``key``.
    """

    time: float
    number: int
    client_id: str
    entry: str
    sort: Sort
    key: str | None


@dataclass(frozen=True, kw_only=True)
class RequestEnded:
    """A request ended for its caller, with what was received until then."""

    time: float
    number: int
    ending: Ending
    verdict: str | None = None
    code: str | None = None
    text: str = ""
    has_terminator: bool = False


@dataclass(frozen=True, kw_only=True)
class Ran:
    """An endpoint received a request and started to run it.

    A booking has only a ``key``, as all its attempts look the same to the
    endpoint.
    """

    time: float
    endpoint_id: str
    region: str
    number: int | None
    key: str | None
    incarnation: int = 0


@dataclass(frozen=True, kw_only=True)
class RequestForwarded:
    """An entry VM received a request forwarded by another data centre."""

    time: float
    data_centre: str
    request_id: str
    hops: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class EndpointDraining:
    """An incarnation of an endpoint announced that it is draining."""

    time: float
    endpoint_id: str
    incarnation: int = 0


@dataclass(frozen=True, kw_only=True)
class Drained:
    """A VM started to drain at ``time`` and exited at ``until``."""

    time: float
    until: float
    vm_id: str


@dataclass(frozen=True, kw_only=True)
class ChangeAccepted:
    """A change of an operator was accepted."""

    time: float
    revision: int
    kind: str
    name: str
    value: str


@dataclass(frozen=True, kw_only=True)
class InForce:
    """A sample of a VM's configuration: its revision and resource values."""

    time: float
    vm_id: str
    incarnation: int
    revision: int
    values: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, kw_only=True)
class FaultSpan:
    """A fault, from start to end, and the hosts that it affected."""

    start: float
    end: float
    name: str
    hosts: frozenset[str]


@dataclass
class History:
    """All events of a run, in the order of recording."""

    residency_by_client: dict[str, frozenset[str]] = field(
        default_factory=dict
    )
    sent: list[RequestSent] = field(default_factory=list)
    ended: list[RequestEnded] = field(default_factory=list)
    ran: list[Ran] = field(default_factory=list)
    forwarded: list[RequestForwarded] = field(default_factory=list)
    draining: list[EndpointDraining] = field(default_factory=list)
    drained: list[Drained] = field(default_factory=list)
    accepted: list[ChangeAccepted] = field(default_factory=list)
    in_force: list[InForce] = field(default_factory=list)
    faults: list[FaultSpan] = field(default_factory=list)
    expected_text_by_number: dict[int, str] = field(default_factory=dict)
    ended_at: float = 0.0

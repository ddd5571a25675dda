"""The faults that a schedule may hold."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Isolate:
    """All links between a region and the others drop silently."""

    region: str


@dataclass(frozen=True, kw_only=True)
class CutOneWay:
    """Links from a region to another drop silently, not the way back."""

    source: str
    target: str


@dataclass(frozen=True, kw_only=True)
class Lossy:
    """Every link loses, doubles and reorders control messages."""

    loss: float


@dataclass(frozen=True, kw_only=True)
class CrashVm:
    """A VM stops at once, and starts again when the fault ends.

    ``lose_disk`` gives it an empty disk on return.
    """

    vm_id: str
    lose_disk: bool = False


@dataclass(frozen=True, kw_only=True)
class LosePower:
    """Every VM of a region stops at once and starts again together."""

    region: str


@dataclass(frozen=True, kw_only=True)
class CrashEndpoint:
    """An endpoint stops at once, and starts again when the fault ends."""

    endpoint_id: str


@dataclass(frozen=True, kw_only=True)
class LeaveEndpoint:
    """An endpoint announces that it leaves; no fault, but a change."""

    endpoint_id: str


@dataclass(frozen=True, kw_only=True)
class DrainVm:
    """A VM is drained and replaced; no fault, but a change."""

    vm_id: str


Fault = (
    Isolate
    | CutOneWay
    | Lossy
    | CrashVm
    | LosePower
    | CrashEndpoint
    | LeaveEndpoint
    | DrainVm
)


@dataclass(frozen=True, kw_only=True)
class Planned:
    """A fault with its start and how long it lasts, in seconds."""

    start: float
    seconds: float
    fault: Fault

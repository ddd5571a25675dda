"""The faults that a schedule may hold."""

from dataclasses import asdict
from dataclasses import dataclass
import json
import random


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


_FAULTS_BY_NAME: dict[str, type] = {
    fault.__name__: fault
    for fault in (
        Isolate,
        CutOneWay,
        Lossy,
        CrashVm,
        LosePower,
        CrashEndpoint,
        LeaveEndpoint,
        DrainVm,
    )
}


def encode_plan(plan: list[Planned]) -> str:
    """Return a plan as JSON, for the command that replays it."""
    return json.dumps(
        [
            {
                "start": planned.start,
                "seconds": planned.seconds,
                "fault": type(planned.fault).__name__,
                **asdict(planned.fault),
            }
            for planned in plan
        ]
    )


def decode_plan(text: str) -> list[Planned]:
    """Return the plan that ``encode_plan`` wrote."""
    plan = []
    for fields in json.loads(text):
        start, seconds = fields.pop("start"), fields.pop("seconds")
        fault = _FAULTS_BY_NAME[fields.pop("fault")](**fields)
        plan.append(Planned(start=start, seconds=seconds, fault=fault))
    return plan


def draw_fault(rng: random.Random, regions: tuple[str, ...]) -> Fault:
    """Choose a fault."""
    region = rng.choice(regions)
    other = rng.choice([name for name in regions if name != region])
    vm_id = f"{region}-{rng.choice((1, 2))}"
    engine = f"{region}-engine{rng.choice((1, 2))}"
    faults: list[Fault] = [
        Isolate(region=region),
        CutOneWay(source=region, target=other),
        Lossy(loss=rng.choice((0.05, 0.2))),
        CrashVm(vm_id=vm_id),
        LosePower(region=region),
        CrashEndpoint(endpoint_id=engine),
        LeaveEndpoint(endpoint_id=engine),
        DrainVm(vm_id=vm_id),
    ]
    return rng.choice(faults)


def draw_plan(rng: random.Random, regions: tuple[str, ...]) -> list[Planned]:
    """Choose one to four faults, often two at a time."""
    return [
        Planned(
            start=round(rng.uniform(0, 14), 1),
            seconds=round(rng.uniform(0.5, 8), 1),
            fault=draw_fault(rng, regions),
        )
        for _ in range(rng.randint(1, 4))
    ]

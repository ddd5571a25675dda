"""Faults and operations of a fault plan, and their JSON encoding."""

from dataclasses import asdict
from dataclasses import dataclass
import json
import random


@dataclass(frozen=True, kw_only=True)
class Isolate:
    """All links between a region and the others are cut."""

    region: str


@dataclass(frozen=True, kw_only=True)
class CutOneWay:
    """Links from one region to another are cut, the reverse ones are not."""

    source: str
    target: str


@dataclass(frozen=True, kw_only=True)
class Lossy:
    """Every link loses and duplicates control messages."""

    loss: float


@dataclass(frozen=True, kw_only=True)
class CrashVm:
    """A VM crashes and restarts when the fault ends.

    With ``lose_disk`` it restarts with an empty disk.
    """

    vm_id: str
    lose_disk: bool = False


@dataclass(frozen=True, kw_only=True)
class LosePower:
    """All VMs of a region lose power and restart when the fault ends."""

    region: str


@dataclass(frozen=True, kw_only=True)
class CrashEndpoint:
    """An endpoint crashes and restarts when the fault ends."""

    endpoint_id: str


@dataclass(frozen=True, kw_only=True)
class LeaveEndpoint:
    """An endpoint starts to drain; an operation rather than a fault."""

    endpoint_id: str


@dataclass(frozen=True, kw_only=True)
class DrainVm:
    """A VM is drained and restarted; an operation rather than a fault."""

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
    """A fault with its start and duration in seconds."""

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
    """Return the plan that ``encode_plan`` encoded."""
    plan = []
    for fields in json.loads(text):
        start, seconds = fields.pop("start"), fields.pop("seconds")
        fault = _FAULTS_BY_NAME[fields.pop("fault")](**fields)
        plan.append(Planned(start=start, seconds=seconds, fault=fault))
    return plan


def draw_fault(rng: random.Random, regions: tuple[str, ...]) -> Fault:
    """Choose a random fault."""
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
    """Choose one to four faults, which may overlap."""
    return [
        Planned(
            start=round(rng.uniform(0, 14), 1),
            seconds=round(rng.uniform(0.5, 8), 1),
            fault=draw_fault(rng, regions),
        )
        for _ in range(rng.randint(1, 4))
    ]

"""The workloads of two users, as open-loop arrivals."""

from collections.abc import Iterator
from dataclasses import dataclass
import math
import random

from burdockdrum.emulator import EngineSettings

# The period of the daily load curve, compressed to the length of a run.
DAY_SECONDS = 300.0
# The daily peak above the mean, as a fraction of the mean.
DAILY_PEAK_FRACTION = 0.3
BLOCK_TOKENS = 128
# The fraction of requests that residency binds to their home region.
REGION_BOUND_FRACTION = 0.12
_ZIPF_EXPONENT = 1.1


@dataclass(frozen=True, kw_only=True)
class RequestClass:
    """A class of requests; ranges are uniform distributions in tokens."""

    name: str
    service: str
    share: float
    rank: int
    worth: float
    deadline: float
    prompt_blocks: tuple[int, int]
    tail_tokens: tuple[int, int]
    answer_tokens: tuple[int, int]


@dataclass(frozen=True, kw_only=True)
class User:
    """A user's regions, runners and request classes.

    ``runners`` gives the runners of each service by region. ``capacity`` is
    the total rate in requests per second that saturates them, as measured
    by ``python -m scripts.experiment.capacity``.
    """

    name: str
    regions: tuple[str, ...]
    runners: dict[str, tuple[int, ...]]
    engines: dict[str, EngineSettings]
    classes: tuple[RequestClass, ...]
    documents: int
    capacity: float
    prefer: str


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """One request of a caller in a region.

    A request that is region-bound may run in no other region.
    """

    number: int
    at: float
    region: str
    request_class: RequestClass
    prefix_hashes: tuple[int, ...]
    prompt_tokens: int
    answer_tokens: int
    is_region_bound: bool


def _engine(service: str, slots: int) -> EngineSettings:
    return EngineSettings(
        service=service,
        slots=slots,
        prefill_seconds=0.0002,
        token_seconds=0.02,
        sequence_seconds=0.0015,
        steps_at_once=1000,
        cache_blocks=150,
        cache_event_lag=1.0,
        cache_event_loss=0.1,
        report_lag=1.0,
    )


ZOLDSAV = User(
    name="zoldsav",
    regions=("dunantul", "alfold", "eszak"),
    runners={"planner": (3, 3, 3), "roster": (1, 1, 1)},
    engines={
        "planner": _engine("planner", 8),
        "roster": _engine("roster", 8),
    },
    classes=(
        RequestClass(
            name="restriction",
            service="planner",
            share=0.25,
            rank=0,
            worth=10.0,
            deadline=20.0,
            prompt_blocks=(4, 8),
            tail_tokens=(20, 100),
            answer_tokens=(30, 90),
        ),
        RequestClass(
            name="plan",
            service="planner",
            share=0.40,
            rank=1,
            worth=5.0,
            deadline=60.0,
            prompt_blocks=(10, 24),
            tail_tokens=(50, 300),
            answer_tokens=(100, 300),
        ),
        RequestClass(
            name="archive",
            service="planner",
            share=0.10,
            rank=2,
            worth=1.0,
            deadline=60.0,
            prompt_blocks=(10, 24),
            tail_tokens=(50, 300),
            answer_tokens=(100, 300),
        ),
        RequestClass(
            name="roster",
            service="roster",
            share=0.25,
            rank=1,
            worth=1.0,
            deadline=10.0,
            prompt_blocks=(0, 0),
            tail_tokens=(50, 150),
            answer_tokens=(1, 1),
        ),
    ),
    documents=40,
    capacity=17.5,
    prefer="tail",
)

COULEE = User(
    name="coulee",
    regions=("saskatchewan", "alberta", "manitoba"),
    runners={"drafter": (2, 2, 1), "ledger": (1, 1, 1)},
    engines={
        "drafter": _engine("drafter", 8),
        "ledger": _engine("ledger", 8),
    },
    classes=(
        RequestClass(
            name="due_draft",
            service="drafter",
            share=0.15,
            rank=0,
            worth=20.0,
            deadline=90.0,
            prompt_blocks=(10, 24),
            tail_tokens=(50, 300),
            answer_tokens=(200, 600),
        ),
        RequestClass(
            name="draft",
            service="drafter",
            share=0.30,
            rank=1,
            worth=5.0,
            deadline=120.0,
            prompt_blocks=(10, 24),
            tail_tokens=(50, 300),
            answer_tokens=(200, 600),
        ),
        RequestClass(
            name="query",
            service="drafter",
            share=0.30,
            rank=1,
            worth=1.0,
            deadline=15.0,
            prompt_blocks=(2, 6),
            tail_tokens=(20, 100),
            answer_tokens=(20, 80),
        ),
        RequestClass(
            name="ledger",
            service="ledger",
            share=0.25,
            rank=1,
            worth=0.5,
            deadline=10.0,
            prompt_blocks=(0, 0),
            tail_tokens=(50, 150),
            answer_tokens=(1, 1),
        ),
    ),
    documents=25,
    capacity=4.9,
    prefer="worth",
)

USERS = {user.name: user for user in (ZOLDSAV, COULEE)}


def make_arrivals(
    user: User, load_of: "LoadOf", seconds: float, seed: int
) -> Iterator[Arrival]:
    """Yield the arrivals of a run in order of time.

    An open-loop Poisson process per region, thinned to the current rate:
    arrivals do not depend on the responses.

    :param load_of: the load by region and time, as a fraction of capacity
    """
    rng = random.Random(seed)
    shares = _capacity_shares(user)
    highest = user.capacity * 3.0
    now = 0.0
    number = 0
    while True:
        now += rng.expovariate(highest)
        if now > seconds:
            return
        index = rng.choices(range(len(user.regions)), shares)[0]
        rate = load_of(index, now) * _daily_factor(
            index, now, len(user.regions)
        )
        if rng.random() * 3.0 > rate:
            continue
        number += 1
        yield _make_arrival(user, index, now, number, rng)


class LoadOf:
    """The load of a region at a time, as a fraction of its capacity."""

    def __call__(self, region_index: int, now: float) -> float:
        """Return the load as a fraction of capacity."""
        raise NotImplementedError


def _capacity_shares(user: User) -> list[float]:
    main = next(iter(user.runners.values()))
    return [count / sum(main) for count in main]


def _daily_factor(index: int, now: float, regions: int) -> float:
    phase = now / DAY_SECONDS + index / regions
    return 1 + DAILY_PEAK_FRACTION * math.sin(2 * math.pi * phase)


def _make_arrival(
    user: User, index: int, now: float, number: int, rng: random.Random
) -> Arrival:
    classes = user.classes
    chosen = rng.choices(classes, [c.share for c in classes])[0]
    document = _zipf(rng, user.documents)
    low, high = chosen.prompt_blocks
    # All sessions on a document have the same prefix length.
    blocks = low + (document * 7) % (high - low + 1) if high else 0
    tail = rng.randint(*chosen.tail_tokens)
    base = (index * 1000 + document) * 1000 + 1
    return Arrival(
        number=number,
        at=now,
        region=user.regions[index],
        request_class=chosen,
        prefix_hashes=tuple(base + i for i in range(blocks)),
        prompt_tokens=blocks * BLOCK_TOKENS + tail,
        answer_tokens=rng.randint(*chosen.answer_tokens),
        is_region_bound=rng.random() < REGION_BOUND_FRACTION,
    )


def _zipf(rng: random.Random, count: int) -> int:
    weights = [1 / (rank + 1) ** _ZIPF_EXPONENT for rank in range(count)]
    return rng.choices(range(count), weights)[0]

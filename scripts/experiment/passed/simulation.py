"""Simulate a day under a policy and summarize the results."""

import collections
from collections.abc import Callable
from collections.abc import Hashable
from dataclasses import dataclass
import functools
import random
import statistics

from scripts.experiment.passed.callers import Call
from scripts.experiment.passed.callers import Outcome
from scripts.experiment.passed.loads import Arrival
from scripts.experiment.passed.loads import Day
from scripts.experiment.passed.loads import make_arrivals
from scripts.experiment.passed.schedule import Schedule
from scripts.experiment.passed.shapes import Mix
from scripts.experiment.passed.shapes import Shape
from scripts.experiment.passed.variants import PolicyVariant
from scripts.experiment.passed.world import World

# Entries and engines run this long before the first request.
_WARM_UP_SECONDS = 1.0
# Length of the windows of which the worst are reported.
WINDOW_SECONDS = 2.0
# Requests in flight may complete this long after the last arrival.
_DRAIN_SECONDS = 10.0


@dataclass(frozen=True, kw_only=True)
class Result:
    """The figures of a day; fractions of requests or worth from 0 to 1.

    ``read_again`` is the fraction of prefilled tokens that some engine had
    computed before; the errors are those of the estimated time to the first
    event, in seconds.
    """

    requests: int
    worth: float
    worst_windows: float
    worst_kind: float
    worst_team: float
    in_time: float
    late: float
    refused: float
    failed: float
    refused_again: float
    away: float
    read_again: float
    error_p50: float
    error_p95: float


def simulate_day(
    *,
    day: Day,
    mix: Mix,
    shape: Shape,
    variant: PolicyVariant,
    seed: int,
    time_scale: float = 1.0,
    measure_from: float = 0.0,
) -> tuple[Result, list[Outcome]]:
    """Simulate a day.

    :param time_scale: factor of all times, including those of the engines
    :param measure_from: requests before this time of the day are not counted,
        as the entries' estimates are still based on priors
    """
    schedule = Schedule()
    world = World(
        shape=shape.scaled(time_scale),
        variant=variant,
        schedule=schedule,
        seed=seed,
        time_scale=time_scale,
    )
    scaled_day = day.scaled(time_scale)
    world.start(scaled_day.incidents)
    schedule.run(_WARM_UP_SECONDS * time_scale)
    outcomes: list[Outcome] = []
    rng = random.Random(seed + 1)
    started_at = schedule.now

    def send(arrival: Arrival) -> None:
        outcome = Outcome(arrival=arrival)
        outcomes.append(outcome)
        Call(
            world=world, outcome=outcome, rng=rng, sent_at=schedule.now
        ).start()

    for arrival in make_arrivals(day, mix, seed, time_scale):
        schedule.at(started_at + arrival.at, functools.partial(send, arrival))
    schedule.run(started_at + scaled_day.seconds + _DRAIN_SECONDS * time_scale)
    counted = [
        o for o in outcomes if o.arrival.at >= measure_from * time_scale
    ]
    return summarize(world, counted, WINDOW_SECONDS * time_scale), counted


def summarize(world: World, outcomes: list[Outcome], window: float) -> Result:
    """Return the figures of a completed day."""
    total = len(outcomes)
    completed = [o for o in outcomes if o.is_complete]
    refused = [o for o in outcomes if o.refusals and not o.is_complete]
    failed = [o for o in outcomes if not o.refusals and not o.is_complete]
    errors = sorted(
        abs(o.first_at - o.expected_first)
        for o in outcomes
        if o.first_at is not None and o.expected_first is not None
    )
    computed_tokens = sum(engine.prefilled_tokens for engine in world.engines)
    return Result(
        requests=total,
        worth=_worth_fraction(outcomes),
        worst_windows=_worst_windows(outcomes, window),
        worst_kind=_worst_group(outcomes, lambda o: o.arrival.kind.name),
        worst_team=_worst_group(outcomes, lambda o: o.arrival.team),
        in_time=sum(o.is_in_time for o in outcomes) / total,
        late=sum(not o.is_in_time for o in completed) / total,
        refused=len(refused) / total,
        failed=len(failed) / total,
        refused_again=sum(o.refusals > 1 for o in outcomes) / total,
        away=sum(o.away for o in outcomes) / total,
        read_again=max(
            0.0, 1 - _required_tokens(outcomes) / max(1, computed_tokens)
        ),
        error_p50=_percentile(errors, 0.5),
        error_p95=_percentile(errors, 0.95),
    )


def _worth_fraction(outcomes: list[Outcome]) -> float:
    owed = sum(o.arrival.kind.worth for o in outcomes)
    return sum(o.worth for o in outcomes) / max(1e-9, owed)


def _worst_windows(outcomes: list[Outcome], window: float) -> float:
    """Return the mean worth of the two worst windows."""
    by_window: dict[int, list[Outcome]] = collections.defaultdict(list)
    for outcome in outcomes:
        by_window[int(outcome.arrival.at / window)].append(outcome)
    fractions = sorted(map(_worth_fraction, by_window.values()))
    return statistics.fmean(fractions[:2])


def _worst_group(
    outcomes: list[Outcome], key: Callable[[Outcome], Hashable]
) -> float:
    """Return the least worth of all groups, as a fraction of the owed."""
    by_key: dict[Hashable, list[Outcome]] = collections.defaultdict(list)
    for outcome in outcomes:
        by_key[key(outcome)].append(outcome)
    return min(map(_worth_fraction, by_key.values()))


def _required_tokens(outcomes: list[Outcome]) -> int:
    """Return the tokens to prefill if each shared part is computed once."""
    shared: dict[str, int] = {}
    own = 0
    for outcome in outcomes:
        if not outcome.runs:
            continue
        *shared_parts, last = outcome.arrival.prompt.parts
        own += last.tokens
        shared.update((part.part_id, part.tokens) for part in shared_parts)
    return own + sum(shared.values())


def _percentile(ordered: list[float], fraction: float) -> float:
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]

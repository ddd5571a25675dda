"""Run one policy under one scenario and summarize the outcomes."""

import asyncio
import collections
from dataclasses import dataclass
from dataclasses import field
import time

from burdockdrum.metrics import Metrics
from burdockdrum.testing import run_virtual
from scripts.experiment.driver import Driver
from scripts.experiment.driver import Ending
from scripts.experiment.driver import Outcome
from scripts.experiment.policies import Policy
from scripts.experiment.scenarios import Scenario
from scripts.experiment.workload import User
from scripts.experiment.world import World


@dataclass(frozen=True, kw_only=True)
class Result:
    """The figures of a policy under a scenario; times are in seconds.

    ``cost`` is the engine time per completed request. ``answered`` is the
    fraction of completed requests; the percentiles are those of the main
    service. ``out_of_bounds`` counts requests that ran in a region that
    residency forbids. ``worth`` is the completed fraction of the worth of
    all classes, ``top_worth`` that of the most valuable class.
    """

    user: str
    scenario: str
    policy: str
    sent: int
    answered: float
    cost: float
    first_p50: float
    first_p95: float
    first_p99: float
    end_p50: float
    end_p95: float
    end_p99: float
    elsewhere: float
    out_of_bounds: int
    worth: float
    top_worth: float
    refused: dict[str, int] = field(default_factory=dict)
    wall_seconds: float = 0.0


def run_policy(
    user: User, scenario: Scenario, policy: Policy, seeds: range
) -> Result:
    """Run a scenario under virtual time, once with each seed.

    The outcomes of all seeds are summarized together.
    """
    began = time.perf_counter()
    measured: list[Outcome] = []
    busy = 0.0
    for seed in seeds:
        outcomes, cost = run_virtual(_run(user, scenario, policy, seed))
        busy += cost / len(seeds)
        measured += [
            outcome
            for outcome in outcomes
            if outcome.arrival.at >= scenario.measure_from
        ]
    wall = time.perf_counter() - began
    return _summarize_outcomes(user, scenario, policy, measured, busy, wall)


async def _run(
    user: User, scenario: Scenario, policy: Policy, seed: int
) -> tuple[list[Outcome], float]:
    world = World(user=user, policy=policy, seed=seed)
    driver = Driver(world=world, scenario=scenario, seed=seed)
    running = asyncio.create_task(world.run(scenario.events))
    sending = asyncio.create_task(driver.run())
    done, _ = await asyncio.wait(
        {running, sending}, return_when=asyncio.FIRST_COMPLETED
    )
    for task in done:
        task.result()
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    busy = sum(h.engine.busy_seconds for h in world.hosts_by_id.values())
    completed = sum(o.ending is Ending.WHOLE for o in driver.outcomes)
    return driver.outcomes, busy / max(1, completed)


def _summarize_outcomes(
    user: User,
    scenario: Scenario,
    policy: Policy,
    outcomes: list[Outcome],
    cost: float,
    wall: float,
) -> Result:
    main = next(iter(user.runners))
    completed = [o for o in outcomes if o.ending is Ending.WHOLE]
    metrics = Metrics()
    first = metrics.histogram("first", "To the first token.")
    end = metrics.histogram("end", "To the end.")
    for outcome in completed:
        if outcome.arrival.request_class.service == main:
            first.record(outcome.first_token)
            end.record(outcome.finish)
    away = sum(o.ran_in_region != o.arrival.region for o in completed)
    refused = collections.Counter(
        f"{o.ending.value} {o.code}".strip()
        for o in outcomes
        if o.ending is not Ending.WHOLE
    )
    top = max(user.classes, key=lambda c: c.worth)
    return Result(
        user=user.name,
        scenario=scenario.name,
        policy=policy.name,
        sent=len(outcomes),
        answered=len(completed) / max(1, len(outcomes)),
        cost=cost,
        first_p50=first.percentile(50),
        first_p95=first.percentile(95),
        first_p99=first.percentile(99),
        end_p50=end.percentile(50),
        end_p95=end.percentile(95),
        end_p99=end.percentile(99),
        elsewhere=away / max(1, len(completed)),
        out_of_bounds=sum(
            o.arrival.is_region_bound and o.ran_in_region != o.arrival.region
            for o in completed
        ),
        worth=_worth(completed) / max(1e-9, _worth(outcomes)),
        top_worth=_worth(completed, top.name)
        / max(1e-9, _worth(outcomes, top.name)),
        refused=dict(refused),
        wall_seconds=wall,
    )


def _worth(outcomes: list[Outcome], name: str | None = None) -> float:
    return sum(
        outcome.arrival.request_class.worth
        for outcome in outcomes
        if name is None or outcome.arrival.request_class.name == name
    )

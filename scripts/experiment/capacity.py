"""Measure the request rate that saturates a user's runners.

Usage: python -m scripts.experiment.capacity

Each region is overloaded by requests without deadlines; the rate of
completions is the capacity of the user in workload.py.
"""

import asyncio
import dataclasses

from burdockdrum.testing import run_virtual
from scripts.experiment.driver import Driver
from scripts.experiment.policies import LeastLoadRouter
from scripts.experiment.policies import Policy
from scripts.experiment.scenarios import Scenario
from scripts.experiment.scenarios import Steady
from scripts.experiment.workload import User
from scripts.experiment.workload import USERS
from scripts.experiment.world import World

RUN_SECONDS = 120.0
_MEASURE_FROM_SECONDS = 40.0


def measure_capacity(user: User) -> float:
    """Return the completed requests per second of the whole mix."""
    classes_without_deadline = tuple(
        dataclasses.replace(c, deadline=1e6) for c in user.classes
    )
    user = dataclasses.replace(user, classes=classes_without_deadline)
    return run_virtual(_run(user))


async def _run(user: User) -> float:
    policy = Policy(name="", router=LeastLoadRouter)
    world = World(user=user, policy=policy, seed=1)
    scenario = Scenario(
        name="", title="", load_of=Steady(load=2.0), seconds=RUN_SECONDS
    )
    driver = Driver(world=world, scenario=scenario, seed=1)
    tasks = [
        asyncio.create_task(world.run(())),
        asyncio.create_task(driver.run()),
    ]
    main = next(iter(user.runners))
    engines = [
        host.engine for name, host in world.hosts_by_id.items() if main in name
    ]
    await asyncio.sleep(_MEASURE_FROM_SECONDS)
    before = sum(engine.completed for engine in engines)
    await asyncio.sleep(RUN_SECONDS - _MEASURE_FROM_SECONDS)
    done = sum(engine.completed for engine in engines) - before
    for task in tasks:
        task.cancel()
    share = sum(c.share for c in user.classes if c.service == main)
    return done / (RUN_SECONDS - _MEASURE_FROM_SECONDS) / share


if __name__ == "__main__":
    for name, each in USERS.items():
        print(f"{name}: {measure_capacity(each):.1f} requests a second")

"""Measure at which rate a user's runners are full.

Usage: python -m scripts.experiment.capacity

Each region gets far more than it can do, with no deadlines; the rate of
completions is the capacity that workload.py states for each user.
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

SECONDS = 120.0
_FROM = 40.0


def measure_capacity(user: User) -> float:
    """Return the completions a second of all classes in their mix."""
    patient = tuple(dataclasses.replace(c, deadline=1e6) for c in user.classes)
    user = dataclasses.replace(user, classes=patient)
    return run_virtual(_run(user))


async def _run(user: User) -> float:
    policy = Policy(name="", router=LeastLoadRouter)
    world = World(user=user, policy=policy, seed=1)
    scenario = Scenario(
        name="", title="", load_of=Steady(load=2.0), seconds=SECONDS
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
    await asyncio.sleep(_FROM)
    before = sum(engine.completed for engine in engines)
    await asyncio.sleep(SECONDS - _FROM)
    done = sum(engine.completed for engine in engines) - before
    for task in tasks:
        task.cancel()
    share = sum(c.share for c in user.classes if c.service == main)
    return done / (SECONDS - _FROM) / share


if __name__ == "__main__":
    for name, each in USERS.items():
        print(f"{name}: {measure_capacity(each):.1f} requests a second")

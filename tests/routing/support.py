"""An emulated data centre for the tests of routing."""

import asyncio
import collections
import dataclasses

from burdockdrum.testing import run_virtual
from scripts.experiment.driver import Driver
from scripts.experiment.driver import Outcome
from scripts.experiment.policies import Policy
from scripts.experiment.scenarios import Event
from scripts.experiment.scenarios import Scenario
from scripts.experiment.scenarios import Steady
from scripts.experiment.workload import User
from scripts.experiment.workload import ZOLDSAV
from scripts.experiment.world import World

SAMPLE_SECONDS = 0.25


def make_user(runners: int, rate: float, report_lag: float) -> User:
    """Return a workload with one region and short requests only."""
    classes = tuple(c for c in ZOLDSAV.classes if c.name == "restriction")
    engine = dataclasses.replace(
        ZOLDSAV.engines["planner"], report_lag=report_lag
    )
    return dataclasses.replace(
        ZOLDSAV,
        regions=("dunantul",),
        runners={"planner": (runners,)},
        engines={"planner": engine},
        classes=classes,
        capacity=rate,
    )


class Trial:
    """One run of a scenario, which samples the load of each engine."""

    def __init__(
        self,
        *,
        user: User,
        policy: Policy,
        seconds: float,
        events: tuple[Event, ...] = (),
        entries: int = 2,
        seed: int = 1,
    ) -> None:
        self.loads: list[list[int]] = []
        self.begun: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self.outcomes: list[Outcome] = []
        self._user = user
        self._policy = policy
        self._entries = entries
        self._seed = seed
        self._scenario = Scenario(
            name="",
            title="",
            load_of=Steady(load=1.0),
            events=events,
            seconds=seconds,
        )

    def run(self) -> "Trial":
        """Run to the end under virtual time."""
        run_virtual(self._run())
        return self

    async def _run(self) -> None:
        world = World(
            user=self._user,
            policy=self._policy,
            seed=self._seed,
            entries_a_region=self._entries,
        )
        for entry in world.entries:
            self._count(entry.router)
        driver = Driver(world=world, scenario=self._scenario, seed=self._seed)
        tasks = [
            asyncio.create_task(world.run(self._scenario.events)),
            asyncio.create_task(self._sample(world)),
        ]
        await driver.run()
        self.outcomes = driver.outcomes
        for task in tasks:
            task.cancel()

    def _count(self, router) -> None:
        begin = router.begin

        def count(endpoint, request):
            tens = int(asyncio.get_running_loop().time() // 10)
            self.begun[(endpoint.endpoint_id, tens)] += 1
            return begin(endpoint, request)

        router.begin = count

    async def _sample(self, world: World) -> None:
        while True:
            await asyncio.sleep(SAMPLE_SECONDS)
            self.loads.append(
                [
                    host.engine.running + host.engine.waiting
                    for host in world.hosts_by_id.values()
                ]
            )

    def count_begun(self, endpoint_id: str, begin: int, end: int) -> int:
        """Return the number of attempts at an endpoint between two times.

        The times are in seconds, in multiples of ten.
        """
        return sum(
            count
            for (name, tens), count in self.begun.items()
            if name == endpoint_id and begin <= tens * 10 < end
        )

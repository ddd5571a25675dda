"""Changes and reads while disks of control VMs refuse writes in series."""

import asyncio
import os
import unittest

from loguru import logger

from burdockdrum.configuration import ChangeNotAccepted
from burdockdrum.configuration import ChangeOutcomeUnknown
from burdockdrum.consensus import NotCurrent
from burdockdrum.testing import run_virtual
from tests.configuration.deployment import Deployment

CONTROL_IDS = ["n1.1", "s1.1", "e1.1"]
ENTRY_IDS = ["n1.2", "s1.2", "e1.2"]
FIRST_FULL_AT = 13.0
FULL_SECONDS = 5.0
CALM_SECONDS = 10.0
# A change is sent again until it is accepted, a read until it is answered.
OPERATOR_SECONDS = 10.0
READ_SECONDS = 1.0
# More seeds: BURDOCKDRUM_SEEDS=100 python3 run.py test ...refusing_disks
SEEDS = range(int(os.environ.get("BURDOCKDRUM_SEEDS", "4")))


class Operator:
    """Makes changes one after the other and reads them back."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._version = 0
        self._rng = deployment.cluster.rng

    async def change_and_read(self) -> None:
        """Change a resource, and read it back at any control VM."""
        await self._change()
        reads = [asyncio.ensure_future(self._read(v)) for v in CONTROL_IDS]
        try:
            async with asyncio.timeout(OPERATOR_SECONDS):
                await next(asyncio.as_completed(reads))
        finally:
            for read in reads:
                read.cancel()

    async def read_at_each(self) -> None:
        """Read at each control VM."""
        async with asyncio.timeout(OPERATOR_SECONDS):
            await asyncio.gather(*(self._read(v) for v in CONTROL_IDS))

    async def _change(self) -> None:
        change_id = f"change-{self._version + 1}"
        async with asyncio.timeout(OPERATOR_SECONDS):
            while True:
                try:
                    result = await self._deployment.put(
                        self._rng.choice(CONTROL_IDS + ENTRY_IDS),
                        "region",
                        "changed",
                        {"description": change_id},
                        version=self._version,
                        change_id=change_id,
                    )
                    break
                except (ChangeNotAccepted, ChangeOutcomeUnknown):
                    await asyncio.sleep(0.1)
        assert result.code == "accepted", result
        self._version = result.revision

    async def _read(self, vm_id: str) -> None:
        """Read until a control VM confirms what it has."""
        while True:
            try:
                read = await self._deployment.configuration(
                    vm_id
                ).read_committed(READ_SECONDS)
                break
            except NotCurrent:
                await asyncio.sleep(0.1)
        assert read.revision >= self._version, (vm_id, read.revision)


class RefusingDisksTest(unittest.TestCase):
    """Two disks are full, one after the other, and all lose power."""

    def setUp(self):
        logger.disable("burdockdrum")
        self.addCleanup(logger.enable, "burdockdrum")

    def test_confirmed_change_comes_back_after_disks_full_in_series(self):
        # Guards against a control VM that stays out of the quorum after its
        # disk was full, so that the second such disk ends the control plane.
        for seed in SEEDS:
            for leads_first in (True, False):
                with self.subTest(seed=seed, leads_first=leads_first):
                    run_virtual(play(seed, leads_first))


async def play(seed: int, leads_first: bool) -> None:
    """Fill two disks in turn, and read back what was accepted.

    :param leads_first: whether the first of them is the leader's
    """
    deployment = Deployment(
        seed=seed, vm_ids=CONTROL_IDS + ENTRY_IDS, control_ids=CONTROL_IDS
    )
    deployment.cluster.network.set_default(delay=0.01, jitter=0.005)
    await deployment.start()
    operator = Operator(deployment)
    while deployment.leader_id() is None:
        await asyncio.sleep(0.1)
    rng = deployment.cluster.rng
    second_at = FIRST_FULL_AT + rng.uniform(8.0, 9.0)
    end = second_at + FULL_SECONDS + CALM_SECONDS
    async with asyncio.TaskGroup() as group:
        group.create_task(_fill_disks(deployment, leads_first, second_at))
        while asyncio.get_running_loop().time() < end:
            await operator.change_and_read()
            await asyncio.sleep(rng.uniform(0.5, 2.0))
    for vm_id in CONTROL_IDS + ENTRY_IDS:
        await deployment.crash(vm_id, power=True)
    await asyncio.sleep(3.0)
    for vm_id in CONTROL_IDS + ENTRY_IDS:
        await deployment.start_vm(vm_id)
    await operator.read_at_each()
    await operator.change_and_read()
    await deployment.stop()


async def _fill_disks(
    deployment: Deployment, leads_first: bool, second_at: float
) -> None:
    """Fill the disk of the leader or a follower, then another follower's."""
    former = None
    for at, leads in ((FIRST_FULL_AT, leads_first), (second_at, False)):
        await asyncio.sleep(at - asyncio.get_running_loop().time())
        leader = deployment.leader_id()
        vm_id = next(
            v for v in CONTROL_IDS if v != former and (v == leader) == leads
        )
        disk = deployment.cluster.disks_by_vm_id[vm_id]
        disk.full = True
        await asyncio.sleep(FULL_SECONDS)
        disk.full = False
        former = vm_id

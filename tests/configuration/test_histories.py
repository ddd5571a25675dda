"""Concurrent operators under faults: one chain of versions, none lost.

Each resource's accepted changes must form one chain: every version follows
from exactly one accepted change under the version before. That is what
linearizability comes to for compare-and-set alone, and it is checked in
linear time (Gibbons and Korach, "Testing Shared Memories", 1997).
"""

import asyncio
from dataclasses import dataclass
import os
import random
import unittest

from burdockdrum.configuration import ChangeNotAccepted
from burdockdrum.configuration import ChangeUnknown
from burdockdrum.testing import run_virtual
from tests.configuration.deployment import Deployment

VM_IDS = ["n1.1", "n1.2", "s1.1", "e1.1"]
CONTROL_IDS = ["n1.1", "s1.1", "e1.1"]
NAMES = ["a", "b"]
OPERATORS = 4
FAULT_SECONDS = 25.0
# More seeds: BURDOCKDRUM_SEEDS=500 python3 run.py test tests.configuration
SEEDS = range(int(os.environ.get("BURDOCKDRUM_SEEDS", "12")))


@dataclass(frozen=True, kw_only=True)
class Accepted:
    """One change that an operator was told is accepted."""

    change_id: str
    name: str
    expected_version: int
    version: int
    began: float
    ended: float


class History:
    """What the operators were told."""

    def __init__(self, deployment: Deployment, rng: random.Random) -> None:
        self.deployment = deployment
        self.rng = rng
        self.accepted: list[Accepted] = []
        self.not_accepted: set[str] = set()
        self.faults: list[str] = []
        self._number = 0

    async def operate(self) -> None:
        """Change resources under the version last seen, and resend."""
        versions = dict.fromkeys(NAMES, 0)
        while True:
            name = self.rng.choice(NAMES)
            result = await self._change(name, versions[name])
            if result is not None:
                current = result.current
                versions[name] = current.version if current else 0
            await asyncio.sleep(self.rng.uniform(0, 0.5))

    async def _change(self, name: str, version: int):
        self._number += 1
        change_id = f"c{self._number}"
        began = asyncio.get_running_loop().time()
        in_doubt = False
        while True:
            up = list(self.deployment.cluster.vms_by_id)
            if not up:
                await asyncio.sleep(0.2)
                continue
            try:
                async with asyncio.timeout(8):
                    result = await self.deployment.put(
                        self.rng.choice(up),
                        "region",
                        name,
                        {"description": change_id},
                        version=version,
                        change_id=change_id,
                    )
            except ChangeNotAccepted:
                if not in_doubt and self.rng.random() < 0.5:
                    self.not_accepted.add(change_id)
                    return None
                continue
            except (ChangeUnknown, TimeoutError):
                in_doubt = True
                continue
            if result.code == "accepted":
                self._note(change_id, name, version, result, began)
            return result

    def _note(self, change_id, name, version, result, began) -> None:
        self.accepted.append(
            Accepted(
                change_id=change_id,
                name=name,
                expected_version=version,
                version=result.revision,
                began=began,
                ended=asyncio.get_running_loop().time(),
            )
        )

    async def disturb(self) -> None:
        """Cut, crash and power off VMs, alone and all at once."""
        loop = asyncio.get_running_loop()
        end = loop.time() + FAULT_SECONDS
        while loop.time() < end:
            await asyncio.sleep(self.rng.uniform(0.2, 3))
            victims = [self.rng.choice(VM_IDS)]
            if self.rng.random() < 0.2:
                victims = VM_IDS
            if self.rng.random() < 0.5 and victims != VM_IDS:
                self.deployment.cut(victims)
                await asyncio.sleep(self.rng.uniform(0.2, 5))
                self.deployment.heal(victims)
                continue
            for vm_id in victims:
                await self.deployment.crash(vm_id, power=True)
            await asyncio.sleep(self.rng.uniform(0, 3))
            for vm_id in victims:
                await self.deployment.start_vm(vm_id)

    def watch_revisions(self) -> None:
        """Note if a VM goes back to an older revision while it runs."""
        for vm_id in VM_IDS:
            service = self.deployment.configuration(vm_id)
            service.add_listener(self._make_check(vm_id))

    def _make_check(self, vm_id: str):
        last = 0

        def check(configuration) -> None:
            nonlocal last
            if configuration.revision < last:
                self.faults.append(f"{vm_id} went back from {last}")
            last = configuration.revision

        return check


def check_chains(accepted: list[Accepted]) -> list[str]:
    """Return what contradicts one chain of versions a resource."""
    faults = []
    last_by_name = dict.fromkeys(NAMES, 0)
    latest_began = 0.0
    for change in sorted(accepted, key=lambda change: change.version):
        if change.expected_version < last_by_name[change.name]:
            faults.append(f"{change} won over another")
        if change.ended < latest_began:
            faults.append(f"{change} comes after one that began later")
        last_by_name[change.name] = change.version
        latest_began = max(latest_began, change.began)
    versions = [change.version for change in accepted]
    if len(set(versions)) != len(versions):
        faults.append("a revision was given twice")
    return faults


async def make_history(seed: int) -> History:
    """Run operators under faults that a seed draws, then heal all."""
    rng = random.Random(seed)
    deployment = Deployment(seed=seed, vm_ids=VM_IDS, control_ids=CONTROL_IDS)
    deployment.cluster.network.set_default(
        delay=0.01, jitter=0.05, loss=0.03, duplicate=0.05
    )
    await deployment.start()
    history = History(deployment, rng)
    history.watch_revisions()
    tasks = [asyncio.create_task(history.operate()) for _ in range(OPERATORS)]
    await history.disturb()
    await asyncio.sleep(5)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await deployment.wait_for(max(c.version for c in history.accepted))
    await asyncio.sleep(5)
    check_end(history)
    await deployment.stop()
    return history


def check_end(history: History) -> None:
    """Check the state that all VMs have at the end against the history."""
    configurations = [
        history.deployment.configuration(vm_id).current for vm_id in VM_IDS
    ]
    if len({c.digest for c in configurations}) != 1:
        history.faults.append("the VMs differ at the end")
    for resource in configurations[0].resources_by_key.values():
        told = [c for c in history.accepted if c.name == resource.name]
        last = max((c.version for c in told), default=0)
        if resource.version < last:
            history.faults.append(f"{resource} lacks version {last}")
        if resource.spec.description in history.not_accepted:
            history.faults.append(f"{resource} was said not to be accepted")
    history.faults += check_chains(history.accepted)


class HistoryTest(unittest.TestCase):
    def test_concurrent_operators_under_faults(self):
        # Four operators change the same two resources under versions that
        # they read, at any VM, and resend what got no answer. Meanwhile
        # VMs are cut off, crash and lose power, also all at once, and
        # messages are lost, doubled and overtaken. Every change that was
        # answered "accepted" is one link of its resource's chain of versions
        # and is still there at the end, alike on all VMs.
        for seed in SEEDS:
            with self.subTest(seed=seed):
                history = run_virtual(make_history(seed))
                self.assertEqual([], history.faults)
                self.assertGreater(len(history.accepted), 10)

    def test_two_winners_are_caught(self):
        # The check itself: a second change accepted under one version, and
        # one revision given to two, are both seen.
        first = Accepted(
            change_id="x",
            name="a",
            expected_version=0,
            version=1,
            began=0.0,
            ended=1.0,
        )
        second = Accepted(
            change_id="y",
            name="a",
            expected_version=0,
            version=2,
            began=0.0,
            ended=1.0,
        )
        self.assertEqual(1, len(check_chains([first, second])))
        self.assertEqual(2, len(check_chains([first, first])))

    def test_order_against_time_is_caught(self):
        # A change that was answered before another was sent has the later
        # revision: whoever read between them saw the future.
        early, late = (
            Accepted(
                change_id=name,
                name=name,
                expected_version=0,
                version=version,
                began=began,
                ended=began + 1,
            )
            for name, version, began in (("a", 2, 0.0), ("b", 1, 5.0))
        )
        self.assertEqual(1, len(check_chains([early, late])))

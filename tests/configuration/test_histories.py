"""Randomized tests of linearizability of changes under faults.

The accepted changes of a resource must form a single chain of versions. For
compare-and-set operations this is equivalent to linearizability and can be
checked in linear time (Gibbons and Korach, "Testing Shared Memories", 1997).
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
    """A change that was acknowledged as accepted."""

    change_id: str
    name: str
    expected_version: int
    version: int
    began: float
    ended: float


class History:
    """The results that operators got, with the violations found."""

    def __init__(self, deployment: Deployment, rng: random.Random) -> None:
        self.deployment = deployment
        self.rng = rng
        self.accepted: list[Accepted] = []
        self.not_accepted: set[str] = set()
        self.violations: list[str] = []
        self._number = 0

    async def operate(self) -> None:
        """Change resources under the last seen version, with retries."""
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
                self._record_accepted(change_id, name, version, result, began)
            return result

    def _record_accepted(
        self, change_id, name, version, result, began
    ) -> None:
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

    async def inject_faults(self) -> None:
        """Partition, crash and power off VMs, one or all at once."""
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
        """Record a violation if a VM returns to an older revision."""
        for vm_id in VM_IDS:
            service = self.deployment.configuration(vm_id)
            service.add_listener(self._make_check(vm_id))

    def _make_check(self, vm_id: str):
        last = 0

        def check(configuration) -> None:
            nonlocal last
            if configuration.revision < last:
                self.violations.append(
                    f"{vm_id} returned to a revision before {last}"
                )
            last = configuration.revision

        return check


def check_chains(accepted: list[Accepted]) -> list[str]:
    """Return violations of a single chain of versions per resource."""
    violations = []
    last_by_name = dict.fromkeys(NAMES, 0)
    latest_began = 0.0
    for change in sorted(accepted, key=lambda change: change.version):
        if change.expected_version < last_by_name[change.name]:
            violations.append(f"{change} is based on a superseded version")
        if change.ended < latest_began:
            violations.append(
                f"{change} is ordered after one that began after its end"
            )
        last_by_name[change.name] = change.version
        latest_began = max(latest_began, change.began)
    versions = [change.version for change in accepted]
    if len(set(versions)) != len(versions):
        violations.append("a revision was assigned twice")
    return violations


async def make_history(seed: int) -> History:
    """Run operators under faults generated from a seed, then heal them."""
    rng = random.Random(seed)
    deployment = Deployment(seed=seed, vm_ids=VM_IDS, control_ids=CONTROL_IDS)
    deployment.cluster.network.set_default(
        delay=0.01, jitter=0.05, loss=0.03, duplicate=0.05
    )
    await deployment.start()
    history = History(deployment, rng)
    history.watch_revisions()
    tasks = [asyncio.create_task(history.operate()) for _ in range(OPERATORS)]
    await history.inject_faults()
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
    """Check the final state of all VMs against the history."""
    configurations = [
        history.deployment.configuration(vm_id).current for vm_id in VM_IDS
    ]
    if len({c.digest for c in configurations}) != 1:
        history.violations.append("the final states of the VMs differ")
    for resource in configurations[0].resources_by_key.values():
        acknowledged = [c for c in history.accepted if c.name == resource.name]
        last = max((c.version for c in acknowledged), default=0)
        if resource.version < last:
            history.violations.append(
                f"{resource} is older than accepted version {last}"
            )
        if resource.spec.description in history.not_accepted:
            history.violations.append(
                f"{resource} was reported as not accepted"
            )
    history.violations += check_chains(history.accepted)


class HistoryTest(unittest.TestCase):
    def test_concurrent_operators_under_faults(self):
        # Four operators change two resources through any VM, under partitions,
        # crashes, power losses and lost, duplicated and reordered messages.
        # No accepted change may be lost or conflict with another one.
        for seed in SEEDS:
            with self.subTest(seed=seed):
                history = run_virtual(make_history(seed))
                self.assertEqual([], history.violations)
                self.assertGreater(len(history.accepted), 10)

    def test_conflicting_changes_are_detected(self):
        # Verifies the check: two changes of the same version, and a revision
        # that was assigned twice.
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

    def test_order_against_real_time_is_detected(self):
        # Verifies the check: a change must not be ordered after one that was
        # sent after its acknowledgement.
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

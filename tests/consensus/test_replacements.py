"""Tests of replacing control VMs one after the other."""

import asyncio
import unittest

from loguru import logger

from burdockdrum.testing import run_virtual
from tests.consensus.cluster import Cluster

VOTERS = 3
# Between two losses; from a loss to the start of the empty VM; and from there
# until all voters run again.
REPLACEMENT_INTERVAL_SECONDS = 8.0
START_DELAY_SECONDS = 1.0
CATCH_UP_TIMEOUT_SECONDS = 4.0


def make_cluster(*, seed=1):
    cluster = Cluster(
        seed=seed,
        target_voter_count=VOTERS,
        read_control_addresses=lambda: [
            vm.address for vm in cluster.vms.values()
        ],
        election_timeout_seconds=0.6,
        heartbeat_seconds=0.12,
        call_timeout_seconds=0.3,
    )
    cluster.network.set_default(delay=0.055)
    return cluster


def running_voters(cluster):
    """Return the ids of the voters if all run, else an empty set."""
    leader = next((log for log in cluster.logs if log.is_leader), None)
    if leader is None:
        return set()
    disks = {m.vm_id: m.disk_id for m in leader.members if m.voter}
    alive = {vm.vm_id for vm in cluster.vms.values() if vm.task}
    if not disks.keys() <= alive:
        return set()
    return {
        vm_id
        for vm_id, disk_id in disks.items()
        if cluster.vms[vm_id].running.disk_id == disk_id
    }


async def wait_until_redundant(cluster, seconds):
    """Wait until all voters run; return the seconds, None on timeout."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    while loop.time() - began < seconds:
        if len(running_voters(cluster)) == VOTERS:
            return loop.time() - began
        await asyncio.sleep(0.05)
    return None


def oldest(cluster):
    """Return the id of the running VM with the oldest disk."""
    return next(vm.vm_id for vm in cluster.vms.values() if vm.task)


class ReplacementTest(unittest.TestCase):
    """Control VMs that are lost for good and replaced by empty ones."""

    def setUp(self):
        logger.disable("burdockdrum")
        self.addCleanup(logger.enable, "burdockdrum")

    def run_scenario(self, scenario, *, seeds=4):
        async def main(seed):
            cluster = make_cluster(seed=seed)
            await cluster.start_all()
            leader = await cluster.wait_for_leader()
            await leader.propose(b"first", timeout=5)
            kept = [b"first", *await scenario(cluster)]
            leader = await cluster.wait_for_leader()
            await leader.propose(b"last", timeout=5)
            await cluster.wait_until_applied()
            for vm in cluster.vms.values():
                if vm.task:
                    self.assertEqual([*kept, b"last"], vm.machine.commands)
            await cluster.stop_all()
            self.assertEqual([], cluster.errors)

        for seed in range(seeds):
            with self.subTest(seed=seed):
                run_virtual(main(seed))

    async def replace(self, cluster, vm_id):
        """Stop a VM for good and start an empty one after a delay."""
        await cluster.stop(vm_id)
        await asyncio.sleep(START_DELAY_SECONDS)
        await cluster.start(cluster.add_vm().vm_id)

    def test_ten_replacements_oldest_disk_first(self):
        # Guards against a replacement that becomes a voter only after the
        # next loss, which would then end the quorum.
        async def scenario(cluster):
            commands = []
            for number in range(10):
                leader = await cluster.wait_for_leader()
                commands.append(b"%d" % number)
                await leader.propose(commands[-1], timeout=5)
                await self.replace(cluster, oldest(cluster))
                took = await wait_until_redundant(
                    cluster, CATCH_UP_TIMEOUT_SECONDS
                )
                self.assertIsNotNone(took, f"replacement {number}")
                remaining = (
                    REPLACEMENT_INTERVAL_SECONDS - START_DELAY_SECONDS - took
                )
                await asyncio.sleep(remaining)
            return commands

        self.run_scenario(scenario)

    def test_replacing_the_leader_repeatedly(self):
        # A new leader must detect the loss of its predecessor by itself.
        async def scenario(cluster):
            for number in range(5):
                leader = await cluster.wait_for_leader()
                await self.replace(cluster, cluster.vm_of(leader).vm_id)
                took = await wait_until_redundant(
                    cluster, CATCH_UP_TIMEOUT_SECONDS
                )
                self.assertIsNotNone(took, f"replacement {number}")
            return []

        self.run_scenario(scenario)

    def test_replacement_lost_while_it_joins(self):
        # The replacement is lost soon after its start. Two lost members
        # beside two running ones would be without a quorum.
        async def scenario(cluster):
            for pause in (0.3, 0.8, 1.3):
                await self.replace(cluster, oldest(cluster))
                newcomer = list(cluster.vms)[-1]
                await asyncio.sleep(pause)
                await self.replace(cluster, newcomer)
                took = await wait_until_redundant(
                    cluster, CATCH_UP_TIMEOUT_SECONDS
                )
                self.assertIsNotNone(took, f"after {pause} s")
                await asyncio.sleep(1)
            return []

        self.run_scenario(scenario)

    def test_planned_replacement_starts_the_new_vm_first(self):
        # The new VM is a learner before the old one transfers its leadership
        # and stops.
        async def scenario(cluster):
            for number in range(4):
                leaving = oldest(cluster)
                await cluster.start(cluster.add_vm().vm_id)
                await asyncio.sleep(2)
                await cluster.vms[leaving].running.transfer_leadership()
                await cluster.stop(leaving)
                took = await wait_until_redundant(
                    cluster, CATCH_UP_TIMEOUT_SECONDS
                )
                self.assertIsNotNone(took, f"replacement {number}")
            return []

        self.run_scenario(scenario)

    def test_emptied_founder_returns_after_all_were_replaced(self):
        # A founder that returns with an empty disk, and knows only the
        # founders, must not bootstrap a second cluster or become a voter.
        async def scenario(cluster):
            for vm_id in cluster.founders:
                await self.replace(cluster, vm_id)
                took = await wait_until_redundant(
                    cluster, CATCH_UP_TIMEOUT_SECONDS
                )
                self.assertIsNotNone(took, f"{vm_id} was replaced")
            returned = cluster.vms[next(iter(cluster.founders))]
            returned.disk.wipe()
            await cluster.start(returned.vm_id)
            await asyncio.sleep(CATCH_UP_TIMEOUT_SECONDS)
            self.assertEqual(VOTERS, len(running_voters(cluster)))
            self.assertNotIn(returned.vm_id, running_voters(cluster))
            return []

        self.run_scenario(scenario)

    def test_replaced_voter_returns_from_a_partition_as_learner(self):
        # A learner replaces a voter that is cut off. When that one returns
        # with its disk, the number of voters must not grow.
        async def scenario(cluster):
            await cluster.start(cluster.add_vm().vm_id)
            await asyncio.sleep(2)
            for _ in range(3):
                leader = await cluster.wait_for_leader()
                cut = next(
                    vm_id
                    for vm_id in running_voters(cluster)
                    if vm_id != cluster.vm_of(leader).vm_id
                )
                cluster.cut_off(cut)
                await asyncio.sleep(3)
                self.assertNotIn(cut, running_voters(cluster))
                self.assertEqual(VOTERS, len(running_voters(cluster)))
                cluster.heal()
                await asyncio.sleep(3)
                self.assertEqual(VOTERS, len(running_voters(cluster)))
                self.assertEqual(4, len(leader.members))
            return []

        self.run_scenario(scenario)

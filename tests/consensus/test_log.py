"""Tests of the log in normal operation."""

import asyncio
import unittest

from burdockdrum.consensus import NotAccepted
from burdockdrum.consensus import OutcomeUnknown
from burdockdrum.testing import run_virtual
from tests.consensus.cluster import Cluster
from tests.consensus.cluster import with_cluster


class ReplicatedLogTest(unittest.TestCase):
    """Proposing and reading without failures."""

    def test_commands_apply_on_all_members(self):
        async def use(cluster):
            await cluster.wait_for_leader()
            for number in range(10):
                for vm_id in cluster.vms:
                    log = cluster.vms[vm_id].running
                    command = f"{vm_id}{number}".encode()
                    applied = await log.propose(command, timeout=5)
                    machine = cluster.vms[vm_id].machine
                    count = int(applied.result)
                    index = await log.read_barrier(timeout=5)
                    self.assertGreaterEqual(index, applied.index)
                    self.assertEqual(command, machine.commands[count - 1])
            await cluster.wait_until_applied()
            all_commands = [vm.machine.commands for vm in cluster.vms.values()]
            for commands in all_commands:
                self.assertEqual(all_commands[0], commands)
                self.assertEqual(10 * len(cluster.vms), len(commands))

        for size in (1, 3, 5):
            with self.subTest(size=size):
                run_virtual(with_cluster(Cluster(size=size), use))

    def test_large_command_is_refused(self):
        async def use(cluster):
            leader = await cluster.wait_for_leader()
            with self.assertRaises(NotAccepted):
                await leader.propose(b"x" * 2_000_000, timeout=5)

        run_virtual(with_cluster(Cluster(size=1), use))

    def test_leader_without_a_quorum_bounds_uncommitted_entries(self):
        # Uncommitted entries are kept in memory; beyond the limit, commands
        # are rejected for good.
        async def use(cluster):
            leader = await cluster.wait_for_leader()
            cluster.cut_off(cluster.vm_of(leader).vm_id)
            proposing = [
                asyncio.create_task(leader.propose(b"%d" % n, timeout=0.3))
                for n in range(8)
            ]
            await asyncio.wait(proposing)
            errors = [type(task.exception()) for task in proposing]
            self.assertEqual(5, errors.count(OutcomeUnknown))
            self.assertEqual(3, errors.count(NotAccepted))

        settings = {"max_uncommitted_entries": 5}
        run_virtual(with_cluster(Cluster(size=3, **settings), use))

    def test_member_catches_up_on_a_large_log(self):
        async def use(cluster):
            leader = await cluster.wait_for_leader()
            stopped_id = next(
                vm.vm_id for vm in cluster.vms.values() if vm.log != leader
            )
            await cluster.stop(stopped_id)
            for _ in range(30):
                await leader.propose(bytes(200_000), timeout=5)
            cluster.network.set_default(delay=0.055)
            await cluster.start(stopped_id)
            await cluster.wait_until_applied()
            self.assertEqual(30, len(cluster.vms[stopped_id].machine.commands))

        settings = {"snapshot_every_bytes": 100_000_000}
        run_virtual(with_cluster(Cluster(size=3, **settings), use))

    def test_listener_is_called_with_each_index(self):
        async def use(cluster):
            leader = await cluster.wait_for_leader()
            seen = []
            leader.add_listener(seen.append)
            for _ in range(3):
                await leader.propose(b"x", timeout=5)
            self.assertEqual([2, 3, 4], seen)
            page = cluster.vm_of(leader).metrics.text()
            self.assertIn("burdockdrum_log_leads 1", page)
            self.assertIn("burdockdrum_log_commit_index 4", page)

        run_virtual(with_cluster(Cluster(size=3), use))

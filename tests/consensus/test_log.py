"""Tests of the log's everyday work."""

import unittest

from burdockdrum.consensus import NotAccepted
from burdockdrum.testing import run_virtual
from tests.consensus.cluster import Cluster
from tests.consensus.cluster import with_cluster


class ReplicatedLogTest(unittest.TestCase):
    """Proposing and reading without failures."""

    def test_every_size_applies_on_all_members(self):
        async def use(cluster):
            await cluster.leader()
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
            await cluster.settle()
            all_commands = [vm.machine.commands for vm in cluster.vms.values()]
            for commands in all_commands:
                self.assertEqual(all_commands[0], commands)
                self.assertEqual(10 * len(cluster.vms), len(commands))

        for size in (1, 3, 5):
            with self.subTest(size=size):
                run_virtual(with_cluster(Cluster(size=size), use))

    def test_large_command_is_refused(self):
        async def use(cluster):
            leader = await cluster.leader()
            with self.assertRaises(NotAccepted):
                await leader.propose(b"x" * 2_000_000, timeout=5)

        run_virtual(with_cluster(Cluster(size=1), use))

    def test_listener_hears_of_each_index(self):
        async def use(cluster):
            leader = await cluster.leader()
            seen = []
            leader.add_listener(seen.append)
            for _ in range(3):
                await leader.propose(b"x", timeout=5)
            self.assertEqual([2, 3, 4], seen)
            page = cluster.vm_of(leader).metrics.text()
            self.assertIn("burdockdrum_log_leads 1", page)
            self.assertIn("burdockdrum_log_commit_index 4", page)

        run_virtual(with_cluster(Cluster(size=3), use))

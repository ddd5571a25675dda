"""Tests of partitions and of lost, delayed or duplicated messages."""

import asyncio
import unittest

from loguru import logger

from burdockdrum.consensus import NotCurrent
from burdockdrum.consensus import OutcomeUnknown
from burdockdrum.consensus import Role
from burdockdrum.testing import run_virtual
from tests.consensus.cluster import Cluster
from tests.consensus.cluster import with_cluster


class PartitionTest(unittest.TestCase):
    """Behaviour on both sides of a partition."""

    def setUp(self):
        logger.disable("burdockdrum")
        self.addCleanup(logger.enable, "burdockdrum")

    def test_isolated_leader_stops_within_its_lease(self):
        # Packets to and from the leader are dropped. It must stop serving
        # reads before another leader is elected, and must not depose that
        # one when it returns.
        async def use(cluster):
            old = await cluster.wait_for_leader()
            await old.propose(b"before", timeout=5)
            vm_id = cluster.vm_of(old).vm_id
            cluster.cut_off(vm_id)
            await asyncio.sleep(old._settings.lease_seconds)
            self.assertFalse(old.is_leader)
            self.assertFalse(any(log.is_leader for log in cluster.logs))
            with self.assertRaises(NotCurrent):
                await old.read_barrier(timeout=1)
            new = await cluster.wait_for_leader()
            await new.propose(b"during", timeout=5)
            await asyncio.sleep(600)
            term = new.term
            self.assertNotEqual(Role.LEADER, old.role)
            self.assertGreater(old.last_contact_age, 600)
            cluster.heal()
            await asyncio.sleep(10)
            self.assertTrue(new.is_leader)
            self.assertEqual(term, new.term)
            self.assertEqual(new.applied_index, old.applied_index)
            machine = cluster.vms[vm_id].machine
            self.assertEqual([b"before", b"during"], machine.commands)

        run_virtual(with_cluster(Cluster(), use))

    def test_lost_forwarded_command_is_resent(self):
        # A lost message must not cost the caller its whole timeout, and the
        # command is applied once.
        async def use(cluster):
            leader = await cluster.wait_for_leader()
            await cluster.wait_until_applied()
            vm_id = cluster.vm_of(leader).vm_id
            other = next(log for log in cluster.logs if log is not leader)
            cluster.network.cut([cluster.vm_of(other).vm_id], [vm_id])
            proposing = asyncio.create_task(other.propose(b"x", timeout=30))
            await asyncio.sleep(0.3)
            cluster.heal()
            await asyncio.sleep(2)
            self.assertTrue(proposing.done())
            self.assertEqual([b"x"], cluster.vms[vm_id].machine.commands)

        run_virtual(with_cluster(Cluster(), use))

    def test_write_on_an_isolated_leader_has_unknown_outcome(self):
        async def use(cluster):
            old = await cluster.wait_for_leader()
            cluster.cut_off(cluster.vm_of(old).vm_id)
            with self.assertRaises(OutcomeUnknown):
                await old.propose(b"x", timeout=0.5)

        run_virtual(with_cluster(Cluster(), use))

    def test_leader_without_replies_steps_down(self):
        # Heartbeats arrive, but no replies come back. The followers elect
        # no other leader until this one steps down.
        async def use(cluster):
            old = await cluster.wait_for_leader()
            vm_id = cluster.vm_of(old).vm_id
            others = [other for other in cluster.vms if other != vm_id]
            cluster.network.cut(others, [vm_id], both=False)
            await asyncio.sleep(8)
            self.assertFalse(old.is_leader)
            new = await cluster.wait_for_leader()
            self.assertIsNot(old, new)
            await new.propose(b"x", timeout=5)

        run_virtual(with_cluster(Cluster(), use))

    def test_member_that_receives_nothing_deposes_no_leader(self):
        # Its vote requests arrive. Members in contact with the leader deny
        # the pre-vote, so no term is raised.
        async def use(cluster):
            leader = await cluster.wait_for_leader()
            term = leader.term
            vm_id = next(
                vm.vm_id for vm in cluster.vms.values() if vm.log != leader
            )
            others = [other for other in cluster.vms if other != vm_id]
            cluster.network.cut(others, [vm_id], both=False)
            await asyncio.sleep(60)
            cluster.heal()
            await asyncio.sleep(5)
            self.assertTrue(leader.is_leader)
            self.assertEqual(term, leader.term)

        run_virtual(with_cluster(Cluster(), use))

    def test_duplicated_delayed_and_lost_messages(self):
        async def use(cluster):
            await cluster.wait_for_leader()
            cluster.network.set_default(
                delay=0.02, jitter=0.3, loss=0.1, duplicate=0.3
            )
            sent = set()
            for number in range(40):
                command = f"{number}".encode()
                try:
                    await cluster.logs[number % 3].propose(command, timeout=8)
                    sent.add(command)
                except OutcomeUnknown:
                    pass
            cluster.network.set_default(jitter=0.0, loss=0.0, duplicate=0.0)
            await cluster.wait_until_applied()
            lists = [vm.machine.commands for vm in cluster.vms.values()]
            self.assertEqual(lists[0], lists[1])
            self.assertEqual(lists[0], lists[2])
            self.assertLessEqual(sent, set(lists[0]))
            self.assertGreater(len(sent), 20)

        run_virtual(with_cluster(Cluster(seed=5), use))

    def test_lease_ends_when_the_leader_is_suspended(self):
        # The monotonic clock may stop during a suspension, so an expired
        # lease would look valid; only the wall clock has advanced.
        async def use(cluster):
            leader = await cluster.wait_for_leader()
            vm = cluster.vm_of(leader)
            vm.clock._wall_offset += 10
            self.assertFalse(leader.is_leader)
            await asyncio.sleep(1)
            self.assertTrue(leader.is_leader)

        run_virtual(with_cluster(Cluster(), use))

    def test_leadership_is_transferred_before_a_shutdown(self):
        # A new leader is elected without waiting for an election timeout.
        async def use(cluster):
            old = await cluster.wait_for_leader()
            await old.propose(b"x", timeout=5)
            await old.transfer_leadership()
            await asyncio.sleep(0.5)
            new = next(log for log in cluster.logs if log.is_leader)
            self.assertIsNot(old, new)
            await old.propose(b"y", timeout=5)

        run_virtual(with_cluster(Cluster(), use))

"""Tests of silent cuts, one-way cuts and messages that go astray."""

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
    """What the two sides of a cut do."""

    def setUp(self):
        logger.disable("burdockdrum")
        self.addCleanup(logger.enable, "burdockdrum")

    def test_isolated_leader_stops_claiming_within_its_lease(self):
        # Packets to and from the leader vanish without a reset. It stops
        # claiming to lead within its lease, before another is elected;
        # writes there end unknown and reads are refused. On return it
        # follows, and the term stays as it is.
        async def use(cluster):
            old = await cluster.leader()
            await old.propose(b"before", timeout=5)
            vm_id = cluster.vm_of(old).vm_id
            cluster.cut_off(vm_id)
            await asyncio.sleep(old._settings.lease_seconds)
            self.assertFalse(old.is_leader)
            self.assertFalse(any(log.is_leader for log in cluster.logs))
            with self.assertRaises(NotCurrent):
                await old.read_barrier(timeout=1)
            new = await cluster.leader()
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

    def test_lost_message_does_not_cost_the_whole_time(self):
        # A command that a follower passes on is lost on its way. It is sent
        # again within a second, and applied once.
        async def use(cluster):
            leader = await cluster.leader()
            await cluster.settle()
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

    def test_write_on_an_isolated_leader_is_not_called_refused(self):
        async def use(cluster):
            old = await cluster.leader()
            cluster.cut_off(cluster.vm_of(old).vm_id)
            with self.assertRaises(OutcomeUnknown):
                await old.propose(b"x", timeout=0.5)

        run_virtual(with_cluster(Cluster(), use))

    def test_leader_that_hears_nobody_makes_way(self):
        # Heartbeats leave, but no answer comes back. The followers keep
        # their promise as long as they hear it, so it must step down itself
        # for a leader that can commit to be elected.
        async def use(cluster):
            old = await cluster.leader()
            vm_id = cluster.vm_of(old).vm_id
            others = [other for other in cluster.vms if other != vm_id]
            cluster.network.cut(others, [vm_id], both=False)
            await asyncio.sleep(8)
            self.assertFalse(old.is_leader)
            new = await cluster.leader()
            self.assertIsNot(old, new)
            await new.propose(b"x", timeout=5)

        run_virtual(with_cluster(Cluster(), use))

    def test_member_that_hears_nobody_deposes_nobody(self):
        # It asks for votes for a minute, and its requests arrive. The trial
        # is refused by all who hear the leader, so no term is raised.
        async def use(cluster):
            leader = await cluster.leader()
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

    def test_doubled_late_and_lost_messages_do_no_harm(self):
        async def use(cluster):
            await cluster.leader()
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
            await cluster.settle()
            lists = [vm.machine.commands for vm in cluster.vms.values()]
            self.assertEqual(lists[0], lists[1])
            self.assertEqual(lists[0], lists[2])
            self.assertLessEqual(sent, set(lists[0]))
            self.assertGreater(len(sent), 20)

        run_virtual(with_cluster(Cluster(seed=5), use))

    def test_lease_ends_when_the_leader_was_suspended(self):
        # The leader's VM is stopped for ten seconds. Its monotonic clock did
        # not count them, so the lease seems to hold, while another member
        # may lead by now; only the wall clock has moved.
        async def use(cluster):
            leader = await cluster.leader()
            vm = cluster.vm_of(leader)
            vm.clock._wall_offset += 10
            self.assertFalse(leader.is_leader)
            await asyncio.sleep(1)
            self.assertTrue(leader.is_leader)

        run_virtual(with_cluster(Cluster(), use))

    def test_leadership_is_handed_over_before_a_shutdown(self):
        # No election timeout passes: the next leader is there within a few
        # round trips, and commands that were refused meanwhile go to it.
        async def use(cluster):
            old = await cluster.leader()
            await old.propose(b"x", timeout=5)
            await old.step_aside()
            await asyncio.sleep(0.5)
            new = next(log for log in cluster.logs if log.is_leader)
            self.assertIsNot(old, new)
            await old.propose(b"y", timeout=5)

        run_virtual(with_cluster(Cluster(), use))

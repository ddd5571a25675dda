"""Tests that the log lines tell why nothing is agreed or confirmed."""

import asyncio
import unittest

from loguru import logger

from burdockdrum.consensus import NotCurrent
from burdockdrum.testing import run_virtual
from tests.consensus.cluster import Cluster
from tests.consensus.cluster import with_cluster

SECONDS_WITHOUT_QUORUM = 20.0


class LostQuorumTest(unittest.TestCase):
    """Members that have no quorum, for several reasons."""

    def setUp(self):
        self.lines = []
        handler_id = logger.add(
            lambda message: self.lines.append(message.record), level="INFO"
        )
        self.addCleanup(logger.remove, handler_id)

    def find(self, event):
        """Return the fields of an event's lines."""
        return [r["extra"] for r in self.lines if r["message"] == event]

    def test_lines_name_silent_voters_and_are_bounded(self):
        # Guards against a quorum that is lost without a line that says
        # which members are missing.
        async def use(cluster):
            vm = cluster.vm_of(await cluster.wait_for_leader())
            cluster.cut_off(vm.vm_id)
            await asyncio.sleep(SECONDS_WITHOUT_QUORUM)
            (line,) = vm.timeline.events(prefix="leader.stepped_down")
            others = sorted(set(cluster.vms) - {vm.vm_id})
            self.assertEqual(", ".join(others), line.details["silent"])
            silent = self.find("member.silent")
            self.assertEqual(others, sorted(f["member"] for f in silent[:2]))

        run_virtual(with_cluster(Cluster(), use))

    def test_lines_tell_why_elections_fail_and_are_bounded(self):
        # Guards against a line for each attempt, and against none.
        async def use(cluster):
            stopped = cluster.vm_of(await cluster.wait_for_leader())
            refusing, vm = (v for v in cluster.vms.values() if v != stopped)
            await cluster.stop(stopped.vm_id)
            refusing.disk.full = True
            vm.disk.full = True
            await asyncio.sleep(2.0)
            vm.disk.full = False
            await asyncio.sleep(SECONDS_WITHOUT_QUORUM)
            with self.assertRaisesRegex(NotCurrent, "no leader is known"):
                await vm.log.read_barrier(timeout=1.0)
            page = vm.metrics.text()
            for state in ("elections_fail", "reads_unconfirmed"):
                self.assertIn(f"burdockdrum_log_{state} 1", page)
            refusing.disk.full = False
            await cluster.wait_for_leader()
            await vm.log.read_barrier(timeout=5.0)
            outcomes = f"{stopped.vm_id}: no reply"
            failures = self.find("election.failed")
            self.assertIn(outcomes, failures[-1]["outcomes"])
            self.assertLess(len(failures), 8)
            for event in ("log.read_unconfirmed", "log.read_confirmed"):
                self.assertEqual(1, len(self.find(event)), event)

        run_virtual(with_cluster(Cluster(), use))

    def test_member_that_is_not_admitted_names_whom_it_awaits(self):
        # Guards against a member that waits after its start, unexplained.
        async def use(cluster):
            await cluster.wait_for_leader()
            await cluster.stop_all()
            await cluster.start("a")
            await asyncio.sleep(SECONDS_WITHOUT_QUORUM)
            await cluster.start("b")
            await cluster.wait_for_leader()

        run_virtual(with_cluster(Cluster(), use))
        (awaited,) = self.find("log.admission_awaited")
        self.assertEqual("b, c", awaited["silent"])
        self.assertEqual(1, len(self.find("log.admitted")))

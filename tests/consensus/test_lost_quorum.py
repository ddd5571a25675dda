"""Tests that the log lines tell why nothing is agreed or confirmed."""

import asyncio
import contextlib
import unittest

from loguru import logger

from burdockdrum.consensus import NotCurrent
from burdockdrum.testing import run_virtual
from tests.consensus.cluster import Cluster
from tests.consensus.cluster import with_cluster

SECONDS_WITHOUT_QUORUM = 20.0


class LostQuorumTest(unittest.TestCase):
    """One of three members is left with a disk that accepts writes."""

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
        # which members are missing, and against a line for each retry.
        async def use(cluster):
            log = await cluster.wait_for_leader()
            vm = cluster.vm_of(log)
            stopped, refusing = (v for v in cluster.vms.values() if v != vm)
            await cluster.stop(stopped.vm_id)
            refusing.disk.full = True
            with contextlib.suppress(Exception):
                await log.propose(b"x", timeout=1.0)
            await asyncio.sleep(SECONDS_WITHOUT_QUORUM)
            with self.assertRaisesRegex(NotCurrent, "no leader is known"):
                await log.read_barrier(timeout=1.0)
            page = vm.metrics.text()
            refusing.disk.full = False
            await cluster.wait_for_leader()
            await log.read_barrier(timeout=5.0)
            return vm, stopped, refusing, page

        vm, stopped, refusing, page = run_virtual(_returned(use))
        others = sorted((stopped.vm_id, refusing.vm_id))
        (stepped_down,) = vm.timeline.events(prefix="leader.stepped_down")
        self.assertEqual(", ".join(others), stepped_down.details["silent"])
        self.assertEqual(
            others, sorted(f["member"] for f in self.find("member.silent"))
        )
        failures = self.find("election.failed")
        self.assertLess(len(failures), 5)
        self.assertEqual("pre-vote", failures[-1]["phase"])
        self.assertIn(f"{stopped.vm_id}: no reply", failures[-1]["outcomes"])
        self.assertIn(f"{refusing.vm_id}: denied", failures[-1]["outcomes"])
        for event in ("log.read_unconfirmed", "log.read_confirmed"):
            self.assertEqual(1, len(self.find(event)), event)
        self.assertIn("burdockdrum_log_elections_fail 1", page)
        self.assertIn("burdockdrum_log_reads_unconfirmed 1", page)
        self.assertIn("burdockdrum_log_participates 1", page)

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


async def _returned(use):
    found = []

    async def keep(cluster):
        found.append(await use(cluster))

    await with_cluster(Cluster(), keep)
    return found[0]

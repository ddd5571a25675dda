"""Random histories, and tests that their checks can fail."""

import asyncio
import unittest

from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st
from loguru import logger

from burdockdrum.consensus.identity import FolderIdentity
from burdockdrum.consensus.identity import IdentityFile
from burdockdrum.consensus.interface import LogSettings
from burdockdrum.consensus.leadership import Leadership
from burdockdrum.consensus.records import FORMAT_VERSION
from burdockdrum.consensus.rollback_detection import RollbackDetector
from burdockdrum.consensus.storage import Storage
from burdockdrum.testing import run_virtual
from tests.consensus.checker import History
from tests.consensus.checker import Operation
from tests.consensus.checker import Violation
from tests.consensus.cluster import Cluster
from tests.consensus.cluster import with_cluster
from tests.consensus.histories import CheckedMachine
from tests.consensus.histories import DISK_FAULTS
from tests.consensus.histories import FAULTS
from tests.consensus.histories import Plan
from tests.consensus.histories import run_history

SEEDS_OF_THREE = range(160)
SEEDS_OF_FIVE = range(1000, 1040)
SEEDS_OF_DISKS = range(2060, 2130)


async def write(history, log, command):
    """Propose a command and record the operation."""
    loop = asyncio.get_running_loop()
    operation = Operation(command=command, began=loop.time())
    history.operations.append(operation)
    applied = await log.propose(command, timeout=30)
    operation.index = applied.index
    operation.ended = loop.time()


class HistoryTest(unittest.TestCase):
    """No acknowledged command is lost, reordered or missed by a read."""

    def setUp(self):
        logger.disable("burdockdrum")
        self.addCleanup(logger.enable, "burdockdrum")

    def test_three_members(self):
        # Clients write and read while members crash, lose power or disks,
        # are partitioned and replaced.
        acknowledged = 0
        for seed in SEEDS_OF_THREE:
            with self.subTest(seed=seed):
                run = run_history(Plan(seed=seed, seconds=6.0))
                acknowledged += len(run.history.commands_by_index)
        self.assertGreater(acknowledged, 10 * len(SEEDS_OF_THREE))

    def test_five_members(self):
        for seed in SEEDS_OF_FIVE:
            with self.subTest(seed=seed):
                run_history(Plan(seed=seed, size=5, seconds=6.0))

    def test_disks_that_misbehave_in_series(self):
        # Guards against a start that trusts what a former process could not
        # sync, and members that disks take out of the quorum one by one.
        for seed in SEEDS_OF_DISKS:
            with self.subTest(seed=seed):
                run_history(Plan(seed=seed, seconds=6.0, faults=DISK_FAULTS))

    def test_regression_seeds(self):
        # 1175: a restarted member knew only members that had been replaced,
        # and waited for their replies forever.
        # 6055: a learner that did not know of its promotion waited for a
        # leader before voting, while its vote was needed.
        # 30059, 30138: a restarted member, whose vote was needed, waited for
        # a reply for a lost disk.
        # 40361: a leader rejected the duplicate of a command that was in the
        # log already.
        # 60056: a lost forwarded command cost the caller its whole timeout.
        for plan in (
            Plan(seed=1175, size=5),
            Plan(seed=6055),
            Plan(seed=30059),
            Plan(seed=30138),
            Plan(seed=40361, size=5),
            Plan(seed=60056),
        ):
            with self.subTest(plan=plan):
                run_history(plan)

    @settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=15,
        suppress_health_check=list(HealthCheck),
    )
    @given(
        faults=st.lists(st.sampled_from(FAULTS), min_size=1, max_size=6),
        seed=st.integers(0, 1 << 20),
    )
    def test_drawn_mixes_of_failures(self, faults, seed):
        run_history(Plan(seed=seed, seconds=5.0, faults=tuple(faults)))


class CheckerTest(unittest.TestCase):
    """The checks detect faults put into the log on purpose."""

    def setUp(self):
        logger.disable("burdockdrum")
        self.addCleanup(logger.enable, "burdockdrum")

    def assert_caught(self, scenario, expected):
        """Run a scenario on three members and expect a violation."""
        history = History()
        cluster = Cluster()
        cluster.make_machine = lambda vm_id: CheckedMachine(
            vm_id=vm_id, history=history
        )

        async def use(cluster):
            await scenario(cluster, history)

        with self.assertRaises((Violation, ExceptionGroup)) as caught:
            run_virtual(with_cluster(cluster, use))
            history.check()
        self.assertIn(expected, repr(caught.exception))

    def test_acknowledging_before_the_sync_is_caught(self):
        # Storage that reports a sync at once loses acknowledged commands
        # when all members lose power.
        async def sync_later(self):
            return

        honest = Storage.sync
        honest_write = Storage._write_queue
        Storage.sync = sync_later
        Storage._write_queue = _count_before_writing(honest_write)
        self.addCleanup(setattr, Storage, "sync", honest)
        self.addCleanup(setattr, Storage, "_write_queue", honest_write)

        async def scenario(cluster, history):
            leader = await cluster.wait_for_leader()
            for vm in cluster.vms.values():
                vm.disk.sync_seconds = 5.0
            await write(history, leader, b"x")
            await cluster.stop_all(power_loss=True)
            for vm in cluster.vms.values():
                vm.disk.sync_seconds = 0.0
            await cluster.start_all()
            await write(history, await cluster.wait_for_leader(), b"y")
            history.check_final(cluster.vms["a"].machine.commands)

        self.assert_caught(scenario, "lost at the end")

    def test_lease_longer_than_the_election_timeout_is_caught(self):
        # With a lease longer than the election timeout, a leader that does
        # not step down overlaps with the next one.
        async def watch_nothing(self):
            return

        honest = LogSettings.lease_seconds
        honest_watch = Leadership._watch_quorum
        LogSettings.lease_seconds = 30.0
        Leadership._watch_quorum = watch_nothing
        self.addCleanup(setattr, LogSettings, "lease_seconds", honest)
        self.addCleanup(setattr, Leadership, "_watch_quorum", honest_watch)

        async def scenario(cluster, history):
            old = await cluster.wait_for_leader()
            cluster.cut_off(cluster.vm_of(old).vm_id)
            await asyncio.sleep(10)
            history.check_leases(
                [
                    cluster.vm_of(log).vm_id
                    for log in cluster.logs
                    if log.is_leader
                ]
            )

        self.assert_caught(scenario, "leases held at once")

    def test_voting_after_a_wipe_is_caught(self):
        # An emptied VM that votes as its former member makes a quorum lose
        # acknowledged commands.
        begun = set()

        async def begin(cls, disk, vm_id, rng):
            identity = FolderIdentity(
                format=FORMAT_VERSION,
                vm_id=vm_id,
                disk_id=vm_id,
                formed=vm_id in begun,
                cluster_id="a-b-c" if vm_id in begun else "",
            )
            begun.add(vm_id)
            file = cls(disk=disk, identity=identity)
            await file.save(identity)
            return file

        async def admit(self):
            self._replica.admitted = True

        honest = IdentityFile._create
        honest_run = RollbackDetector.run
        IdentityFile._create = classmethod(begin)
        RollbackDetector.run = admit
        self.addCleanup(setattr, IdentityFile, "_create", honest)
        self.addCleanup(setattr, RollbackDetector, "run", honest_run)

        async def scenario(cluster, history):
            leader = await cluster.wait_for_leader()
            gone = cluster.vm_of(leader)
            late, emptied = (vm for vm in cluster.vms.values() if vm != gone)
            await cluster.stop(late.vm_id)
            await write(history, leader, b"x")
            await cluster.stop(emptied.vm_id)
            emptied.disk.wipe()
            await cluster.stop(gone.vm_id)
            await cluster.start(late.vm_id)
            await cluster.start(emptied.vm_id)
            await write(history, await cluster.wait_for_leader(), b"y")
            history.check_final(late.machine.commands)

        self.assert_caught(scenario, "lost at the end")

    def test_lost_command_and_stale_read_are_caught(self):
        kept = Operation(command=b"x", began=1, ended=2, index=5)
        with self.assertRaises(Violation):
            History(operations=[kept]).check()
        stale = Operation(command=None, began=3, ended=4, index=4)
        history = History(
            operations=[kept, stale], commands_by_index={5: b"x"}
        )
        with self.assertRaises(Violation):
            history.check()

    def test_applied_command_that_was_refused_is_caught(self):
        refused = Operation(command=b"x", began=1, refused=True)
        history = History(operations=[refused], commands_by_index={3: b"x"})
        with self.assertRaises(Violation):
            history.check()


def _count_before_writing(honest):
    async def write_queue(self):
        self.durable_index = self.last_index
        self.synced.fire()
        await honest(self)

    return write_queue

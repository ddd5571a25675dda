"""Tests of claim replicas whose disks refuse writes, reads or syncs."""

import asyncio
import random
import unittest
from unittest import mock

import msgspec

from burdockdrum.claims.entries import Put
from burdockdrum.claims.log import ClaimLog
from burdockdrum.claims.log import FILE
from burdockdrum.claims.log import MAX_QUEUED_BYTES
from burdockdrum.claims.log import MAX_RETRY_SECONDS
from burdockdrum.claims.log import STALL_SECONDS
from burdockdrum.claims.messages import VoteOutcome
from burdockdrum.claims.table import MAX_ANSWER_BYTES
from burdockdrum.ports import DiskError
from burdockdrum.testing import FakeDisk
from burdockdrum.testing import run_virtual
from burdockdrum.testing import VirtualClock
from tests.claims.histories import run_history
from tests.claims.test_keeper import end_run
from tests.claims.test_keeper import form_epoch
from tests.claims.test_keeper import GRANTED
from tests.claims.test_keeper import make_record
from tests.claims.test_keeper import start
from tests.claims.test_keeper import stop
from tests.claims.test_keeper import TAKEN
from tests.claims.test_keeper import vote
from tests.requests.stack import Endpoint
from tests.requests.stack import Stack

REPLICAS = ("a2", "a3", "a4")
VMS = ("a1", *REPLICAS, "b1")
SEEDS = range(4)
OPERATIONS = {
    *("read", "write", "append", "truncate", "sync", "rename", "remove"),
    *("sync_folder",),
}


class RefusingDisk(FakeDisk):
    """A disk that refuses ``count`` operations from the ``first`` one on.

    A refused write or append has half of its content, and a rename is done.
    """

    def __init__(self, *, first, count=1, seed=1):
        """Create an empty disk."""
        super().__init__(rng=random.Random(seed))
        self.done = []
        self._refused = range(first, first + count)

    def __getattribute__(self, name):
        """Return an operation that may be refused."""
        found = super().__getattribute__(name)
        if name not in OPERATIONS:
            return found

        async def operate(*args):
            self.done.append(name)
            if len(self.done) - 1 not in self._refused:
                return await found(*args)
            if name in ("write", "append"):
                await found(args[0], args[1][: len(args[1]) // 2])
            elif name == "rename":
                await found(*args)
            elif name in ("sync", "sync_folder"):
                with mock.patch.object(self, "fail_syncs", True):
                    await found(*args)
            raise DiskError("refused")

        return operate


class RefusalTest(unittest.TestCase):
    """One replica, whose disk refuses some operations and then none."""

    async def check(self, disk, *, seed):
        granted = []
        replica = await start(disk, compact_bytes=1000)
        await asyncio.sleep(MAX_RETRY_SECONDS)
        await form_epoch(replica)
        for number in range(30):
            if await vote(replica, key=f"{number}") is GRANTED:
                granted.append(f"{number}")
            if number % 3 == 0:
                await replica.settle(end_run(f"{number}", kept=True))
            replica.clean_up()
            await asyncio.sleep(0.1)
        # The vote itself may be refused once.
        if await vote(replica, key="new") is not GRANTED:
            await asyncio.sleep(MAX_RETRY_SECONDS)
            self.assertIs(GRANTED, await vote(replica, key="new"))
        self.assertIsNone(replica.disk_refusal)
        await stop(replica)
        if seed % 2:
            disk.lose_power()
        again = await start(disk)
        await asyncio.sleep(MAX_RETRY_SECONDS)
        self.assertTrue(again.ready)
        for key in (*granted, "new"):
            self.assertIs(TAKEN, await vote(again, key=key, owner="req-2"))
        await stop(again)

    def test_each_refused_operation_delays_votes_and_loses_none(self):
        # Each operation of a run with compactions is refused once, or with
        # the next one.
        async def main():
            whole = RefusingDisk(first=10_000)
            await self.check(whole, seed=1)
            self.assertEqual(
                OPERATIONS - {"truncate", "remove"}, {*whole.done}
            )
            for first in range(len(whole.done)):
                for seed in range(4):
                    with self.subTest(first=first, seed=seed):
                        disk = RefusingDisk(
                            first=first, count=1 + seed // 2, seed=seed
                        )
                        await self.check(disk, seed=seed)

        run_virtual(main())

    def test_memory_is_bounded_while_the_disk_refuses(self):
        # Runs end while nothing can be stored; their ends must be stored
        # later, without keeping every one until then.
        async def main():
            disk = FakeDisk(rng=random.Random(1))
            log = ClaimLog(disk=disk, clock=VirtualClock())
            state = (await log.load()).entries
            running = asyncio.create_task(log.run(lambda: state))
            disk.full = True
            body = b"x" * MAX_ANSWER_BYTES
            for number in range(2 * MAX_QUEUED_BYTES // len(body)):
                state.append(Put(make_record(key=f"{number}", body=body)))
                log.add(state[-1])
                self.assertLessEqual(log.queued_bytes, MAX_QUEUED_BYTES)
                await asyncio.sleep(0.01)
            disk.full = False
            await asyncio.sleep(MAX_RETRY_SECONDS)
            await log.wait_until_durable(log.position)
            running.cancel()
            disk.lose_power()
            again = ClaimLog(disk=disk, clock=VirtualClock())
            self.assertEqual(state, (await again.load()).entries)

        run_virtual(main())

    def test_stall_under_a_compaction_does_not_hold_votes(self):
        # The append before it took long enough to count as refused.
        async def main():
            disk = FakeDisk(rng=random.Random(1))
            replica = await start(disk, form=True, compact_bytes=10)
            for number in range(10):
                await vote(replica, key=f"{number}")
            disk.sync_seconds = 1.5
            slow = asyncio.create_task(vote(replica, key="slow"))
            await asyncio.sleep(1.2)
            replica.clean_up()
            self.assertIs(VoteOutcome.NOT_READY, await slow)
            disk.sync_seconds = 60.0
            await asyncio.sleep(0.5)
            async with asyncio.timeout(STALL_SECONDS + 0.1):
                outcome = await vote(replica, key="next")
            self.assertIs(VoteOutcome.NOT_READY, outcome)
            await stop(replica)

        run_virtual(main())


class DiskStack(Stack):
    """A cluster whose claim replicas have disks."""

    def settings(self, vm):
        """Return the settings of a VM."""
        settings = super().settings(vm)
        if vm not in REPLICAS:
            return settings
        control = msgspec.structs.replace(
            settings.control, data_folder="unused"
        )
        return msgspec.structs.replace(settings, control=control)

    async def restart(self, vms, *, rng, power_loss=None):
        """End some VMs and start them again.

        :param power_loss: whether their disks lose what was not synced; at
            random if None
        """
        if power_loss is None:
            power_loss = rng.random() < 0.5
        for vm in vms:
            if vm in self.cluster.vms_by_id:
                await self.cluster.crash_vm(vm)
            if power_loss:
                self.disk(vm).lose_power()
        await asyncio.sleep(rng.uniform(0.1, 1))
        for vm in vms:
            await self.start_vm(vm)

    async def end_faults(self):
        """Let all disks, links and VMs work."""
        for vm in REPLICAS:
            disk = self.disk(vm)
            disk.full = disk.fail_syncs = False
            disk.sync_seconds = 0.0
            self.cluster.network.heal([vm], ["a1"])
        # A process whose disk refuses at its start may be about to end.
        await asyncio.sleep(1)
        await self.start_ended()

    async def start_ended(self):
        """Start VMs whose process has ended, as a supervisor would."""
        for vm in REPLICAS:
            running = self.cluster.vms_by_id.get(vm)
            if running is not None and running.task.done():
                await self.cluster.crash_vm(vm)
            if vm not in self.cluster.vms_by_id:
                await self.start_vm(vm)

    def disk(self, vm):
        """Return the disk of a VM."""
        return self.cluster.disks_by_vm_id[vm]


def run_with_service(scenario, *, seed=1, seconds=0.01):
    async def main():
        stack = DiskStack(seed=seed, keepers=REPLICAS)
        await stack.start(*VMS)
        await stack.configure()
        service = Endpoint(name="e1", seconds=seconds, body=b'{"booked":1}')
        await stack.add_endpoint(service, *VMS[:4], service="booking")
        await asyncio.sleep(2)
        try:
            await scenario(stack, service)
        finally:
            await stack.stop()

    run_virtual(main())


def refuse_reads(disk):
    read = disk.read

    async def read_others(name):
        if name == FILE:
            raise DiskError("refused")
        return await read(name)

    return mock.patch.object(disk, "read", read_others)


def refuse_writes(disk):
    return mock.patch.object(disk, "full", True)


class ServiceTest(unittest.TestCase):
    """Requests that may run once, while disks of claim replicas refuse."""

    def test_disks_that_refuse_in_turn_do_not_end_the_claims(self):
        # Each refuses one append, one after the other.
        async def scenario(stack, service):
            for turn, vm in enumerate((*REPLICAS, REPLICAS[0])):
                stack.disk(vm).full = True
                during = await stack.book("a1", f"during-{turn}")
                self.assertEqual(200, during.status, (vm, during.body))
                await asyncio.sleep(5)
                stack.disk(vm).full = False
                await asyncio.sleep(10)
            for vm in VMS:
                after = await stack.book(vm, f"after-{vm}")
                self.assertEqual(200, after.status, (vm, after.body))
            self.assertEqual({1}, set(service.runs_by_key.values()))

        run_with_service(scenario)

    def test_replica_that_waits_for_its_disk_is_not_taken_for_forgetful(self):
        # One replica lost its disk while that of another one refuses: a new
        # epoch would refuse every key from before.
        async def scenario(stack, service):
            first = await stack.book("a1", "old")
            for vm in REPLICAS:
                await stack.cluster.crash_vm(vm)
            stack.disk("a2").wipe()
            with refuse(stack.disk("a3")):
                for vm in REPLICAS:
                    await stack.start_vm(vm)
                await asyncio.sleep(20)
            await asyncio.sleep(20)
            again = await stack.book("a1", "old")
            self.assertEqual((200, first.body), (again.status, again.body))
            fresh = await stack.book("a1", "new")
            self.assertEqual(200, fresh.status, fresh.body)
            self.assertEqual({1}, set(service.runs_by_key.values()))

        for refuse in (refuse_reads, refuse_writes):
            with self.subTest(refuse=refuse.__name__):
                run_with_service(scenario)

    def test_tickets_are_issued_where_the_own_replica_is_not_ready(self):
        # Its disk refuses since the start; the other replicas are ready.
        async def scenario(stack, service):
            await stack.cluster.crash_vm("a2")
            with refuse_reads(stack.disk("a2")):
                await stack.start_vm("a2")
                await asyncio.sleep(5)
                for vm in ("a2", "b1"):
                    key = await stack.get_ticket(vm)
                    booked = await stack.book(vm, key)
                    self.assertEqual(200, booked.status, booked.body)

        run_with_service(scenario)

    def test_stalled_disks_do_not_hold_callers(self):
        # The disks of two replicas reply only after half a minute.
        async def scenario(stack, service):
            loop = asyncio.get_running_loop()
            for vm in REPLICAS[:2]:
                stack.disk(vm).sync_seconds = 30.0
            for number, limit in enumerate((2.5, 0.5)):
                began_at = loop.time()
                refused = await stack.book(REPLICAS[0], f"{number}")
                self.assertLess(loop.time() - began_at, limit)
                self.assertEqual("claim_unreachable", refused.code)
            for vm in REPLICAS[:2]:
                stack.disk(vm).sync_seconds = 0.0
            await asyncio.sleep(35)
            for number in range(2):
                booked = await stack.book(REPLICAS[0], f"{number}")
                self.assertEqual(200, booked.status, booked.body)
            self.assertEqual({1}, set(service.runs_by_key.values()))

        run_with_service(scenario)

    def test_caller_is_refused_at_once_while_a_majority_refuses(self):
        async def scenario(stack, service):
            loop = asyncio.get_running_loop()
            for vm in REPLICAS[:2]:
                stack.disk(vm).fail_syncs = True
            for number in range(3):
                began_at = loop.time()
                refused = await stack.book("b1", f"{number}")
                self.assertEqual("claim_unreachable", refused.code)
                self.assertIn("retry-after", refused.headers)
                self.assertLess(loop.time() - began_at, 0.5)
            for vm in REPLICAS[:2]:
                stack.disk(vm).fail_syncs = False
            await asyncio.sleep(5)
            for number in range(3):
                booked = await stack.book("b1", f"{number}")
                self.assertEqual(200, booked.status, booked.body)
            self.assertEqual({1}, set(service.runs_by_key.values()))

        run_with_service(scenario)


class HistoryTest(unittest.TestCase):
    """Random histories in which disks misbehave and processes end, by seed."""

    def check(self, seed):
        async def scenario(stack, service):
            rng = random.Random(seed)

            async def disturb():
                """Disturb one replica; faults of disks last on."""
                vm = rng.choice(REPLICAS)
                disk = stack.disk(vm)
                match rng.randrange(7):
                    case 0 | 1:
                        disk.full = rng.random() < 0.5
                    case 2 | 3:
                        disk.fail_syncs = rng.random() < 0.5
                    case 4:
                        disk.sync_seconds = rng.choice((0.0, 0.3, 3.0))
                    case 5:
                        stack.cluster.network.cut([vm], ["a1"])
                        await asyncio.sleep(rng.uniform(0.1, 2))
                        stack.cluster.network.heal([vm], ["a1"])
                    case 6:
                        await stack.restart([vm], rng=rng)
                await stack.start_ended()

            for turn in range(3):
                self.answered += await run_history(
                    self,
                    stack,
                    service,
                    rng=rng,
                    vms=VMS,
                    disturb=disturb,
                    label=(seed, turn),
                )
                if turn == 1:
                    await stack.restart(REPLICAS, rng=rng, power_loss=True)
                await stack.end_faults()
                await asyncio.sleep(20)
                for vm in VMS:
                    fresh = await stack.book(vm, f"after-{turn}-{vm}")
                    self.assertEqual(200, fresh.status, (seed, fresh.body))
                for key in list(service.runs_by_key):
                    await stack.book(rng.choice(VMS), key)
                self.assertEqual({1}, set(service.runs_by_key.values()), seed)

        run_with_service(scenario, seed=seed)

    def test_histories_with_failing_disks_run_each_key_at_most_once(self):
        # And once all disks accept writes, claims are granted again.
        self.answered = 0
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.check(seed)
        self.assertLess(36 * len(SEEDS), self.answered)


if __name__ == "__main__":
    unittest.main()

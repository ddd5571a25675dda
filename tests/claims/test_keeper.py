"""Tests of a claim replica, its log on a failing disk and its table."""

import asyncio
import random
import types
import unittest

import msgspec

from burdockdrum.claims.coordinator import count_valid_votes
from burdockdrum.claims.entries import encode_entry
from burdockdrum.claims.log import ClaimLog
from burdockdrum.claims.log import FILE
from burdockdrum.claims.log import MAX_RETRY_SECONDS
from burdockdrum.claims.log import RETRY_SECONDS
from burdockdrum.claims.messages import ClaimRecord
from burdockdrum.claims.messages import ClaimState
from burdockdrum.claims.messages import Epoch
from burdockdrum.claims.messages import EpochCall
from burdockdrum.claims.messages import SettleCall
from burdockdrum.claims.messages import VoteCall
from burdockdrum.claims.messages import VoteOutcome
from burdockdrum.claims.messages import VoteReply
from burdockdrum.claims.recovery import majority
from burdockdrum.claims.recovery import Recovery
from burdockdrum.claims.recovery import recovery_quorum
from burdockdrum.claims.replica import ClaimReplica
from burdockdrum.claims.replica import RETENTION_SECONDS
from burdockdrum.claims.table import ClaimTable
from burdockdrum.claims.table import MAX_ANSWER_BYTES
from burdockdrum.claims.table import MAX_TOTAL_ANSWER_BYTES
from burdockdrum.claims.tickets import make_ticket
from burdockdrum.peers import VmIdentity
from burdockdrum.testing import FakeDisk
from burdockdrum.testing import run_virtual
from burdockdrum.testing import VirtualClock
from burdockdrum.timeline import HybridClock
from burdockdrum.timeline import Timeline

EPOCH = Epoch(1, "a")
GRANTED = VoteOutcome.GRANTED
NOT_READY = VoteOutcome.NOT_READY
TAKEN = VoteOutcome.TAKEN
# Tasks are kept until their event loop ends them.
RUNNING = set()

IDENTITY = VmIdentity(
    vm_id="a",
    incarnation=1,
    region="north",
    data_centre="north",
    control_address="tcp://127.0.0.1:1",
    http_address="http://127.0.0.1:2",
)


def make_record(key="key", owner="req-1", **changes):
    return ClaimRecord(
        client_id="crew",
        key=key,
        fingerprint="f",
        owner=owner,
        taken_at=0.0,
        seconds=60.0,
        **changes,
    )


def make_replica(disk, compact_bytes):
    clock = VirtualClock()
    return ClaimReplica(
        identity=IDENTITY,
        clock=clock,
        timeline=Timeline(
            process="a", incarnation=1, clock=HybridClock(clock=clock)
        ),
        replica_ids=["a"],
        log=ClaimLog(disk=disk, clock=clock, compact_bytes=compact_bytes)
        if disk is not None
        else None,
    )


async def start(disk, *, form=False, compact_bytes=1_000_000):
    replica = make_replica(disk, compact_bytes)
    replica.running = asyncio.create_task(replica.run())
    RUNNING.add(replica.running)
    await asyncio.sleep(0.1)
    if form:
        await form_epoch(replica)
    return replica


async def form_epoch(replica):
    now = VirtualClock().wall()
    await replica.enter_epoch(EpochCall(epoch=EPOCH, formed_at=now))
    replica.record_new_client("crew")


async def stop(replica):
    replica.running.cancel()
    await asyncio.gather(replica.running, return_exceptions=True)


async def vote(replica, **fields):
    call = VoteCall(keepers=["a"], record=make_record(**fields))
    return (await replica.vote(call)).outcome


async def restart(replica, disk):
    """Return the replica of a VM that lost power."""
    await stop(replica)
    disk.lose_power()
    return await start(disk)


class DiskTest(unittest.TestCase):
    """HARD CASE 3 with a disk: a vote that was sent is never lost."""

    async def expect(self, outcome, replica, *keys, owner="req-1"):
        for key in keys:
            found = await vote(replica, key=key, owner=owner)
            self.assertEqual(outcome, found, key)

    def test_vote_survives_a_power_loss(self):
        # All processes restart and the last bytes appended are incomplete.
        # The old key stays claimed; a new one of the client is granted.
        async def main():
            for seed in range(20):
                disk = FakeDisk(rng=random.Random(seed))
                replica = await start(disk, form=True)
                granted = await vote(replica)
                self.assertEqual(VoteOutcome.GRANTED, granted)
                await disk.append(FILE, b"\0\0\0\xff torn")
                disk.lose_power()
                again = await start(disk)
                self.assertTrue(again.ready)
                taken = await vote(again, owner="req-2")
                self.assertEqual(VoteOutcome.TAKEN, taken)
                free = await vote(again, key="new", owner="req-2")
                self.assertEqual(VoteOutcome.GRANTED, free)

        run_virtual(main())

    def test_start_after_a_failed_sync_loses_no_vote(self):
        # The process ends after a failed sync. What the next start reads back
        # may be in the page cache only: a vote that is sent then must survive
        # a power loss.
        async def main():
            for seed in range(20):
                disk = FakeDisk(rng=random.Random(seed))
                replica = await start(disk, form=True)
                disk.fail_syncs = True
                await self.expect(NOT_READY, replica, "key")
                await stop(replica)
                disk.fail_syncs = False
                again = await start(disk)
                await self.expect(GRANTED, again, "key", "other")
                again = await restart(again, disk)
                await self.expect(TAKEN, again, "key", "other", owner="req-2")

        run_virtual(main())

    def test_vote_that_the_disk_refused_is_not_sent(self):
        # HARD CASE 22: nor is any other while the disk refuses, and a vote
        # that is sent afterwards must survive a power loss.
        async def main():
            disk = FakeDisk(rng=random.Random(1))
            replica = await start(disk, form=True)
            disk.fail_syncs = True
            await self.expect(NOT_READY, replica, "key", "other")
            disk.fail_syncs = False
            await asyncio.sleep(RETRY_SECONDS)
            await self.expect(GRANTED, replica, "key", "other")
            again = await restart(replica, disk)
            await self.expect(TAKEN, again, "key", "other", owner="req-2")

        run_virtual(main())

    def test_replica_whose_disk_refuses_begins_no_epochs(self):
        # It would force the others from epoch to epoch, each of which
        # refuses the keys of earlier ones.
        async def main():
            disk = FakeDisk(rng=random.Random(1))
            replica = await start(disk, form=True)
            recovery = Recovery(
                replica=replica,
                peers=types.SimpleNamespace(identity=IDENTITY),
                clock=VirtualClock(),
                addresses_by_id={"a": IDENTITY.control_address},
            )
            disk.fail_syncs = True
            await vote(replica)
            for is_complete in (True, False):
                replica.is_complete = is_complete
                with self.assertRaises(TimeoutError):
                    async with asyncio.timeout(60):
                        await recovery.run()
                self.assertEqual(EPOCH, replica.epoch)
                self.assertEqual(is_complete, replica.ready)
                await self.expect(NOT_READY, replica, "other")

        run_virtual(main())

    def test_disk_that_refuses_at_the_start_does_not_count_as_empty(self):
        async def main():
            disk = FakeDisk(rng=random.Random(1))
            replica = await start(disk, form=True)
            await vote(replica)
            await stop(replica)
            disk.fail_syncs = True
            again = await start(disk)
            await self.expect(NOT_READY, again, "key", owner="req-2")
            disk.fail_syncs = False
            await asyncio.sleep(MAX_RETRY_SECONDS)
            await self.expect(TAKEN, again, "key", owner="req-2")

        run_virtual(main())

    def test_vote_of_a_cancelled_caller_does_not_spoil_that_of_another(self):
        # Two votes share a sync and the task of the first is cancelled during
        # it. The second vote must not be lost if it was sent as durable.
        async def main():
            disk = FakeDisk(rng=random.Random(1))
            replica = await start(disk, form=True)
            disk.sync_seconds = 0.5
            first = asyncio.create_task(vote(replica))
            await asyncio.sleep(0.1)
            second = asyncio.create_task(vote(replica, key="other"))
            await asyncio.sleep(0.1)
            first.cancel()
            self.assertEqual(VoteOutcome.GRANTED, await second)
            disk.sync_seconds = 0.0
            again = await restart(replica, disk)
            await self.expect(TAKEN, again, "other", owner="req-2")

        run_virtual(main())

    def test_log_with_an_entry_of_another_version_does_not_count_as_whole(
        self,
    ):
        # The entry, and what follows, may be votes that were sent.
        class Unknown(msgspec.Struct, tag="unknown"):
            pass

        async def main():
            disk = FakeDisk(rng=random.Random(1))
            replica = await start(disk, form=True)
            await vote(replica)
            await stop(replica)
            await disk.append(FILE, encode_entry(Unknown()))
            for _ in range(2):
                again = await start(disk)
                await self.expect(
                    NOT_READY, again, "key", "other", owner="req-2"
                )
                await stop(again)

        run_virtual(main())

    def test_replica_with_a_wiped_disk_does_not_vote(self):
        async def main():
            disk = FakeDisk(rng=random.Random(1))
            replica = await start(disk, form=True)
            await vote(replica)
            disk.wipe()
            again = await start(disk)
            self.assertFalse(again.ready)
            outcome = await vote(again, owner="req-2")
            self.assertEqual(VoteOutcome.NOT_READY, outcome)

        run_virtual(main())

    def test_concurrent_votes_share_a_sync(self):
        async def main():
            disk = FakeDisk(rng=random.Random(1))
            disk.sync_seconds = 0.01
            replica = await start(disk, form=True)
            before = disk.syncs
            outcomes = await asyncio.gather(
                *(vote(replica, key=f"{n}") for n in range(100))
            )
            self.assertEqual({VoteOutcome.GRANTED}, set(outcomes))
            self.assertLessEqual(disk.syncs - before, 3)

        run_virtual(main())

    def test_compaction_keeps_every_claim(self):
        async def main():
            disk = FakeDisk(rng=random.Random(1))
            replica = await start(disk, form=True, compact_bytes=2000)
            for number in range(50):
                await vote(replica, key=f"{number}")
                await replica.settle(end_run(f"{number}", kept=number % 2))
                replica.clean_up()
            self.assertLess(len(await disk.read(FILE)), 8000)
            disk.lose_power()
            again = await start(disk)
            for number in range(50):
                outcome = await vote(again, key=f"{number}", owner="req-2")
                expected = (
                    VoteOutcome.TAKEN if number % 2 else VoteOutcome.GRANTED
                )
                self.assertEqual(expected, outcome)

        run_virtual(main())


def end_run(key, *, kept):
    return SettleCall(
        client_id="crew",
        key=key,
        owner="req-1",
        state=ClaimState.RAN if kept else None,
        body=b"x" * 50,
    )


class EpochTest(unittest.TestCase):
    """Votes on unknown keys after a new epoch began."""

    def test_unknown_key_of_an_old_client_needs_a_ticket(self):
        async def main():
            replica = await start(None)
            now = VirtualClock().wall()
            await replica.enter_epoch(EpochCall(epoch=EPOCH, formed_at=now))
            outcome = await vote(replica)
            self.assertEqual(VoteOutcome.UNKNOWN, outcome)
            old = make_ticket(Epoch(0, "a"), random.Random(1))
            outcome = await vote(replica, key=old)
            self.assertEqual(VoteOutcome.UNKNOWN, outcome)
            ticket = make_ticket(EPOCH, random.Random(1))
            outcome = await vote(replica, key=ticket)
            self.assertEqual(VoteOutcome.GRANTED, outcome)
            # All claims of earlier epochs have expired by then.
            await asyncio.sleep(RETENTION_SECONDS + 1)
            outcome = await vote(replica)
            self.assertEqual(VoteOutcome.GRANTED, outcome)

        run_virtual(main())

    def test_older_epoch_is_not_entered(self):
        async def main():
            replica = await start(None)
            now = VirtualClock().wall()
            for number, accepted in ((2, True), (1, False), (3, True)):
                call = EpochCall(epoch=Epoch(number, "a"), formed_at=now)
                reply = await replica.enter_epoch(call)
                self.assertEqual(accepted, reply.accepted)

        run_virtual(main())


class CountTest(unittest.TestCase):
    """Which votes count together, and how many a recovery needs."""

    def make_vote(self, vm_id, incarnation=1, epoch=EPOCH, **known):
        return VoteReply(
            outcome=VoteOutcome.GRANTED,
            vm_id=vm_id,
            incarnation=incarnation,
            epoch=epoch,
            incarnations=known,
        )

    def test_vote_from_before_a_restart_does_not_count(self):
        # Replica a votes, restarts and recovers from b and c without that
        # vote, so it could vote for another owner. Then b, which knows of
        # the restart, votes: the two votes must not be a majority.
        votes = [self.make_vote("a"), self.make_vote("b", a=2)]
        self.assertEqual(1, count_valid_votes(votes))
        votes = [self.make_vote("a", 2), self.make_vote("b", a=2)]
        self.assertEqual(2, count_valid_votes(votes))

    def test_vote_of_an_older_epoch_does_not_count(self):
        votes = [self.make_vote("a"), self.make_vote("b", epoch=Epoch(2, "b"))]
        self.assertEqual(1, count_valid_votes(votes))

    def test_recovery_quorum_meets_every_majority(self):
        # The rest of each majority that the replica was part of must have a
        # member among those it recovered from.
        for size in (1, 3, 5, 7):
            others = size - 1
            rest = majority(size) - 1
            if others:
                self.assertGreater(rest + recovery_quorum(size), others)


class ClaimTableTest(unittest.TestCase):
    """The bounds and pages of the claim table."""

    def test_answers_are_evicted_and_claims_kept(self):
        table = ClaimTable()
        body = b"x" * MAX_ANSWER_BYTES
        count = 2 * MAX_TOTAL_ANSWER_BYTES // MAX_ANSWER_BYTES
        for number in range(count):
            table.put(make_record(key=f"{number}", body=body))
        self.assertEqual(count, len(table))
        kept = sum(len(record.body or b"") for record in table.records())
        self.assertLessEqual(kept, MAX_TOTAL_ANSWER_BYTES)
        self.assertIsNone(table.get(("crew", "0")).body)

    def test_pages_contain_every_claim_despite_removals(self):
        table = ClaimTable()
        for number in range(100):
            table.put(make_record(key=f"{number}"))
        first, last = table.page(0, 40)
        for number in range(0, 40):
            table.remove(("crew", f"{number}"))
        second, last = table.page(last, 40)
        third, last = table.page(last, 40)
        self.assertIsNone(last)
        keys = [record.key for record in (*first, *second, *third)]
        self.assertEqual([f"{number}" for number in range(100)], keys)


if __name__ == "__main__":
    unittest.main()

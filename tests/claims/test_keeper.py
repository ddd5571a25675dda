"""A keeper of claims and its file, over a disk that fails."""

import asyncio
import random
import types
import unittest

from burdockdrum.claims.book import ClaimBook
from burdockdrum.claims.book import MAX_ANSWER_BYTES
from burdockdrum.claims.book import MAX_ANSWERS_BYTES
from burdockdrum.claims.coordinator import count_valid
from burdockdrum.claims.keeper import Keeper
from burdockdrum.claims.keeper import RETENTION_SECONDS
from burdockdrum.claims.log import ClaimLog
from burdockdrum.claims.log import FILE
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
from burdockdrum.claims.recovery import responders_needed
from burdockdrum.claims.tickets import make_ticket
from burdockdrum.peers import VmIdentity
from burdockdrum.testing import FakeDisk
from burdockdrum.testing import run_virtual
from burdockdrum.testing import VirtualClock
from burdockdrum.timeline import HybridClock
from burdockdrum.timeline import Timeline

EPOCH = Epoch(1, "a")


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


def make_keeper(disk, compact_bytes):
    clock = VirtualClock()
    return Keeper(
        identity=IDENTITY,
        clock=clock,
        timeline=Timeline(
            process="a", incarnation=1, clock=HybridClock(clock=clock)
        ),
        keepers=["a"],
        log=ClaimLog(disk=disk, compact_bytes=compact_bytes)
        if disk is not None
        else None,
    )


async def start(disk, *, form=False, compact_bytes=1_000_000):
    keeper = make_keeper(disk, compact_bytes)
    await keeper.load()
    if form:
        now = VirtualClock().wall()
        await keeper.enter(EpochCall(epoch=EPOCH, formed_at=now))
        await keeper.note_new_client("crew")
    return keeper


async def vote(keeper, **fields):
    call = VoteCall(keepers=["a"], record=make_record(**fields))
    return (await keeper.vote(call)).outcome


class DiskTest(unittest.TestCase):
    """HARD CASE 3 with a disk: what was voted is never forgotten."""

    def test_vote_outlives_a_loss_of_power(self):
        # Every process restarts, the last appended bytes are torn. The key
        # voted for is taken; a new one of the same client is free.
        async def main():
            for seed in range(20):
                disk = FakeDisk(rng=random.Random(seed))
                keeper = await start(disk, form=True)
                granted = await vote(keeper)
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

    def test_failed_sync_is_no_vote_and_ends_voting(self):
        # HARD CASE 22: the vote may not last, so it is not given, and
        # neither is any other until the VM restarts.
        async def main():
            disk = FakeDisk(rng=random.Random(1))
            keeper = await start(disk, form=True)
            disk.fail_syncs = True
            outcome = await vote(keeper)
            self.assertEqual(VoteOutcome.NOT_READY, outcome)
            disk.fail_syncs = False
            outcome = await vote(keeper, key="other")
            self.assertEqual(VoteOutcome.NOT_READY, outcome)

        run_virtual(main())

    def test_keeper_with_a_failed_disk_begins_no_epochs(self):
        # Its votes don't last, and the others would be driven from epoch to
        # epoch, in which keys from before are refused.
        async def main():
            disk = FakeDisk(rng=random.Random(1))
            keeper = await start(disk, form=True)
            disk.fail_syncs = True
            await vote(keeper)
            recovery = Recovery(
                keeper=keeper,
                peers=types.SimpleNamespace(identity=IDENTITY),
                clock=VirtualClock(),
                addresses_by_id={"a": IDENTITY.control_address},
            )
            async with asyncio.timeout(60):
                await recovery.run()
            self.assertEqual(EPOCH, keeper.epoch)
            self.assertFalse(keeper.ready)

        run_virtual(main())

    def test_disk_that_fails_at_the_start_is_no_empty_one(self):
        async def main():
            disk = FakeDisk(rng=random.Random(1))
            disk.fail_syncs = True
            keeper = await start(disk)
            self.assertTrue(keeper.broken)
            outcome = await vote(keeper)
            self.assertEqual(VoteOutcome.NOT_READY, outcome)

        run_virtual(main())

    def test_cancelled_sync_is_not_taken_for_done(self):
        # Two votes share a sync, and the task of the first is cancelled in
        # the middle of it. The second must not be told that it lasts.
        async def main():
            disk = FakeDisk(rng=random.Random(1))
            keeper = await start(disk, form=True)
            disk.sync_seconds = 1.0
            first = asyncio.create_task(vote(keeper))
            await asyncio.sleep(0.1)
            second = asyncio.create_task(vote(keeper, key="other"))
            await asyncio.sleep(0.1)
            first.cancel()
            self.assertEqual(VoteOutcome.NOT_READY, await second)

        run_virtual(main())

    def test_wiped_disk_remembers_nothing_and_does_not_vote(self):
        async def main():
            disk = FakeDisk(rng=random.Random(1))
            keeper = await start(disk, form=True)
            await vote(keeper)
            disk.wipe()
            again = await start(disk)
            self.assertFalse(again.ready)
            outcome = await vote(again, owner="req-2")
            self.assertEqual(VoteOutcome.NOT_READY, outcome)

        run_virtual(main())

    def test_votes_that_come_together_share_a_sync(self):
        async def main():
            disk = FakeDisk(rng=random.Random(1))
            disk.sync_seconds = 0.01
            keeper = await start(disk, form=True)
            before = disk.syncs
            outcomes = await asyncio.gather(
                *(vote(keeper, key=f"{n}") for n in range(100))
            )
            self.assertEqual({VoteOutcome.GRANTED}, set(outcomes))
            self.assertLessEqual(disk.syncs - before, 3)

        run_virtual(main())

    def test_compacted_file_keeps_every_claim(self):
        async def main():
            disk = FakeDisk(rng=random.Random(1))
            keeper = await start(disk, form=True, compact_bytes=2000)
            for number in range(50):
                await vote(keeper, key=f"{number}")
                await keeper.settle(end_run(f"{number}", kept=number % 2))
                await keeper.tidy()
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
    """Which unknown keys get a vote."""

    def test_unknown_key_of_an_old_client_needs_a_ticket(self):
        async def main():
            keeper = await start(None)
            now = VirtualClock().wall()
            await keeper.enter(EpochCall(epoch=EPOCH, formed_at=now))
            outcome = await vote(keeper)
            self.assertEqual(VoteOutcome.UNKNOWN, outcome)
            old = make_ticket(Epoch(0, "a"), random.Random(1))
            outcome = await vote(keeper, key=old)
            self.assertEqual(VoteOutcome.UNKNOWN, outcome)
            ticket = make_ticket(EPOCH, random.Random(1))
            outcome = await vote(keeper, key=ticket)
            self.assertEqual(VoteOutcome.GRANTED, outcome)
            # What was before the epoch is over the retention by then.
            await asyncio.sleep(RETENTION_SECONDS + 1)
            outcome = await vote(keeper)
            self.assertEqual(VoteOutcome.GRANTED, outcome)

        run_virtual(main())

    def test_older_epoch_is_not_entered(self):
        async def main():
            keeper = await start(None)
            now = VirtualClock().wall()
            for number, accepted in ((2, True), (1, False), (3, True)):
                call = EpochCall(epoch=Epoch(number, "a"), formed_at=now)
                reply = await keeper.enter(call)
                self.assertEqual(accepted, reply.accepted)

        run_virtual(main())


class CountTest(unittest.TestCase):
    """Which votes hold together."""

    def make_vote(self, vm_id, incarnation=1, epoch=EPOCH, **known):
        return VoteReply(
            outcome=VoteOutcome.GRANTED,
            vm_id=vm_id,
            incarnation=incarnation,
            epoch=epoch,
            incarnations=known,
        )

    def test_vote_from_before_a_restart_does_not_count(self):
        # Keeper a votes, restarts, recovers from b and c without the vote,
        # and could now vote for another owner. Then b votes: it knows of
        # the restart, so the two votes are no majority.
        votes = [self.make_vote("a"), self.make_vote("b", a=2)]
        self.assertEqual(1, count_valid(votes))
        votes = [self.make_vote("a", 2), self.make_vote("b", a=2)]
        self.assertEqual(2, count_valid(votes))

    def test_vote_of_an_older_epoch_does_not_count(self):
        votes = [self.make_vote("a"), self.make_vote("b", epoch=Epoch(2, "b"))]
        self.assertEqual(1, count_valid(votes))

    def test_recovery_meets_every_majority(self):
        # The rest of each majority that the keeper was part of has a
        # member among those that answered its recovery.
        for size in (1, 3, 5, 7):
            others = size - 1
            rest = majority(size) - 1
            if others:
                self.assertGreater(rest + responders_needed(size), others)


class BookTest(unittest.TestCase):
    """Bounds of memory."""

    def test_answers_are_dropped_before_claims(self):
        book = ClaimBook()
        body = b"x" * MAX_ANSWER_BYTES
        count = 2 * MAX_ANSWERS_BYTES // MAX_ANSWER_BYTES
        for number in range(count):
            book.put(make_record(key=f"{number}", body=body))
        self.assertEqual(count, len(book))
        kept = sum(len(record.body or b"") for record in book.records())
        self.assertLessEqual(kept, MAX_ANSWERS_BYTES)
        self.assertIsNone(book.get(("crew", "0")).body)

    def test_pages_show_every_claim_while_others_go(self):
        book = ClaimBook()
        for number in range(100):
            book.put(make_record(key=f"{number}"))
        first, last = book.page(0, 40)
        for number in range(0, 40):
            book.remove(("crew", f"{number}"))
        second, last = book.page(last, 40)
        third, last = book.page(last, 40)
        self.assertIsNone(last)
        keys = [record.key for record in (*first, *second, *third)]
        self.assertEqual([f"{number}" for number in range(100)], keys)


if __name__ == "__main__":
    unittest.main()

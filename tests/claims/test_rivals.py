"""Tests of keys that several owners have asked for."""

import unittest

from burdockdrum.claims.messages import ClaimState
from burdockdrum.claims.messages import RecoverCall
from burdockdrum.claims.messages import SettleCall
from burdockdrum.claims.messages import VoteOutcome
from burdockdrum.testing import run_virtual
from burdockdrum.testing import VirtualClock
from tests.claims.test_keeper import EPOCH
from tests.claims.test_keeper import make_record
from tests.claims.test_keeper import start
from tests.claims.test_keeper import vote


class RivalTest(unittest.TestCase):
    """A keeper without a disk recovers while two owners want one key.

    Keeper a voted for the first owner, as b did, and forgot it. Keeper c has
    voted for the second, which gets no majority.
    """

    def play(self, check, *records):
        async def main():
            keeper = await start(None)
            await keeper.adopt(
                EPOCH,
                [make_record(owner="second"), make_record(owner="first")]
                if not records
                else list(records),
                formed_at=VirtualClock().wall(),
                new_clients={"crew"},
            )
            await check(keeper)

        run_virtual(main())

    async def give_back(self, keeper, owner):
        await keeper.settle(
            SettleCall(client_id="crew", key="key", owner=owner, state=None)
        )

    def test_key_is_not_free_once_one_of_two_owners_gives_it_back(self):
        # The first owner runs. The second gives its votes back; a third one
        # asks a and c, and would be a majority: the caller is booked twice.
        async def check(keeper):
            await self.give_back(keeper, "second")
            self.assertIs(VoteOutcome.TAKEN, await vote(keeper, owner="third"))
            await self.give_back(keeper, "first")
            self.assertIs(
                VoteOutcome.GRANTED, await vote(keeper, owner="third")
            )

        self.play(check)

    def test_neither_owner_gets_the_vote_again_before_one_gives_up(self):
        # Which of them had the vote is forgotten; with c's the second would
        # have a majority beside the first.
        async def check(keeper):
            for owner in ("first", "second"):
                self.assertIs(
                    VoteOutcome.TAKEN, await vote(keeper, owner=owner)
                )
            await self.give_back(keeper, "second")
            self.assertIs(
                VoteOutcome.GRANTED, await vote(keeper, owner="first")
            )

        self.play(check)

    def test_run_that_had_effects_decides(self):
        async def check(keeper):
            self.assertEqual("first", keeper.book.get(("crew", "key")).owner)
            await self.give_back(keeper, "second")
            self.assertIs(VoteOutcome.TAKEN, await vote(keeper, owner="third"))

        ran = make_record(owner="first", state=ClaimState.RAN)
        self.play(check, make_record(owner="second"), ran)
        self.play(check, ran, make_record(owner="second"))

    def test_another_keeper_that_recovers_is_told_of_all(self):
        async def check(keeper):
            reply = keeper.answer_recovery(
                RecoverCall(vm_id="b", incarnation=2, after=0)
            )
            owners = {record.owner for record in reply.records}
            self.assertEqual({"first", "second"}, owners)

        self.play(check)


if __name__ == "__main__":
    unittest.main()

"""Tests of keys with conflicting claims of several owners."""

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


class ConflictingClaimsTest(unittest.TestCase):
    """A replica without a disk recovers two owners of one key.

    Replica a voted for the first owner, as b did, and lost that vote. Replica
    c voted for the second owner, which has no majority.
    """

    def run_check(self, check, *records):
        async def main():
            replica = await start(None)
            replica.adopt_state(
                EPOCH,
                [make_record(owner="second"), make_record(owner="first")]
                if not records
                else list(records),
                formed_at=VirtualClock().wall(),
                new_clients={"crew"},
            )
            await check(replica)

        run_virtual(main())

    async def release(self, replica, owner):
        await replica.settle(
            SettleCall(client_id="crew", key="key", owner=owner, state=None)
        )

    def test_key_is_not_free_after_one_of_two_owners_released_it(self):
        # The first owner runs and the second releases its votes. A third one
        # must not get a majority of a and c, as the request would run twice.
        async def check(replica):
            await self.release(replica, "second")
            self.assertIs(
                VoteOutcome.TAKEN, await vote(replica, owner="third")
            )
            await self.release(replica, "first")
            self.assertIs(
                VoteOutcome.GRANTED, await vote(replica, owner="third")
            )

        self.run_check(check)

    def test_neither_owner_gets_the_vote_before_one_releases_it(self):
        # The lost vote was for one of them: if the second owner got it, it
        # would have a majority with c beside the first one's.
        async def check(replica):
            for owner in ("first", "second"):
                self.assertIs(
                    VoteOutcome.TAKEN, await vote(replica, owner=owner)
                )
            await self.release(replica, "second")
            self.assertIs(
                VoteOutcome.GRANTED, await vote(replica, owner="first")
            )

        self.run_check(check)

    def test_claim_of_a_request_that_ran_replaces_conflicting_ones(self):
        async def check(replica):
            self.assertEqual("first", replica.table.get(("crew", "key")).owner)
            await self.release(replica, "second")
            self.assertIs(
                VoteOutcome.TAKEN, await vote(replica, owner="third")
            )

        ran = make_record(owner="first", state=ClaimState.RAN)
        self.run_check(check, make_record(owner="second"), ran)
        self.run_check(check, ran, make_record(owner="second"))

    def test_recovery_reply_contains_all_conflicting_claims(self):
        async def check(replica):
            reply = replica.handle_recovery(
                RecoverCall(vm_id="b", incarnation=2, after=0)
            )
            owners = {record.owner for record in reply.records}
            self.assertEqual({"first", "second"}, owners)

        self.run_check(check)


if __name__ == "__main__":
    unittest.main()

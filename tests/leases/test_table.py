"""The agreed part of leases: fencing numbers and judgements."""

import unittest

import msgspec

from burdockdrum.configuration import ControlState
from burdockdrum.leases import GrantLease
from burdockdrum.leases import LeaseResult
from burdockdrum.leases import LeaseTable
from burdockdrum.leases import OpenEpoch
from burdockdrum.leases import ReleaseLease


def grant(name, attempt, superseded=0, epoch=1) -> GrantLease:
    return GrantLease(
        epoch=epoch,
        name=name,
        holder_id=f"vm-{attempt}",
        holder_incarnation=1,
        attempt_id=attempt,
        superseded=superseded,
    )


class LeaseTableTest(unittest.TestCase):
    def setUp(self):
        self.table = LeaseTable()
        self.table.apply(OpenEpoch(opener="a"))

    def apply(self, command) -> LeaseResult:
        return self.table.apply(command)

    def test_fencing_numbers_grow_over_names_releases_and_snapshots(self):
        # An engine that saw number 3 must never meet another order with 3 or
        # less: not for another lease, not after the lease was given back,
        # not after the table came back from a snapshot.
        state = ControlState()
        numbers = []

        def run(command):
            encoded = state.apply(1, msgspec.msgpack.encode(command))
            return msgspec.msgpack.decode(encoded, type=LeaseResult)

        run(OpenEpoch(opener="a"))
        for number in range(6):
            result = run(grant(f"n{number % 2}", f"a{number}"))
            numbers.append(result.grant.fencing)
            run(ReleaseLease(name=f"n{number % 2}", fencing=numbers[-1]))
            restored = ControlState()
            restored.restore(state.snapshot())
            state = restored
        self.assertEqual([1, 2, 3, 4, 5, 6], numbers)

    def test_judgement_of_an_earlier_leader_is_void(self):
        # The leader judged that a's lease had run out, and lost the lead
        # while its proposal was on its way. The next leader renewed a's
        # lease; the proposal arrives there and must not grant it to b.
        self.apply(grant("x", "a"))
        self.apply(OpenEpoch(opener="b"))
        late = self.apply(grant("x", "b", superseded=1, epoch=1))
        self.assertFalse(late.done)
        self.assertEqual("vm-a", self.table.grants_by_name["x"].holder_id)
        self.assertTrue(self.apply(grant("x", "b", 1, epoch=2)).done)

    def test_two_judgements_of_one_grant_give_one_lease(self):
        self.apply(grant("x", "a"))
        self.assertTrue(self.apply(grant("x", "b", superseded=1)).done)
        self.assertFalse(self.apply(grant("x", "c", superseded=1)).done)

    def test_doubled_commands_change_nothing_again(self):
        first = self.apply(grant("x", "a"))
        again = self.apply(grant("x", "a"))
        self.assertEqual(first.grant, again.grant)
        self.apply(OpenEpoch(opener="a"))
        self.assertEqual(1, self.table.epoch)
        self.assertTrue(self.apply(ReleaseLease(name="x", fencing=1)).done)
        self.apply(grant("x", "b"))
        self.assertFalse(self.apply(ReleaseLease(name="x", fencing=1)).done)
        self.assertEqual("vm-b", self.table.grants_by_name["x"].holder_id)

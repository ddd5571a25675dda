"""The replicated lease table: fencing numbers and conditional grants."""

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

    def test_fencing_numbers_increase_across_leases_and_snapshots(self):
        # A fencing number must never be reused: not by another lease, nor
        # after a release or a restored snapshot.
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

    def test_grant_proposed_in_an_earlier_epoch_is_rejected(self):
        # A leader proposes to supersede a's lease and loses its leadership.
        # The next leader may have renewed that lease, so that the delayed
        # proposal must not grant it to b.
        self.apply(grant("x", "a"))
        self.apply(OpenEpoch(opener="b"))
        late = self.apply(grant("x", "b", superseded=1, epoch=1))
        self.assertFalse(late.done)
        self.assertEqual("vm-a", self.table.grants_by_name["x"].holder_id)
        self.assertTrue(self.apply(grant("x", "b", 1, epoch=2)).done)

    def test_grant_is_superseded_only_once(self):
        self.apply(grant("x", "a"))
        self.assertTrue(self.apply(grant("x", "b", superseded=1)).done)
        self.assertFalse(self.apply(grant("x", "c", superseded=1)).done)

    def test_commands_are_idempotent(self):
        first = self.apply(grant("x", "a"))
        again = self.apply(grant("x", "a"))
        self.assertEqual(first.grant, again.grant)
        self.apply(OpenEpoch(opener="a"))
        self.assertEqual(1, self.table.epoch)
        self.assertTrue(self.apply(ReleaseLease(name="x", fencing=1)).done)
        self.apply(grant("x", "b"))
        self.assertFalse(self.apply(ReleaseLease(name="x", fencing=1)).done)
        self.assertEqual("vm-b", self.table.grants_by_name["x"].holder_id)

"""Tests that copies of a publication agree with it despite message loss."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from burdockdrum.vms.messages import Changes
from burdockdrum.vms.publication import MAX_DROPPED
from burdockdrum.vms.publication import Publication

KEYS = st.integers(0, 4)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("put"), KEYS, st.binary(min_size=1, max_size=2)),
        st.tuples(st.just("drop"), KEYS),
        st.tuples(st.just("tick"), st.sets(st.integers(0, 2))),
        st.tuples(st.just("ask"), st.integers(0, 2), st.integers(0, 3)),
    ),
    max_size=40,
)


def make_value(content: bytes) -> bytes:
    """Return a value as msgpack binary."""
    return b"\xc4" + bytes([len(content)]) + content


def read(publication: Publication) -> dict[int, bytes | None]:
    """Return the values of the test's keys."""
    values = {}
    for key in range(5):
        raw = publication.get(1, key)
        values[key] = None if raw is None else bytes(raw)
    return values


class PublicationTest(unittest.TestCase):
    """A publication of one owner and copies of it."""

    @settings(derandomize=True, database=None, max_examples=150)
    @given(STEPS)
    def test_copies_agree_once_they_have_the_same_sequence(self, steps):
        # Ticks reach only some copies; others query the owner or another
        # copy, which may be outdated too. At each sequence a copy must equal
        # the owner's state: a missed drop must not leave a record behind.
        owner = Publication(vm_id="vm", incarnation=1)
        copies = [Publication(vm_id="vm", incarnation=1) for _ in range(3)]
        states: dict[int, dict] = {0: read(owner)}
        for step in [*steps, ("tick", {0}), ("ask", 1, 0), ("ask", 2, 1)]:
            match step:
                case ("put", key, content):
                    owner.put(1, key, make_value(content))
                case ("drop", key):
                    owner.drop(1, key)
                case ("tick", reached):
                    changes = owner.advance()
                    states[owner.sequence] = read(owner)
                    for number in reached:
                        copies[number].apply(changes)
                case ("ask", number, source):
                    copy = copies[number]
                    target = copies[source] if source < 3 else owner
                    answer = target.changes_since(copy.sequence)
                    copy.apply(answer)
            for copy in copies:
                self.check(copy, states)

    def check(self, copy: Publication, states: dict[int, dict]) -> None:
        self.assertEqual(states[copy.sequence], read(copy))

    def test_long_gap_is_answered_with_all_records(self):
        # After more drops than are stored, the changes alone would leave
        # dropped records in the copy.
        owner = Publication(vm_id="vm", incarnation=1)
        copy = Publication(vm_id="vm", incarnation=1)
        owner.put(1, 0, make_value(b"x"))
        copy.apply(owner.advance())
        owner.drop(1, 0)
        owner.advance()
        for key in range(1, MAX_DROPPED + 2):
            owner.put(1, key, make_value(b"x"))
            owner.advance()
            owner.drop(1, key)
            owner.advance()
        changes = owner.changes_since(copy.sequence)
        self.assertTrue(changes.full)
        copy.apply(changes)
        self.assertIsNone(copy.get(1, 0))

    def test_changes_after_a_gap_are_not_applied(self):
        owner = Publication(vm_id="vm", incarnation=1)
        copy = Publication(vm_id="vm", incarnation=1)
        owner.advance()
        owner.put(1, 0, make_value(b"x"))
        changes: Changes = owner.advance()
        self.assertIsNone(copy.apply(changes))
        self.assertEqual(0, copy.sequence)

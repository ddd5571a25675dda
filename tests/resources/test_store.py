"""Changes under a version, resent changes and what is refused."""

import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies as st
import msgspec

from burdockdrum.resources import answers
from burdockdrum.resources import Change
from burdockdrum.resources import ChangeResult
from burdockdrum.resources import Configuration
from burdockdrum.resources import Delete
from burdockdrum.resources import hash_token
from burdockdrum.resources import parse_spec
from burdockdrum.resources import Put
from burdockdrum.resources import ResourceError
from burdockdrum.resources import ResourceStore


def put(change_id, kind, name, fields, version=0) -> Put:
    return Put(
        change_id=change_id,
        kind=kind,
        name=name,
        expected_version=version,
        spec=parse_spec(kind, fields),
    )


def delete(change_id, kind, name, version) -> Delete:
    return Delete(
        change_id=change_id, kind=kind, name=name, expected_version=version
    )


def copy(store: ResourceStore) -> ResourceStore:
    """Return the store as a snapshot brings it back."""
    encoded = msgspec.msgpack.encode(store.snapshot())
    other = ResourceStore()
    other.restore(msgspec.msgpack.decode(encoded, type=type(store.snapshot())))
    return other


class StoreTest(unittest.TestCase):
    def setUp(self):
        self.store = ResourceStore()
        for name in ("north", "south"):
            self.apply(put(f"region-{name}", "region", name, {}))

    def apply(self, change: Change, code: str = "accepted") -> ChangeResult:
        result = self.store.apply(change)
        self.assertEqual(code, result.code, result.message)
        return result

    def client(self, **fields) -> dict:
        return {
            "home_region": "north",
            "residency": ["north", "south"],
            "token_hashes": [hash_token("crew")],
            **fields,
        }

    def test_one_of_two_changes_under_one_version_wins(self):
        # Two operators read version 3 and both change it. The first is
        # accepted; the second gets a conflict with the state that the first
        # made, and nothing of its change is applied.
        made = self.apply(put("make", "client", "crew", self.client()))
        version = made.revision
        first = self.client(residency=["north"])
        won = self.apply(put("a", "client", "crew", first, version))
        second = self.client(residency=["north", "south"])
        lost = put("b", "client", "crew", second, version)
        result = self.apply(lost, "conflict")
        self.assertEqual(won.current, result.current)
        self.assertEqual(won.revision, self.store.configuration.revision)

    def test_resent_change_gets_the_first_answer(self):
        # The operator's answer was lost and the change is sent again, after
        # another has changed the resource, and after a snapshot was brought
        # back. It is answered as at first and not applied again.
        change = put("make", "client", "crew", self.client())
        first = self.apply(change)
        narrowed = self.client(residency=["north"])
        after = self.apply(
            put("narrow", "client", "crew", narrowed, first.revision)
        )
        for store in (self.store, copy(self.store)):
            self.assertEqual(first, store.apply(change))
            self.assertEqual(after.revision, store.configuration.revision)

    def test_resent_conflict_stays_a_conflict(self):
        # A change that lost is sent again once its version would fit by
        # chance no more than before: it must not win late.
        lost = put("late", "region", "north", {"description": "x"}, 9)
        first = self.apply(lost, "conflict")
        again = self.apply(lost, "conflict")
        self.assertEqual(first.revision, again.revision)

    def test_change_id_of_another_change_is_refused(self):
        self.apply(put("id", "region", "east", {}))
        result = self.apply(put("id", "region", "west", {}), "invalid")
        self.assertIn("change_id", result.message)

    def test_answers_are_kept_up_to_the_bound(self):
        # The bound is the same on every member, also on one that was brought
        # up from a snapshot half-way. Past it, a resent change is a new one:
        # its version is old by then, so it conflicts and is not applied.
        with mock.patch.object(answers, "KEPT_ANSWERS", 3):
            change = put("first", "region", "east", {})
            self.apply(change)
            other = copy(self.store)
            for store in (self.store, other):
                for number in range(3):
                    store.apply(put(f"r{number}", "region", f"r{number}", {}))
            self.assertEqual(copy(self.store).snapshot(), other.snapshot())
            self.assertEqual(3, len(self.store.snapshot().answers))
            self.apply(change, "conflict")

    def test_deleted_resource_is_made_again_under_a_new_version(self):
        # An operator who still holds the version from before the deletion
        # must not change the one that was made after it.
        version = self.apply(put("a", "region", "east", {})).revision
        self.apply(delete("b", "region", "east", version))
        again = self.apply(put("c", "region", "east", {}))
        self.assertGreater(again.revision, version)
        stale = put("d", "region", "east", {"description": "old"}, version)
        self.apply(stale, "conflict")

    def test_refused_change_names_the_field_and_changes_nothing(self):
        # Each of these is refused with the field's name, and the state is as
        # before: nothing is half applied.
        self.apply(put("crew", "client", "crew", self.client()))
        before = self.store.snapshot()
        crew = self.client
        cases = [
            ("spec.residency must", crew(residency=[])),
            ("spec.residency[1]", crew(residency=["north", "nowhere"])),
            ("spec.home_region", crew(residency=["south"])),
            ("spec.team", crew(team="nobody")),
            ("spec.priority_class", crew(priority_class="none")),
            ("spec.priority_classes[0]", crew(priority_classes=["none"])),
            ("spec.token_hashes[0]", crew(token_hashes=["x"])),
            ("spec.token_hashes[0]", crew()),
            ("spec.quota.tokens", crew(quota={"tokens_per_second": -1})),
        ]
        for number, (message, fields) in enumerate(cases):
            with self.subTest(message=message, fields=fields):
                change = put(f"bad-{number}", "client", "other", fields)
                result = self.apply(change, "invalid")
                self.assertIn(message, result.message)
        self.assertEqual(before.resources, self.store.snapshot().resources)
        self.assertEqual(before.revision, self.store.configuration.revision)

    def test_deletion_of_what_is_used_or_missing_is_refused(self):
        crew = self.apply(put("crew", "client", "crew", self.client()))
        north = self.store.configuration.resources_by_key["region", "north"]
        used = delete("a", "region", "north", north.version)
        self.assertIn("crew", self.apply(used, "invalid").message)
        missing = delete("b", "region", "nowhere", 0)
        self.assertIn("nowhere", self.apply(missing, "invalid").message)
        self.apply(delete("c", "client", "crew", crew.revision))
        self.apply(delete("d", "region", "north", north.version))

    def test_unknown_field_is_named(self):
        with self.assertRaisesRegex(ResourceError, "residencey"):
            parse_spec("client", {**self.client(), "residencey": []})

    def test_spec_of_another_kind_is_refused(self):
        change = Put(
            change_id="x",
            kind="team",
            name="x",
            expected_version=0,
            spec=parse_spec("region", {}),
        )
        self.assertIn("spec.kind", self.apply(change, "invalid").message)

    @hypothesis.settings(derandomize=True, database=None, max_examples=60)
    @hypothesis.given(
        st.lists(
            st.tuples(
                st.sampled_from(["a", "b", "c"]),
                st.integers(0, 12),
                st.booleans(),
            ),
            max_size=30,
        )
    )
    def test_digest_follows_every_change(self, steps):
        store = ResourceStore()
        revisions = []
        store.listeners.append(revisions.append)
        for number, (name, version, deleted) in enumerate(steps):
            if deleted:
                store.apply(delete(f"{number}", "region", name, version))
            else:
                fields = {"description": str(number)}
                store.apply(put(f"{number}", "region", name, fields, version))
        configuration = store.configuration
        whole = Configuration.of(
            configuration.revision, configuration.resources_by_key.values()
        )
        self.assertEqual(whole, configuration)
        self.assertEqual(configuration, Configuration().revise(revisions))

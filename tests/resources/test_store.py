"""Tests of the resource store: versions, resent and invalid changes."""

import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies as st
import msgspec

from burdockdrum.resources import Change
from burdockdrum.resources import ChangeResult
from burdockdrum.resources import Configuration
from burdockdrum.resources import Delete
from burdockdrum.resources import hash_token
from burdockdrum.resources import parse_spec
from burdockdrum.resources import Put
from burdockdrum.resources import recorded_results
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
    """Return a store restored from an encoded snapshot."""
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

    def test_second_change_of_the_same_version_conflicts(self):
        # Guards against lost updates: the conflict returns the resource
        # that the first change made.
        made = self.apply(put("make", "client", "crew", self.client()))
        version = made.revision
        first = self.client(residency=["north"])
        accepted = self.apply(put("a", "client", "crew", first, version))
        second = self.client(residency=["north", "south"])
        conflicting = put("b", "client", "crew", second, version)
        result = self.apply(conflicting, "conflict")
        self.assertEqual(accepted.current, result.current)
        self.assertEqual(accepted.revision, self.store.configuration.revision)

    def test_resent_change_gets_the_recorded_result(self):
        # A change resent after a lost response must not be applied twice,
        # not even after another change or a restored snapshot.
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
        # A rejected change must not be accepted when it is resent.
        conflicting = put("late", "region", "north", {"description": "x"}, 9)
        first = self.apply(conflicting, "conflict")
        again = self.apply(conflicting, "conflict")
        self.assertEqual(first.revision, again.revision)

    def test_reused_change_id_is_rejected(self):
        self.apply(put("id", "region", "east", {}))
        result = self.apply(put("id", "region", "west", {}), "invalid")
        self.assertIn("change_id", result.message)

    def test_oldest_results_are_evicted_on_every_member_alike(self):
        # A member restored from a snapshot must evict the same results. A
        # change resent after that conflicts, as its version is outdated.
        with mock.patch.object(recorded_results, "MAX_RECORDED_RESULTS", 3):
            change = put("first", "region", "east", {})
            self.apply(change)
            other = copy(self.store)
            for store in (self.store, other):
                for number in range(3):
                    store.apply(put(f"r{number}", "region", f"r{number}", {}))
            self.assertEqual(copy(self.store).snapshot(), other.snapshot())
            self.assertEqual(3, len(self.store.snapshot().answers))
            self.apply(change, "conflict")

    def test_recreated_resource_has_a_new_version(self):
        # A change with the version from before the deletion must conflict.
        version = self.apply(put("a", "region", "east", {})).revision
        self.apply(delete("b", "region", "east", version))
        again = self.apply(put("c", "region", "east", {}))
        self.assertGreater(again.revision, version)
        stale = put("d", "region", "east", {"description": "old"}, version)
        self.apply(stale, "conflict")

    def test_invalid_change_names_the_field_and_changes_nothing(self):
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

    def test_deletion_of_a_used_or_missing_resource_is_rejected(self):
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

    def test_spec_of_another_kind_is_rejected(self):
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
    def test_incremental_digest_equals_the_full_digest(self, steps):
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

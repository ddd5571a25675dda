"""Tests of the table of cached prefixes."""

import unittest

from hypothesis import given
from hypothesis import strategies

from burdockdrum.holdings import PrefixCacheChange
from burdockdrum.holdings import PrefixCacheTable
from tests.drawing import draw as drawn


def make(
    number, tokens_by_part, *, endpoint_id="a", epoch=1, is_snapshot=False
):
    """Return a change of an endpoint's prefix cache."""
    return PrefixCacheChange(
        endpoint_id=endpoint_id,
        address=f"{endpoint_id}:80",
        data_centre="dc",
        epoch=epoch,
        number=number,
        tokens_by_part=tokens_by_part,
        is_snapshot=is_snapshot,
    )


CHANGES = strategies.lists(
    strategies.builds(
        make,
        strategies.integers(0, 6),
        strategies.dictionaries(
            strategies.sampled_from("pqrs"),
            strategies.sampled_from([0, 500, 4000]),
        ),
        endpoint_id=strategies.sampled_from("ab"),
        epoch=strategies.integers(1, 2),
        is_snapshot=strategies.booleans(),
    ),
    max_size=20,
)


class PrefixCacheTableTest(unittest.TestCase):
    """Changes that arrive in and out of order."""

    def setUp(self):
        self.table = PrefixCacheTable()

    def cached_parts(self, endpoint_id="a"):
        cache = self.table.find(endpoint_id)
        return cache.tokens_by_part if cache else None

    def test_parts_come_and_go(self):
        self.table.apply(make(1, {"p": 4000, "q": 500}), 1.0)
        self.table.apply(make(3, {"q": 0, "r": 700}), 2.0)
        self.assertEqual({"p": 4000, "r": 700}, self.cached_parts())
        [cache] = self.table.holders("r")
        self.assertEqual(("a", 2.0), (cache.endpoint_id, cache.received_at))
        self.assertEqual([], list(self.table.holders("q")))

    def test_late_change_is_ignored(self):
        # Two entries report the same endpoint, and an older change arrives
        # after a newer one.
        self.table.apply(make(5, {"p": 0, "q": 500}), 1.0)
        self.assertFalse(self.table.apply(make(4, {"p": 4000}), 2.0))
        self.assertFalse(self.table.apply(make(5, {"p": 4000}), 2.0))
        self.assertEqual({"q": 500}, self.cached_parts())

    def test_snapshot_repairs_lost_changes(self):
        self.table.apply(make(5, {"p": 4000, "q": 500}), 1.0)
        snapshot = make(5, {"q": 500, "r": 1}, is_snapshot=True)
        self.assertTrue(self.table.apply(snapshot, 2.0))
        self.assertEqual({"q": 500, "r": 1}, self.cached_parts())

    def test_new_epoch_empties_the_cache(self):
        # After a restart of the endpoint, event numbers start again from one;
        # its changes must not be ignored as old.
        self.table.apply(make(50, {"p": 4000}), 1.0)
        self.table.apply(make(1, {"q": 500}, epoch=2), 2.0)
        self.assertEqual({"q": 500}, self.cached_parts())

    def test_stale_endpoint_is_removed_from_holders(self):
        self.table.apply(make(1, {"p": 4000}), 1.0)
        self.table.apply(make(1, {"p": 4000}, endpoint_id="b"), 5.0)
        self.table.forget_stale(3.0, {"c"})
        self.assertEqual(
            ["b"], [m.endpoint_id for m in self.table.holders("p")]
        )

    @drawn(200)
    @given(CHANGES)
    def test_index_of_holders_matches_the_caches(self, changes):
        table = PrefixCacheTable()
        for now, change in enumerate(changes):
            table.apply(change, float(now))
        for part_id in "pqrs":
            holders = {m.endpoint_id for m in table.holders(part_id)}
            expected = {
                endpoint_id
                for endpoint_id, cache in table.caches_by_id.items()
                if part_id in cache.tokens_by_part
            }
            self.assertEqual(expected, holders)

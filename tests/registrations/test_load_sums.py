"""Tests of the sums of several sources' loads."""

import dataclasses
import unittest

from hypothesis import given
from hypothesis import strategies

from burdockdrum.registrations.load_sums import LoadSums
from burdockdrum.registrations.loads import Load
from burdockdrum.registrations.loads import RankLoad
from burdockdrum.registrations.loads import RankSum
from tests.drawing import draw as drawn

RANKS = strategies.lists(
    strategies.builds(
        RankLoad,
        strategies.integers(0, 2),
        strategies.integers(0, 3),
        strategies.integers(0, 5000),
        strategies.integers(0, 5000),
        strategies.integers(0, 3),
    ),
    max_size=3,
)
PARTS = strategies.dictionaries(strategies.sampled_from("abc"), RANKS)
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from("xyz"), strategies.none() | PARTS
    ),
    max_size=15,
)


class LoadSumsTest(unittest.TestCase):
    """Reports that are replaced and removed in any order."""

    @drawn(200)
    @given(STEPS)
    def test_sum_is_that_of_the_parts(self, steps):
        sums = LoadSums()
        parts_by_source = {}
        for now, (source, part) in enumerate(steps):
            if part is None:
                sums.drop(source)
                parts_by_source.pop(source, None)
            else:
                sums.put(source, part, now)
                parts_by_source[source] = part
            for endpoint_id in "abc":
                ranks = [
                    rank
                    for part in parts_by_source.values()
                    for rank in part.get(endpoint_id, [])
                ]
                expected = Load.from_ranks(ranks).up_to(9)
                found = sums.load_of(endpoint_id).up_to(9)
                self.assertEqual(expected.requests, found.requests)
                self.assertAlmostEqual(
                    expected.recent_tokens, found.recent_tokens
                )

    def test_removing_a_source_with_zero_load_does_not_fail(self):
        # Guards against a crash: the sum was removed with the other source,
        # before the source whose load had decayed to zero.
        faded = Load()
        faded.add(0, RankSum(recent_tokens=0.3))
        self.assertEqual([], faded.ranks())
        sums = LoadSums()
        sums.put("x", {"a": [RankLoad(0, 0, 0)]}, 1.0)
        sums.put("y", {"a": [RankLoad(0, 2, 100)]}, 1.0)
        sums.drop("y")
        sums.drop("x")
        self.assertEqual({}, sums.sums_by_id)

    def test_every_field_is_added(self):
        # Guards against a new field that a merge forgets.
        names = [field.name for field in dataclasses.fields(RankSum)]
        part = Load()
        part.add(1, RankSum(**{n: i + 1.0 for i, n in enumerate(names)}))
        total = Load()
        total.merge(part)
        self.assertEqual(part, total)
        total.merge(part)
        self.assertEqual(part.scaled(2), total)
        total.subtract(part)
        self.assertEqual(part, total)

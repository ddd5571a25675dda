"""Fuzzes the resources that operators send."""

import unittest

from hypothesis import given
from hypothesis import strategies

from burdockdrum.resources import parse_spec
from burdockdrum.resources import ResourceError
from burdockdrum.resources import SPECS_BY_KIND
from tests.drawing import draw

FUZZ = draw(200)
FIELD_NAMES = [
    "region",
    "regions",
    "residency",
    "home_region",
    "token_hashes",
    "quota",
    "rank",
    "type",
    "no_such_field",
]
VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=4), inner, max_size=3
        )
    ),
    max_leaves=6,
)


class ResourceTest(unittest.TestCase):
    """A spec is parsed completely or rejected with a message."""

    @FUZZ
    @given(
        strategies.sampled_from([*sorted(SPECS_BY_KIND), "elephant"]),
        strategies.dictionaries(
            strategies.sampled_from(FIELD_NAMES), VALUES, max_size=4
        ),
    )
    def test_any_fields_are_read_or_refused(self, kind, fields):
        try:
            spec = parse_spec(kind, fields)
        except ResourceError as error:
            self.assertTrue(str(error))
            return
        self.assertIsInstance(spec, SPECS_BY_KIND[kind])
        self.assertNotIn("no_such_field", fields)

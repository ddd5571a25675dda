"""Tests of checking the specs that operators write."""

import unittest

from burdockdrum.resources import ResourceError
from burdockdrum.resources.validation import parse_spec


class ParseSpecTest(unittest.TestCase):
    """Specs that can be stored, and those that can't."""

    def test_number_that_can_not_be_stored_is_invalid(self):
        # OverflowError was answered 500, after which an operator tries again.
        fields = {"deadline_seconds": 1.0, "rank": 3}
        self.assertEqual(3, parse_spec("priority_class", fields).rank)
        with self.assertRaisesRegex(ResourceError, "64 bits"):
            parse_spec("priority_class", {**fields, "rank": 10**25})


if __name__ == "__main__":
    unittest.main()

"""Tests of the lookup of callers by token."""

import unittest

from burdockdrum.resources import RateLimit
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from tests.callers.fakes import CERTAIN_SECONDS
from tests.callers.fakes import FakeConfiguration
from tests.callers.fakes import make_finder
from tests.callers.fakes import make_team


class FinderTest(unittest.TestCase):
    """Two teams, one of them with two tokens."""

    def setUp(self):
        self.limit = RateLimit(per_second=5.0)
        self.configuration = FakeConfiguration(
            teams=[
                make_team("a", "a1", "a2", rank=3, limit=self.limit),
                make_team("b", "b1", homes=["north"]),
            ]
        )
        self.finder = make_finder(self.configuration)

    def find_refused(self, token):
        """Return the refusal for a token."""
        with self.assertRaises(Refusal) as caught:
            self.finder.find(token)
        self.assertIs(Verdict.NOT_RUN, caught.exception.verdict)
        return caught.exception

    def test_token_is_mapped_to_its_team(self):
        for token in ("a1", b"a2"):
            caller = self.finder.find(token)
            self.assertEqual(
                ("a", 3, self.limit), (caller.team, caller.rank, caller.limit)
            )
        self.assertEqual(("north",), self.finder.find(b"b1").homes)

    def test_missing_or_malformed_token_is_unauthenticated(self):
        invalid = (
            None,
            "",
            b"",
            b"a1 ",
            b"A1",
            b"a1,a2",
            b"\xff\xfe",
            b"k" * 4096,
        )
        for token in invalid:
            with self.subTest(token=token):
                code = self.find_refused(token).code
                self.assertIs(RefusalCode.UNAUTHENTICATED, code)

    def test_refusal_message_does_not_contain_the_token(self):
        self.assertNotIn("secret", self.find_refused("secret-token").message)

    def test_unknown_token_is_retryable_if_configuration_is_stale(self):
        """A new token gets a final rejection from a partitioned entry."""
        for age in (CERTAIN_SECONDS + 0.1, None):
            self.configuration.age = age
            refusal = self.find_refused("new")
            self.assertIs(RefusalCode.CONFIGURATION_STALE, refusal.code)
            self.assertIsNotNone(refusal.retry_after)
            self.assertEqual("a", self.finder.find("a1").team)

    def test_strict_finder_accepts_no_token_if_configuration_is_stale(self):
        """A partitioned entry keeps accepting a revoked token."""
        self.finder = make_finder(self.configuration, strict_seconds=5.0)
        self.assertEqual("a", self.finder.find("a1").team)
        for age in (5.1, None):
            self.configuration.age = age
            code = self.find_refused("a1").code
            self.assertIs(RefusalCode.CONFIGURATION_STALE, code)

    def test_new_configuration_replaces_tokens(self):
        self.configuration.apply(
            teams=[make_team("a", "a2"), make_team("b", "a1")], generation=2
        )
        self.assertEqual("b", self.finder.find("a1").team)
        self.assertIs(
            RefusalCode.UNAUTHENTICATED, self.find_refused("b1").code
        )

    def test_unknown_team_of_forwarded_request_is_retryable(self):
        """An entry with an older table finally rejects a forwarded request."""
        self.assertEqual("b", self.finder.find_team("b").team)
        with self.assertRaises(Refusal) as caught:
            self.finder.find_team("new")
        code = caught.exception.code
        self.assertIs(RefusalCode.CONFIGURATION_STALE, code)

"""Tests of tenants in the operators' documents."""

import json
import pathlib
import sys
import unittest

ROOT = pathlib.Path(__file__).parents[2]
sys.path.insert(0, str(ROOT / "platform"))

from adapter.documents import DocumentError  # noqa: E402
from adapter.documents import read_document  # noqa: E402

from burdockdrum.resources import check_routes  # noqa: E402
from burdockdrum.resources import hash_token  # noqa: E402
from burdockdrum.resources import RateLimit  # noqa: E402
from burdockdrum.resources import ResourceError  # noqa: E402
from tests.platform.test_boot import DOCUMENT  # noqa: E402

ERRORS = (DocumentError, ResourceError)


def read_tenants(*tenants):
    """Decode and validate a document with tenants."""
    table = read_document(
        json.dumps({**DOCUMENT, "tenants": tenants}).encode()
    )
    check_routes(table)
    return table


def make_tenant(name="a", **fields):
    """Return a tenant with one key."""
    return {"name": name, "api_keys": [f"key-{name}"], **fields}


class TenantsTest(unittest.TestCase):
    """Valid and invalid tenants."""

    def test_tenant_is_decoded_into_a_team(self):
        tenant = make_tenant(
            priority=2,
            unit="tokens",
            plain_tokens=200,
            rate_per_s=36000,
            burst=72000.5,
            home_regions=["north"],
        )
        [team] = read_tenants(tenant).teams
        limit = RateLimit(
            unit="tokens", per_second=36000.0, burst=72000.5, plain_tokens=200
        )
        self.assertEqual(
            ("a", [hash_token("key-a")], 2, ["north"], limit),
            (
                team.name,
                team.token_hashes,
                team.rank,
                team.homes,
                team.limit,
            ),
        )

    def test_zero_rate_is_no_limit(self):
        for fields in ({}, {"rate_per_s": 0}, {"rate_per_s": 0, "burst": 9}):
            self.assertIsNone(
                read_tenants(make_tenant(**fields)).teams[0].limit
            )

    def test_document_without_tenants_has_no_teams(self):
        self.assertIsNone(read_document(json.dumps(DOCUMENT).encode()).teams)
        self.assertEqual([], read_tenants().teams)

    def test_duplicate_key_within_one_tenant_is_accepted(self):
        read_tenants(make_tenant(api_keys=["k", "k"]))

    def test_invalid_tenants_are_rejected(self):
        """A document with an invalid tenant must not be applied in part."""
        invalid = {
            "key of two": [
                make_tenant("a"),
                make_tenant("b", api_keys=["key-a"]),
            ],
            "name twice": [
                make_tenant("a"),
                make_tenant("a", api_keys=["other"]),
            ],
            "empty key": [make_tenant(api_keys=[""])],
            "no name": [{"api_keys": ["k"]}],
            "empty name": [make_tenant("")],
            "name of two lines": [make_tenant("a\r\nb")],
            "keys of no list": [make_tenant(api_keys="k")],
            "key of no text": [make_tenant(api_keys=[7])],
            "unknown unit": [make_tenant(unit="bytes", rate_per_s=1)],
            "negative rate": [make_tenant(rate_per_s=-1)],
            "negative burst": [make_tenant(rate_per_s=1, burst=-1)],
            "rate of text": [make_tenant(rate_per_s="many")],
            "priority of text": [make_tenant(priority="first")],
            "homes of no list": [make_tenant(home_regions="north")],
            "tenant of no table": ["a"],
        }
        for name, tenants in invalid.items():
            with self.subTest(name), self.assertRaises(ERRORS):
                read_tenants(*tenants)

    def test_infinite_numbers_are_rejected(self):
        for number in ("Infinity", "NaN", "1e999", "-1e999"):
            body = json.dumps(
                {**DOCUMENT, "tenants": [make_tenant(rate_per_s=7)]}
            )
            body = body.replace(": 7", f": {number}")
            with self.subTest(number), self.assertRaises(ERRORS):
                check_routes(read_document(body.encode()))

    def test_error_names_both_teams_and_no_key(self):
        with self.assertRaises(ResourceError) as caught:
            read_tenants(
                make_tenant("a"), make_tenant("b", api_keys=["key-b", "key-a"])
            )
        message = str(caught.exception)
        self.assertIn("'a'", message)
        self.assertIn("'b'", message)
        for secret in ("key-a", hash_token("key-a")):
            self.assertNotIn(secret, message)

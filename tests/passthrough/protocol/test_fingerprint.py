"""Tests of what identifies a request that is sent again."""

import unittest

from burdockdrum.http1 import RequestHead
from burdockdrum.passthrough.protocol.fingerprint import make_fingerprint


def head(*, method=b"POST", target=b"/p/x?q=1", body=b"text", headers=()):
    """Return the head of a request."""
    return RequestHead(
        method=method,
        target=target,
        headers=[(b"Host", b"h"), *headers],
        body=body,
        keep_alive=True,
        received_at=1.0,
    )


class FingerprintTest(unittest.TestCase):
    """Requests that are the same, and those that are not."""

    def test_same_request_under_another_id_has_the_same_fingerprint(self):
        again = head(headers=[(b"X-Request-Id", b"2"), (b"X-Deadline", b"9")])
        self.assertEqual(
            make_fingerprint(head(), "team"), make_fingerprint(again, "team")
        )

    def test_other_requests_have_other_fingerprints(self):
        # Guards against rejecting a request that only resembles another one.
        others = [
            make_fingerprint(head(), "team"),
            make_fingerprint(head(), "other"),
            make_fingerprint(head(), None),
            make_fingerprint(head(method=b"PUT"), "team"),
            make_fingerprint(head(target=b"/p/x?q=2"), "team"),
            make_fingerprint(head(body=b"texts"), "team"),
            make_fingerprint(head(target=b"/p/x?q=1t", body=b"ext"), "team"),
        ]
        self.assertEqual(len(others), len(set(others)))

"""Identify requests by what they ask for.

Callers send a failed request again under a new id, through any entry.
"""

import hashlib

from burdockdrum.http1 import RequestHead

FINGERPRINT_BYTES = 12
_LENGTH_BYTES = 8


def make_fingerprint(head: RequestHead, team: str | None) -> str:
    """Return a digest of a request's host, target, method, caller and body.

    :param team: the authenticated caller, None if the route needs no token
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    fields = (
        head.host.encode("latin-1"),
        head.method,
        head.target,
        b"" if team is None else b"team " + team.encode(),
        head.body,
    )
    for field in fields:
        # The length keeps fields apart that would be equal when joined.
        digest.update(len(field).to_bytes(_LENGTH_BYTES))
        digest.update(field)
    return digest.hexdigest()

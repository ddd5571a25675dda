"""Identify requests by what they ask for, and parts of their prompts.

Callers send a failed request again under a new id, through any entry.
"""

from collections.abc import Iterable
import hashlib

from burdockdrum.crashes import PART_PREFIX
from burdockdrum.http1 import RequestHead

FINGERPRINT_BYTES = 12
_LENGTH_BYTES = 8


def make_fingerprint(head: RequestHead, team: str | None) -> str:
    """Return a digest of a request's host, target, method, caller and body.

    :param team: the authenticated caller, None if the route needs no token
    """
    fields = (
        head.host.encode("latin-1"),
        head.method,
        head.target,
        b"" if team is None else b"team " + team.encode(),
        head.body,
    )
    return _digest(fields)


def make_part_fingerprint(model: str, part_id: str) -> str:
    """Return a digest of a part of a prompt.

    Another model may mean something else by the same id, a hexadecimal
    number. Another service of the model means the same.
    """
    fields = (model, part_id.lower())
    return PART_PREFIX + _digest(field.encode() for field in fields)


def _digest(fields: Iterable[bytes]) -> str:
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for field in fields:
        # The length keeps fields apart that would be equal when joined.
        digest.update(len(field).to_bytes(_LENGTH_BYTES))
        digest.update(field)
    return digest.hexdigest()

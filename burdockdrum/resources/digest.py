"""A digest of resources by which two VMs notice that theirs differ.

The sum of one hash a resource does not depend on their order and follows a
change in constant time (Bellare and Micciancio, "A New Paradigm for
Collision-Free Hashing: Incrementality at Reduced Cost", 1997). It guards
against faults, not against an adversary: peers are told apart by their seal.
"""

import hashlib

import msgspec

from burdockdrum.resources.kinds import Resource

_DIGEST_BYTES = 7
# Fits the integers of MessagePack.
DIGEST_MASK = (1 << (8 * _DIGEST_BYTES)) - 1


def digest_of(resource: Resource) -> int:
    """Return the digest of one resource, version included."""
    encoded = msgspec.msgpack.encode(resource)
    hashed = hashlib.blake2b(encoded, digest_size=_DIGEST_BYTES)
    return int.from_bytes(hashed.digest(), "big")

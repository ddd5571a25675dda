"""An incremental digest that detects differing configurations of two VMs.

The sum of a hash of each resource is independent of their order and is
updated in constant time (Bellare and Micciancio, "A New Paradigm for
Collision-Free Hashing: Incrementality at Reduced Cost", 1997). It detects
faults, not attacks: messages of peers are authenticated by their seal.
"""

import hashlib

import msgspec

from burdockdrum.resources.kinds import Resource

_DIGEST_BYTES = 7
# 56 bits fit MessagePack's integers.
DIGEST_MASK = (1 << (8 * _DIGEST_BYTES)) - 1


def digest_resource(resource: Resource) -> int:
    """Return the digest of a resource, including its version."""
    encoded = msgspec.msgpack.encode(resource)
    hashed = hashlib.blake2b(encoded, digest_size=_DIGEST_BYTES)
    return int.from_bytes(hashed.digest(), "big")

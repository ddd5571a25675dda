"""Tickets: idempotency keys that name the epoch in which they were issued.

A ticket of the current epoch provably was not used before, so it is accepted
even after the claim replicas lost their memory.
"""

import random

from burdockdrum.claims.messages import Epoch

_PREFIX = "ticket"
_RANDOM_BITS = 96


def make_ticket(epoch: Epoch, rng: random.Random) -> str:
    """Return a unique key of an epoch."""
    number = rng.getrandbits(_RANDOM_BITS)
    return f"{_PREFIX}:{epoch.number}:{epoch.former}:{number:x}"


def is_ticket_of(key: str, epoch: Epoch) -> bool:
    """Return whether a key was issued in an epoch."""
    return key.startswith(f"{_PREFIX}:{epoch.number}:{epoch.former}:")

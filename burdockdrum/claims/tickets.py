"""Keys that prove from which epoch they are.

A caller that asks for its key, in place of making one up, can always tell
the system that the key is new, also after claims were forgotten.
"""

import random

from burdockdrum.claims.messages import Epoch

_PREFIX = "ticket"
_RANDOM_BITS = 96


def make_ticket(epoch: Epoch, rng: random.Random) -> str:
    """Return a key of an epoch that nobody else has."""
    number = rng.getrandbits(_RANDOM_BITS)
    return f"{_PREFIX}:{epoch.number}:{epoch.former}:{number:x}"


def is_ticket_of(key: str, epoch: Epoch) -> bool:
    """Say whether a key was issued in an epoch."""
    return key.startswith(f"{_PREFIX}:{epoch.number}:{epoch.former}:")

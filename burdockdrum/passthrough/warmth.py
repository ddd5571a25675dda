"""Which parts of prompts an endpoint probably still holds.

An entry knows what it sent where; the endpoints of a region are also chosen
by a hash of the shared part, so that entries which never speak to each
other send it to the same few.
"""

import collections
import hashlib

from burdockdrum.passthrough.prompts import Prompt

# Of the memory of an engine; running requests take the rest.
HELD_PART = 0.6


class HeldParts:
    """The parts that were sent to one endpoint, the latest last."""

    def __init__(self, *, memory_tokens: int) -> None:
        """Hold nothing yet."""
        self._limit = int(memory_tokens * HELD_PART)
        self._tokens_by_part: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._total = 0

    def held_tokens(self, prompt: Prompt) -> int:
        """Return how much of a prompt's beginning is held."""
        held = 0
        for part in prompt.parts:
            if part.part_id not in self._tokens_by_part:
                break
            held += part.tokens
        return min(held, prompt.tokens) if prompt.tokens else held

    def note(self, prompt: Prompt) -> None:
        """Take note of a prompt that was read there."""
        for part in prompt.parts:
            known = self._tokens_by_part.pop(part.part_id, None)
            if known is None:
                self._total += part.tokens
            self._tokens_by_part[part.part_id] = part.tokens
        while self._total > self._limit and self._tokens_by_part:
            _, tokens = self._tokens_by_part.popitem(last=False)
            self._total -= tokens


def rank_by_hash(key: str, endpoint_id: str) -> bytes:
    """Return a rank that all entries give to an endpoint for a key."""
    text = f"{key}\n{endpoint_id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()

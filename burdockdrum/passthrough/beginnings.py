"""Cached prompt prefixes: where they are, and transfers between endpoints.

An endpoint that lacks a prefix can fetch its cache entries from another
endpoint, which is often faster than computing them (prefill).
"""

from dataclasses import dataclass

from burdockdrum.passthrough.warmth import PrefixHolder
from burdockdrum.resources import Backend

# The prefill of a shorter prefix takes less time than setting up a transfer.
MIN_FETCH_TOKENS = 200
_BITS_PER_BYTE = 8
_BITS_PER_MEGABIT = 1_000_000


@dataclass(frozen=True, kw_only=True)
class Beginning:
    """Where the shared prefix of a prompt is cached, or should be.

    ``holder`` is the endpoint to fetch it from. ``home_id`` is the endpoint
    that hashing assigns the prefix to while nobody has it; None for any.
    """

    holder: PrefixHolder | None
    home_id: str | None

    def fetchable(self, endpoint_id: str, held_tokens: int) -> int:
        """Return how many tokens an endpoint should fetch from the holder."""
        if self.holder is None or self.holder.endpoint_id == endpoint_id:
            return 0
        more = self.holder.tokens - held_tokens
        return more if more >= MIN_FETCH_TOKENS else 0


@dataclass(frozen=True, kw_only=True)
class Fetch:
    """A transfer of cached tokens from another endpoint.

    ``link_seconds`` is the transfer time by the bandwidth of the links;
    ``is_far`` says whether the source is in another region.
    """

    address: str
    tokens: int
    link_seconds: float
    is_far: bool = False


def link_seconds(backend: Backend, tokens: int) -> float:
    """Return the transfer time of tokens over the link of an endpoint.

    Zero if the bandwidth of the backend's engine is not known.
    """
    engine = backend.engine
    if engine is None or not tokens or not engine.link_megabits:
        return 0.0
    bits = tokens * engine.bytes_a_token * _BITS_PER_BYTE
    return bits / (engine.link_megabits * _BITS_PER_MEGABIT)

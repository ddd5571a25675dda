"""Cached prompt prefixes: where they are, and transfers between endpoints.

An endpoint that lacks a prefix can fetch its cache entries from another
endpoint, which is often faster than computing them (prefill).
"""

from dataclasses import dataclass

from burdockdrum.passthrough.state.prefix_cache import PrefixHolder
from burdockdrum.resources import Backend

# The prefill of a shorter prefix takes less time than setting up a transfer.
MIN_FETCH_TOKENS = 200
_BITS_PER_BYTE = 8
_BITS_PER_MEGABIT = 1_000_000


@dataclass(frozen=True, kw_only=True)
class PrefixLocation:
    """Where the shared prefix of a prompt is cached, or should be.

    ``holder`` is the endpoint to fetch it from. ``hashed_endpoint_id`` is the
    endpoint that hashing assigns the prefix to while nobody has it; None for
    any.
    """

    holder: PrefixHolder | None
    hashed_endpoint_id: str | None

    def fetchable_tokens(self, endpoint_id: str, cached_tokens: int) -> int:
        """Return how many tokens an endpoint should fetch from the holder."""
        if self.holder is None or self.holder.endpoint_id == endpoint_id:
            return 0
        more = self.holder.tokens - cached_tokens
        return more if more >= MIN_FETCH_TOKENS else 0


@dataclass(frozen=True, kw_only=True)
class PrefixFetch:
    """A transfer of cached tokens from another endpoint, ``source_id``.

    ``transfer_seconds`` is the transfer time by the bandwidth of the links;
    ``is_cross_region`` says whether the source is in another region.
    """

    address: str
    tokens: int
    transfer_seconds: float
    source_id: str = ""
    is_cross_region: bool = False


def transfer_seconds(backend: Backend, tokens: int) -> float:
    """Return the transfer time of tokens over the link of an endpoint.

    Zero if the bandwidth of the backend's engine is not known.
    """
    engine = backend.engine
    if engine is None or not tokens or not engine.link_megabits:
        return 0.0
    bits = tokens * engine.bytes_a_token * _BITS_PER_BYTE
    return bits / (engine.link_megabits * _BITS_PER_MEGABIT)

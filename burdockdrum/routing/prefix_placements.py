"""A bounded record of which holders were sent which prompt prefixes."""

import collections
from collections.abc import Sequence

# About 200 bytes each: at most 8 MB.
MAX_PREFIXES = 40_000
# Holders kept per prefix, most recent first.
MAX_HOLDERS = 3


class PrefixPlacements:
    """An LRU map of prefixes to the holders that were last sent them.

    It is only a hint: a holder may have evicted the prefix since, and then
    has to process it again.
    """

    def __init__(self, *, capacity: int = MAX_PREFIXES) -> None:
        """Create an empty memory."""
        self._capacity = capacity
        self._holders_by_prefix: collections.OrderedDict[
            int, tuple[str, ...]
        ] = collections.OrderedDict()

    def remember(self, hashes: Sequence[int], holder: str) -> None:
        """Record that a prompt with these prefixes is sent to a holder."""
        for prefix in hashes:
            known = self._holders_by_prefix.get(prefix, ())
            others = tuple(name for name in known if name != holder)
            kept = others[: MAX_HOLDERS - 1]
            self._holders_by_prefix[prefix] = (holder, *kept)
            self._holders_by_prefix.move_to_end(prefix)
        while len(self._holders_by_prefix) > self._capacity:
            self._holders_by_prefix.popitem(last=False)

    def forget(self, prefix: int, holder: str) -> None:
        """Record that a holder evicted a prefix."""
        known = self._holders_by_prefix.get(prefix, ())
        if holder in known:
            left = tuple(name for name in known if name != holder)
            self._holders_by_prefix[prefix] = left

    def depths(self, hashes: Sequence[int]) -> dict[str, int]:
        """Return how many leading blocks each holder may have cached."""
        depths: dict[str, int] = {}
        for index, prefix in enumerate(hashes):
            holders = self._holders_by_prefix.get(prefix)
            if holders is None:
                break
            for holder in holders:
                depths[holder] = index + 1
        return depths

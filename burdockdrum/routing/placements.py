"""Where prompt prefixes were sent, in bounded memory."""

import collections
from collections.abc import Sequence

# About 200 bytes each: some 8 MB of a VM's 64 at the most.
MAX_PREFIXES = 40_000
# Holders remembered for one prefix, the latest first.
MAX_HOLDERS = 3


class PlacementMemory:
    """The holders that were last sent each prefix.

    It is a hint: the holder may have dropped the prefix since, which costs
    the time to read it again.
    """

    def __init__(self, *, capacity: int = MAX_PREFIXES) -> None:
        """Create an empty memory."""
        self._capacity = capacity
        self._holders_by_prefix: collections.OrderedDict[
            int, tuple[str, ...]
        ] = collections.OrderedDict()

    def remember(self, hashes: Sequence[int], holder: str) -> None:
        """Note that a holder reads the prefixes of a prompt now."""
        for prefix in hashes:
            known = self._holders_by_prefix.get(prefix, ())
            others = tuple(name for name in known if name != holder)
            kept = others[: MAX_HOLDERS - 1]
            self._holders_by_prefix[prefix] = (holder, *kept)
            self._holders_by_prefix.move_to_end(prefix)
        while len(self._holders_by_prefix) > self._capacity:
            self._holders_by_prefix.popitem(last=False)

    def forget(self, prefix: int, holder: str) -> None:
        """Note that a holder dropped a prefix."""
        known = self._holders_by_prefix.get(prefix, ())
        if holder in known:
            left = tuple(name for name in known if name != holder)
            self._holders_by_prefix[prefix] = left

    def depths(self, hashes: Sequence[int]) -> dict[str, int]:
        """Return how many leading blocks each holder may have."""
        depths: dict[str, int] = {}
        for index, prefix in enumerate(hashes):
            holders = self._holders_by_prefix.get(prefix)
            if holders is None:
                break
            for holder in holders:
                depths[holder] = index + 1
        return depths

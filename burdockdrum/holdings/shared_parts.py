"""The set of prompt parts that several prompts share.

Endpoints report every part that they cache, and most of these belong to a
single request and never recur. Entries publish only shared parts: those that
a prompt had in front of its last part.
"""

import collections

# Ten times the shared parts of a busy service.
MAX_PARTS = 20_000


class SharedParts:
    """The ids of the most recently used shared parts."""

    def __init__(self) -> None:
        """Create an empty set."""
        self._seen: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def __contains__(self, part_id: object) -> bool:
        """Return whether a part is known to be shared."""
        return part_id in self._seen

    def add(self, part_id: str) -> bool:
        """Add a shared part; return whether it was unknown."""
        if part_id in self._seen:
            self._seen.move_to_end(part_id)
            return False
        self._seen[part_id] = None
        if len(self._seen) > MAX_PARTS:
            self._seen.popitem(last=False)
        return True

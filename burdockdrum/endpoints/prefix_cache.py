"""The cached prompt prefixes of an endpoint, as reported by its engine.

Cache events are delayed and may be lost, so the content is only a hint. An
error costs the time to process a prompt again, but never a wrong answer.
"""

import collections
from collections.abc import Iterable

from burdockdrum.endpoints.announcements import Report

# About 100 bytes each: 160 endpoints need at most 4 MB.
MAX_PREFIXES_PER_ENDPOINT = 256
_HASH_BITS = 32
_MASK = (1 << _HASH_BITS) - 1


def truncate_hash(prefix: int) -> int:
    """Return the low bits of a hash, which are stored and published."""
    return prefix & _MASK


class PrefixCache:
    """The cached prefixes of one endpoint; the oldest are evicted first."""

    def __init__(self) -> None:
        """Create an empty cache."""
        self._prefixes: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._sequence = 0
        self._in_sync = True
        self._unpublished: list[int] = []

    def __len__(self) -> int:
        """Return the number of prefixes."""
        return len(self._prefixes)

    def apply_report(self, report: Report) -> bool:
        """Apply the cache events of a report.

        :returns: whether events were lost and a full resync is needed
        """
        if report.cache_complete:
            self._prefixes.clear()
            self._in_sync = True
        elif report.cache_sequence:
            first = report.cache_sequence - len(report.cache_events)
            self._in_sync = self._in_sync and first == self._sequence
        if report.cache_sequence:
            self._sequence = report.cache_sequence
        for event in report.cache_events:
            prefix = truncate_hash(event.prefix)
            if event.stored:
                self.add([prefix])
                self._unpublished.append(prefix)
            else:
                self._prefixes.pop(prefix, None)
        return not self._in_sync

    def add(self, prefixes: Iterable[int]) -> None:
        """Add cached prefixes, whose hashes are already truncated."""
        for prefix in prefixes:
            self._prefixes[prefix] = None
            self._prefixes.move_to_end(prefix)
        while len(self._prefixes) > MAX_PREFIXES_PER_ENDPOINT:
            self._prefixes.popitem(last=False)

    def pop_unpublished(self, limit: int) -> list[int]:
        """Return and clear the latest prefixes that were not yet published."""
        fresh = self._unpublished[-limit:] if limit else []
        self._unpublished.clear()
        return fresh

    def count_leading(self, prefixes: Iterable[int]) -> int:
        """Return the number of leading blocks up to the longest cached prefix.

        :param prefixes: full hashes of a prompt's prefixes, shortest first
        """
        longest = 0
        for position, prefix in enumerate(prefixes, start=1):
            if truncate_hash(prefix) in self._prefixes:
                longest = position
        return longest

"""Which prompt prefixes an endpoint's engine holds, as far as is known.

The events come late and with gaps, so this is a hint only: a wrong one
costs the time to read a prompt again, never a wrong answer.
"""

import collections
from collections.abc import Iterable

from burdockdrum.endpoints.announcements import Report

# About 100 bytes each: 160 endpoints take 4 MB at most.
PREFIXES_AN_ENDPOINT = 256
_HASH_BITS = 32
_MASK = (1 << _HASH_BITS) - 1


def shorten(prefix: int) -> int:
    """Return the part of a hash that is kept and sent."""
    return prefix & _MASK


class PrefixCache:
    """The prefixes of one endpoint; those stored longest ago go first."""

    def __init__(self) -> None:
        """Create an empty set."""
        self._prefixes: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._sequence = 0
        self._in_step = True
        self._fresh: list[int] = []

    def __len__(self) -> int:
        """Return the number of prefixes."""
        return len(self._prefixes)

    def take_report(self, report: Report) -> bool:
        """Take in the events of a report.

        :returns: whether some were missed and all have to be sent again
        """
        if report.cache_complete:
            self._prefixes.clear()
            self._in_step = True
        elif report.cache_sequence:
            first = report.cache_sequence - len(report.cache_events)
            self._in_step = self._in_step and first == self._sequence
        if report.cache_sequence:
            self._sequence = report.cache_sequence
        for event in report.cache_events:
            prefix = shorten(event.prefix)
            if event.stored:
                self.add([prefix])
                self._fresh.append(prefix)
            else:
                self._prefixes.pop(prefix, None)
        return not self._in_step

    def add(self, prefixes: Iterable[int]) -> None:
        """Take in prefixes, already shortened, that were stored."""
        for prefix in prefixes:
            self._prefixes[prefix] = None
            self._prefixes.move_to_end(prefix)
        while len(self._prefixes) > PREFIXES_AN_ENDPOINT:
            self._prefixes.popitem(last=False)

    def take_fresh(self, limit: int) -> list[int]:
        """Return the latest prefixes not yet passed on, and forget them."""
        fresh = self._fresh[-limit:] if limit else []
        self._fresh.clear()
        return fresh

    def count_leading(self, prefixes: Iterable[int]) -> int:
        """Return how many of a prompt's growing prefixes are held.

        :param prefixes: whole hashes, the shortest prefix first
        """
        longest = 0
        for position, prefix in enumerate(prefixes, start=1):
            if shorten(prefix) in self._prefixes:
                longest = position
        return longest

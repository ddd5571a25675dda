"""Estimation of an endpoint's load from its delayed reports."""

import collections
import math

# Must exceed the registry's lease, so that every usable report is covered.
HISTORY_SECONDS = 10.0


class LocalLoad:
    """This VM's requests in flight at one endpoint, with their history.

    A report includes requests of this VM that have ended since and misses
    those begun since. The load of other VMs is the reported load minus this
    VM's requests at the time of the report.
    """

    def __init__(self) -> None:
        """Create an empty history."""
        self.count = 0
        self._changes: collections.deque[tuple[float, int]] = (
            collections.deque([(-math.inf, 0)])
        )

    def change(self, amount: int, now: float) -> None:
        """Add requests that begin, or, with a negative amount, end."""
        self.count += amount
        self._changes.append((now, self.count))
        limit = now - HISTORY_SECONDS
        while len(self._changes) > 1 and self._changes[1][0] <= limit:
            self._changes.popleft()

    def count_at(self, moment: float) -> int:
        """Return the requests in flight at a time within the history."""
        for changed_at, count in reversed(self._changes):
            if changed_at <= moment:
                return count
        return self._changes[0][1]

    def estimate_others(self, reported: int, reported_at: float) -> int:
        """Return the requests of other VMs at the time of a report."""
        return max(0, reported - self.count_at(reported_at))

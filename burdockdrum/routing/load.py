"""How loaded an endpoint is, from own work and late reports."""

import collections
import math

# Reports older than this are no use; the registry's lease is shorter.
HISTORY_SECONDS = 10.0


class OwnLoad:
    """This VM's requests in flight at one endpoint, with their history.

    A report is late: it counts some of the own requests that have ended
    since and misses those begun since. With the history, what others have
    there is the report less the own requests of that time, and the own
    part is exact.
    """

    def __init__(self) -> None:
        """Create an empty history."""
        self.count = 0
        self._changes: collections.deque[tuple[float, int]] = (
            collections.deque([(-math.inf, 0)])
        )

    def change(self, amount: int, now: float) -> None:
        """Count requests that begin or, if negative, end."""
        self.count += amount
        self._changes.append((now, self.count))
        limit = now - HISTORY_SECONDS
        while len(self._changes) > 1 and self._changes[1][0] <= limit:
            self._changes.popleft()

    def count_at(self, moment: float) -> int:
        """Return the requests in flight at a moment of the recent past."""
        for changed_at, count in reversed(self._changes):
            if changed_at <= moment:
                return count
        return self._changes[0][1]

    def estimate_others(self, reported: int, reported_at: float) -> int:
        """Return others' requests at the time of a report."""
        return max(0, reported - self.count_at(reported_at))

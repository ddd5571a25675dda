"""Suspension of orders after a sudden loss of many endpoints."""

import collections

COUNT_WINDOW_SECONDS = 60.0
FREEZE_DURATION_SECONDS = 60.0
FREEZE_FRACTION = 0.5
MIN_ENDPOINTS = 4


class Freeze:
    """Suspends orders when the number of live endpoints drops suddenly.

    The cause is then a network fault or an incomplete view of this VM, and
    reloading the remaining endpoints would reduce the capacity further.
    """

    def __init__(self) -> None:
        """Create an inactive freeze."""
        self._counts: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._frozen_until = float("-inf")

    def record_count(self, count: int, now: float) -> bool:
        """Record the number of live endpoints; return whether to freeze."""
        while self._counts and now - self._counts[0][0] > COUNT_WINDOW_SECONDS:
            self._counts.popleft()
        highest = max((seen for _, seen in self._counts), default=0)
        if highest >= MIN_ENDPOINTS and count <= highest * FREEZE_FRACTION:
            self._frozen_until = now + FREEZE_DURATION_SECONDS
        self._counts.append((now, count))
        return now < self._frozen_until

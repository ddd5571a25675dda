"""An entry VM's share of the burst of the retry budget.

Shares come and go with entry VMs. An entry uses the smallest share that it
has held during a whole window. So what all entries send in a window is at
most the sum of their shares at the window's start, even if entries restart,
replace each other or divide by different numbers meanwhile.
"""

import collections
from collections.abc import Callable

from burdockdrum.ports import Clock


class BurstShare:
    """The smallest share that was held during a window."""

    def __init__(
        self,
        *,
        clock: Clock,
        window: float,
        read_share: Callable[[], float | None],
    ) -> None:
        """Create it without a share.

        :param window: in seconds
        :param read_share: returns the retries that this entry may send in a
            window at present, None if it holds no share
        """
        self._clock = clock
        self._window = window
        self._read_share = read_share
        # Changes of the share with their times, the first one at or before
        # the start of the window.
        self._changes: collections.deque[tuple[float, float]] = (
            collections.deque([(clock.monotonic(), 0.0)])
        )

    def read(self) -> float:
        """Return how many retries the burst allows in a window."""
        now = self._clock.monotonic()
        share = self._read_share() or 0.0
        if share != self._changes[-1][1]:
            self._changes.append((now, share))
        while len(self._changes) > 1 and (
            self._changes[1][0] <= now - self._window
        ):
            self._changes.popleft()
        return min(share for _, share in self._changes)

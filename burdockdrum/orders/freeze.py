"""Notice that many endpoints vanished at once, and hold still."""

import collections

WINDOW_SECONDS = 60.0
# After the last drop, so long without an order.
FREEZE_SECONDS = 60.0
DROP_SHARE = 0.5
MIN_ENDPOINTS = 4


class Freeze:
    """Half of the endpoints gone within a minute is a fault, not a wish.

    A switch or a cut took them, or this VM's own view is wrong. To load
    and move what is left would make a fault of the network into one of the
    service.
    """

    def __init__(self) -> None:
        """Create a freeze that is not on."""
        self._counts: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._until = float("-inf")

    def note(self, count: int, now: float) -> bool:
        """Take in how many endpoints live; say whether orders must wait."""
        while self._counts and now - self._counts[0][0] > WINDOW_SECONDS:
            self._counts.popleft()
        most = max((seen for _, seen in self._counts), default=0)
        if most >= MIN_ENDPOINTS and count <= most * DROP_SHARE:
            self._until = now + FREEZE_SECONDS
        self._counts.append((now, count))
        return now < self._until

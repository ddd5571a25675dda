"""How fast the line of a service moves, as observed.

The capacity that a line gets depends on more urgent requests, on the lines of
other entries and on other regions; what was sent lately covers all of these.
"""

import math

# Decay time of observations.
WINDOW_SECONDS = 4.0
# Seconds of observation after which the observed speed counts as much as the
# one that is assumed before.
HALF_TRUST_SECONDS = 0.25


class LineThroughput:
    """The seconds of work that leave a line in a second."""

    def __init__(self) -> None:
        """Start without observations."""
        self._work = 0.0
        self._busy_seconds = 0.0
        self._updated_at = 0.0

    def record(self, now: float, *, work: float, was_waiting: bool) -> None:
        """Record the time since the last call.

        :param work: what was sent at its end, in seconds of an engine
        :param was_waiting: whether requests waited during that time
        """
        seconds = max(0.0, now - self._updated_at)
        decay = math.exp(-seconds / WINDOW_SECONDS)
        self._updated_at = now
        self._work = self._work * decay + work
        self._busy_seconds *= decay
        if was_waiting:
            self._busy_seconds += (1 - decay) * WINDOW_SECONDS

    def per_second(self, assumed: float) -> float:
        """Return the speed.

        :param assumed: the speed without observations
        """
        work = self._work + assumed * HALF_TRUST_SECONDS
        return work / (self._busy_seconds + HALF_TRUST_SECONDS)

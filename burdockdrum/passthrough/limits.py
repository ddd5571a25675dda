"""Limits that hold over all entries without asking them.

Each entry keeps to a share that is right however many others there are: it
counts those that may be alive, and counts them high.
"""

import collections
import random

from burdockdrum.ports import Clock

# Shares leave a part of a limit unused: entries count each other
# differently while some start or are cut off.
SAFE_PART = 0.7
# With so many entries one request of each at once is harmless still: what
# a cold endpoint bears in a second is half its rate more, and three.
MAX_TOGETHER = 4
# Requests a second; a rate of 0 would close an endpoint for good.
MIN_RATE = 0.01
MAX_KEPT = 4096


class RetryBudget:
    """How many requests may be sent to a service once more.

    Where each failure is tried again, load multiplies. Retries are kept to a
    part of the requests in a sliding window, and a burst that all entries
    share.
    """

    def __init__(
        self, *, clock: Clock, ratio: float, burst: float, window: float
    ) -> None:
        """Create a budget.

        :param ratio: retries a request, over all entries
        :param burst: further retries in a window, over all entries
        :param window: seconds
        """
        self.entries = 1
        self._clock = clock
        self._ratio = ratio
        self._burst = burst
        self._window = window
        self._firsts = _Window(clock=clock, seconds=window)
        self._retries = _Window(clock=clock, seconds=window)

    def note_request(self, service: str) -> None:
        """Count a request's first attempt."""
        self._firsts.add(service)

    def has(self, service: str) -> bool:
        """Say whether the budget has a retry."""
        share = self._burst * SAFE_PART / max(1, self.entries)
        earned = self._firsts.count(service) * self._ratio * SAFE_PART
        return self._retries.count(service) + 1 <= share + earned

    def take(self, service: str) -> bool:
        """Take one retry, if the budget has it."""
        if not self.has(service):
            return False
        self._retries.add(service)
        return True


class _Window:
    """Counts by key in a sliding window."""

    def __init__(self, *, clock: Clock, seconds: float) -> None:
        self._clock = clock
        self._seconds = seconds
        self._times_by_key: dict[str, collections.deque[float]] = {}

    def add(self, key: str) -> None:
        times = self._times_by_key.setdefault(key, collections.deque())
        times.append(self._clock.monotonic())

    def count(self, key: str) -> int:
        times = self._times_by_key.get(key)
        if times is None:
            return 0
        oldest = self._clock.monotonic() - self._seconds
        while times and times[0] < oldest:
            times.popleft()
        return len(times)


class ColdGate:
    """How fast this entry may send to an endpoint that is cold.

    Each entry sends one request and then waits for its part of the rate; so in
    any second all of them send one each and the rate, which few entries may.
    Where there are more, each begins at a random moment within its pause, and
    the rate alone is sent.
    """

    def __init__(self, *, clock: Clock, rng: random.Random) -> None:
        """Create a gate that has let nothing pass."""
        self._clock = clock
        self._rng = rng
        self._next_at_by_id: dict[str, float] = {}

    def is_open(self, endpoint_id: str, rate: float, entries: int) -> bool:
        """Say whether a request may be sent now.

        :param rate: requests a second from all entries
        :param entries: how many entries may send to the endpoint
        """
        now = self._clock.monotonic()
        next_at = self._next_at_by_id.get(endpoint_id)
        if next_at is None:
            next_at = now
            if entries > MAX_TOGETHER:
                next_at += self._rng.uniform(0, _pause(rate, entries))
            self._next_at_by_id[endpoint_id] = next_at
        return now >= next_at

    def pass_one(self, endpoint_id: str, rate: float, entries: int) -> None:
        """Count a request."""
        now = self._clock.monotonic()
        self._next_at_by_id[endpoint_id] = now + _pause(rate, entries)
        if len(self._next_at_by_id) > MAX_KEPT:
            self._next_at_by_id = {
                name: at
                for name, at in self._next_at_by_id.items()
                if at > now
            }


def _pause(rate: float, entries: int) -> float:
    return max(1, entries) / max(rate * SAFE_PART, MIN_RATE)

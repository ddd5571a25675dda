"""Requests that were refused and told when to come back.

A caller that repeats at once would otherwise have more chances than one that
waits as told. Several callers may send requests that look the same, so it is
counted how many were told a time, and as many may come at it. A request that
comes too early changes no time that another one was told.
"""

import bisect
from collections.abc import Hashable
from dataclasses import dataclass
from dataclasses import field

# A request may come back so much sooner than it was told, unless one like it
# has come sooner still.
EARLY_SECONDS = 0.2
# Retry-After has two decimals.
ROUNDING_SECONDS = 0.01
MAX_REMEMBERED = 2_000
# Of the same request; more callers than that wait for the last of them.
MAX_TIMES = 64


@dataclass(kw_only=True)
class _Returns:
    """When requests with the same key may come back, the soonest first."""

    times: list[float] = field(default_factory=list)
    came_early: bool = False


class ReturnTimes:
    """The times that refused requests were told; bounded."""

    def __init__(self) -> None:
        """Start without refused requests."""
        self._returns_by_key: dict[Hashable, _Returns] = {}

    def remember(
        self, key: Hashable | None, *, seconds: float, now: float
    ) -> None:
        """Remember what a refused request was told.

        :param key: what it shows again when it comes back, None if nothing
        :param seconds: after which it may come back
        """
        if key is None:
            return
        returns = self._returns_by_key.get(key)
        if returns is None:
            if len(self._returns_by_key) >= MAX_REMEMBERED:
                self._forget_past(now)
            if len(self._returns_by_key) >= MAX_REMEMBERED:
                return
            returns = self._returns_by_key[key] = _Returns()
        if len(returns.times) < MAX_TIMES:
            bisect.insort(returns.times, now + seconds)

    def seconds_too_early(self, key: Hashable | None, now: float) -> float:
        """Return how long a request has to stay away, 0 if it may come.

        One that may come uses up the soonest of the times.
        """
        returns = self._returns_by_key.get(key)
        if returns is None:
            return 0.0
        tolerance = ROUNDING_SECONDS if returns.came_early else EARLY_SECONDS
        soonest = returns.times[0]
        if now < soonest - tolerance:
            returns.came_early = True
            return soonest - now
        returns.times.pop(0)
        returns.came_early = False
        if not returns.times:
            del self._returns_by_key[key]
        return 0.0

    def _forget_past(self, now: float) -> None:
        self._returns_by_key = {
            key: returns
            for key, returns in self._returns_by_key.items()
            if returns.times[-1] > now
        }

"""Requests that were refused and told when to come back.

A caller that repeats at once would otherwise have more chances than one that
waits as told.
"""

from collections.abc import Hashable
from dataclasses import dataclass
from dataclasses import replace

# A request may come back so much sooner than it was told.
EARLY_SECONDS = 0.2
MAX_REMEMBERED = 2_000


@dataclass(frozen=True, kw_only=True)
class _Return:
    """When a request may come back, and the seconds that it was told."""

    at: float
    seconds: float


class ReturnTimes:
    """The times that refused requests were told; bounded."""

    def __init__(self) -> None:
        """Start without refused requests."""
        self._returns_by_key: dict[Hashable, _Return] = {}

    def remember(
        self, key: Hashable | None, *, seconds: float, now: float
    ) -> None:
        """Remember what a refused request was told.

        :param key: what it shows again when it comes back, None if nothing
        :param seconds: after which it may come back
        """
        if key is None:
            return
        if len(self._returns_by_key) >= MAX_REMEMBERED:
            self._returns_by_key = {
                other: known
                for other, known in self._returns_by_key.items()
                if known.at > now
            }
        if len(self._returns_by_key) < MAX_REMEMBERED:
            self._returns_by_key[key] = _Return(
                at=now + seconds, seconds=seconds
            )

    def seconds_too_early(self, key: Hashable | None, now: float) -> float:
        """Return how long a request has to stay away, 0 if it may come.

        One that comes too early has to wait from then on as long as it was
        told at first. It is forgotten when it comes at its time.
        """
        known = self._returns_by_key.get(key)
        if known is None:
            return 0.0
        if now < known.at - EARLY_SECONDS:
            self._returns_by_key[key] = replace(known, at=now + known.seconds)
            return known.seconds
        del self._returns_by_key[key]
        return 0.0

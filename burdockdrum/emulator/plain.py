"""A plain service that counts each run by its idempotency key."""

import collections

import msgspec

from burdockdrum.ports import Clock


class PlainService:
    """Rosters, section status and bookings, without the business."""

    def __init__(self, *, clock: Clock, seconds: float = 0.002) -> None:
        """Create a service that takes so many seconds a call."""
        self._clock = clock
        self._seconds = seconds
        self.runs_by_key: collections.Counter[str] = collections.Counter()

    async def run(self, method: str, path: str, key: str | None) -> bytes:
        """Carry out a call and return its JSON answer."""
        if key is not None:
            self.runs_by_key[key] += 1
        await self._clock.sleep(self._seconds)
        return msgspec.json.encode(
            {
                "method": method,
                "path": path,
                "key": key,
                "run": self.runs_by_key[key] if key is not None else 0,
            }
        )

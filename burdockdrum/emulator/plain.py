"""An emulated plain service that counts runs by idempotency key."""

import collections

import msgspec

from burdockdrum.ports import Clock


class PlainService:
    """A plain service whose responses describe the request."""

    def __init__(self, *, clock: Clock, seconds: float = 0.002) -> None:
        """Create a service whose calls take ``seconds`` each."""
        self._clock = clock
        self._seconds = seconds
        self.runs_by_key: collections.Counter[str] = collections.Counter()

    async def run(self, method: str, path: str, key: str | None) -> bytes:
        """Execute a call and return its JSON response."""
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

"""The origins of streams that an entry keeps."""

from dataclasses import dataclass

from burdockdrum.ports import Clock
from burdockdrum.streams.messages import OriginRecord
from burdockdrum.streams.origin import StreamOrigin

# A caller that takes up a stream does so within its deadline. The records of
# streams that last longer are renewed.
MEMORY_SECONDS = 60.0
# Beyond this number the oldest are dropped.
MAX_RECORDS = 50_000


@dataclass(frozen=True, kw_only=True)
class _Kept:
    origin: StreamOrigin
    kept_at: float


class OriginMemory:
    """Origins by the keys of their streams, the oldest first."""

    def __init__(self, *, clock: Clock) -> None:
        """Create an empty memory."""
        self._clock = clock
        self._kept_by_key: dict[bytes, _Kept] = {}

    def __len__(self) -> int:
        """Return the number of origins."""
        return len(self._kept_by_key)

    def keep(
        self, key: bytes, origin: StreamOrigin, *, age: float = 0.0
    ) -> None:
        """Keep an origin, instead of one that is older.

        :param age: seconds since it was known
        """
        kept_at = self._clock.monotonic() - age
        known = self._kept_by_key.pop(key, None)
        if known is not None and known.kept_at > kept_at:
            origin, kept_at = known.origin, known.kept_at
        self._kept_by_key[key] = _Kept(origin=origin, kept_at=kept_at)
        if len(self._kept_by_key) > MAX_RECORDS:
            del self._kept_by_key[next(iter(self._kept_by_key))]

    def find(self, key: bytes) -> OriginRecord | None:
        """Return an origin with its age, None if unknown."""
        kept = self._kept_by_key.get(key)
        if kept is None:
            return None
        return OriginRecord(
            key,
            kept.origin.service,
            kept.origin.software_version,
            self._clock.monotonic() - kept.kept_at,
        )

    def prune(self) -> None:
        """Drop origins that no caller asks for any more."""
        since = self._clock.monotonic() - MEMORY_SECONDS
        for key, kept in list(self._kept_by_key.items()):
            # Almost in this order; what a holder got late is dropped later.
            if kept.kept_at > since:
                break
            del self._kept_by_key[key]

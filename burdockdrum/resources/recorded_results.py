"""The results of recent changes, which make resending a change idempotent."""

from collections.abc import Iterable
import hashlib

import msgspec

# The results of about a day, at 150 bytes each in memory and in snapshots.
MAX_RECORDED_RESULTS = 10_000

_DIGEST_BYTES = 8


class RecordedResult(msgspec.Struct, frozen=True, kw_only=True):
    """The result of a change, without the resource.

    ``digest`` distinguishes a resent change from another one that has the
    same id.
    """

    change_id: str
    digest: bytes
    code: str
    revision: int
    message: str = ""


class RecordedResults:
    """The last ``MAX_RECORDED_RESULTS`` results by change id.

    Eviction is first in, first out and ignores lookups, so that all members
    of the replicated log evict the same results.
    """

    def __init__(self, results: Iterable[RecordedResult] = ()) -> None:
        """Initialize with results, oldest first."""
        self._results_by_change_id = {r.change_id: r for r in results}

    def find(self, change_id: str) -> RecordedResult | None:
        """Return the recorded result of a change, None if there is none."""
        return self._results_by_change_id.get(change_id)

    def add(self, result: RecordedResult) -> None:
        """Record a result, and evict the oldest one over the limit."""
        self._results_by_change_id[result.change_id] = result
        if len(self._results_by_change_id) > MAX_RECORDED_RESULTS:
            oldest = next(iter(self._results_by_change_id))
            del self._results_by_change_id[oldest]

    def as_list(self) -> list[RecordedResult]:
        """Return the results, oldest first."""
        return list(self._results_by_change_id.values())


def digest_change(change: msgspec.Struct) -> bytes:
    """Return the digest by which a resent change is recognized."""
    encoded = msgspec.msgpack.encode(change)
    return hashlib.blake2b(encoded, digest_size=_DIGEST_BYTES).digest()

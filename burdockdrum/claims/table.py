"""The bounded in-memory table of claims that a replica stores."""

import collections
from collections.abc import Iterator
import itertools
import sys

import msgspec

from burdockdrum.claims.messages import ClaimRecord

ClaimId = tuple[str, str]

MAX_CLAIMS = 40_000
MAX_ANSWER_BYTES = 16 * 1024
MAX_TOTAL_ANSWER_BYTES = 4 * 1024 * 1024


class ClaimTable:
    """Claims by client and key, oldest first.

    When memory runs short, only stored answers are evicted. Evicting a claim
    would let its request run again.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self._records_by_id: dict[ClaimId, ClaimRecord] = {}
        self._removed = 0
        self._answers = collections.OrderedDict[ClaimId, int]()
        self._answers_bytes = 0

    def __len__(self) -> int:
        return len(self._records_by_id)

    def get(self, claim_id: ClaimId) -> ClaimRecord | None:
        """Return a claim, or None if there is none or it was released."""
        return self._records_by_id.get(claim_id)

    def is_full(self) -> bool:
        """Return whether the limit on the number of claims is reached."""
        return len(self._records_by_id) >= MAX_CLAIMS

    def put(self, record: ClaimRecord) -> None:
        """Add or replace a claim; an oversized answer is not stored."""
        # All claims of a client share one string.
        client_id = sys.intern(record.client_id)
        record = msgspec.structs.replace(record, client_id=client_id)
        claim_id = record.claim_id
        self._remove_answer(claim_id)
        size = len(record.body or b"")
        if size > MAX_ANSWER_BYTES:
            record = msgspec.structs.replace(record, body=None)
            size = 0
        self._records_by_id[claim_id] = record
        if size:
            self._answers[claim_id] = size
            self._answers_bytes += size
            self._evict_answers()

    def remove(self, claim_id: ClaimId) -> None:
        """Remove a claim."""
        self._remove_answer(claim_id)
        if self._records_by_id.pop(claim_id, None) is not None:
            self._removed += 1

    def expire(self, before: float) -> list[ClaimId]:
        """Remove claims granted before a wall time; return their ids."""
        expired = []
        for claim_id, record in self._records_by_id.items():
            if record.taken_at >= before:
                break
            expired.append(claim_id)
        for claim_id in expired:
            self.remove(claim_id)
        return expired

    def records(self) -> Iterator[ClaimRecord]:
        """Yield the claims, oldest first."""
        return iter(list(self._records_by_id.values()))

    def page(
        self, after: int, count: int
    ) -> tuple[list[ClaimRecord], int | None]:
        """Return the claims after a position, and the next position.

        The next position is None after the last page. Positions count
        removed claims too, so removals between two pages only make the pages
        overlap; new claims appear on the last page.
        """
        start = max(0, after - self._removed)
        kept = itertools.islice(
            self._records_by_id.values(), start, start + count
        )
        records = list(kept)
        if len(records) < count:
            return records, None
        return records, self._removed + start + count

    def _evict_answers(self) -> None:
        while self._answers_bytes > MAX_TOTAL_ANSWER_BYTES:
            oldest = next(iter(self._answers))
            self._remove_answer(oldest)
            record = self._records_by_id[oldest]
            self._records_by_id[oldest] = msgspec.structs.replace(
                record, body=None
            )

    def _remove_answer(self, claim_id: ClaimId) -> None:
        self._answers_bytes -= self._answers.pop(claim_id, 0)

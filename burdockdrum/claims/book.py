"""The claims that a keeper holds, within bounds."""

import collections
from collections.abc import Iterator
import itertools
import sys

import msgspec

from burdockdrum.claims.messages import ClaimRecord

ClaimId = tuple[str, str]

MAX_CLAIMS = 40_000
MAX_ANSWER_BYTES = 16 * 1024
MAX_ANSWERS_BYTES = 4 * 1024 * 1024


class ClaimBook:
    """Claims by client and key, oldest first.

    A claim is never dropped for want of room: its request could run again.
    Only its answer is.
    """

    def __init__(self) -> None:
        """Create an empty book."""
        self._records_by_id: dict[ClaimId, ClaimRecord] = {}
        self._removed = 0
        self._answers = collections.OrderedDict[ClaimId, int]()
        self._answers_bytes = 0

    def __len__(self) -> int:
        return len(self._records_by_id)

    def get(self, claim_id: ClaimId) -> ClaimRecord | None:
        """Return a claim, or None if it was never taken or was given back."""
        return self._records_by_id.get(claim_id)

    def is_full(self) -> bool:
        """Say whether no further claim fits."""
        return len(self._records_by_id) >= MAX_CLAIMS

    def put(self, record: ClaimRecord) -> None:
        """Add a claim, or replace what is known of it."""
        # One string for all claims of a client.
        client_id = sys.intern(record.client_id)
        record = msgspec.structs.replace(record, client_id=client_id)
        claim_id = record.claim_id
        self._forget_answer(claim_id)
        size = len(record.body or b"")
        if size > MAX_ANSWER_BYTES:
            record = msgspec.structs.replace(record, body=None)
            size = 0
        self._records_by_id[claim_id] = record
        if size:
            self._answers[claim_id] = size
            self._answers_bytes += size
            self._make_room()

    def remove(self, claim_id: ClaimId) -> None:
        """Forget a claim."""
        self._forget_answer(claim_id)
        if self._records_by_id.pop(claim_id, None) is not None:
            self._removed += 1

    def expire(self, before: float) -> list[ClaimId]:
        """Forget the claims taken before a wall time; return which."""
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
        """Return claims behind a place, and the place of the last one.

        A place counts the claims before it, removed ones too. What is
        removed while pages are read only makes them overlap; what is added
        is on the last one.
        """
        start = max(0, after - self._removed)
        kept = itertools.islice(
            self._records_by_id.values(), start, start + count
        )
        records = list(kept)
        if len(records) < count:
            return records, None
        return records, self._removed + start + count

    def _make_room(self) -> None:
        while self._answers_bytes > MAX_ANSWERS_BYTES:
            oldest = next(iter(self._answers))
            self._forget_answer(oldest)
            record = self._records_by_id[oldest]
            self._records_by_id[oldest] = msgspec.structs.replace(
                record, body=None
            )

    def _forget_answer(self, claim_id: ClaimId) -> None:
        self._answers_bytes -= self._answers.pop(claim_id, 0)

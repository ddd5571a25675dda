"""Conflicting claims on one key, of which one may have been granted.

A replica that lost its votes may recover from others that voted for different
owners of a key. Any one of these may be running, also after another released
its claim. So the replica stores all of them and grants no vote until only one
is left.
"""

from burdockdrum.claims.messages import ClaimRecord
from burdockdrum.claims.table import ClaimId


class ConflictingClaims:
    """Claims by id that conflict with the one in the claim table."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self._records_by_id: dict[ClaimId, list[ClaimRecord]] = {}

    def get(self, claim_id: ClaimId) -> list[ClaimRecord]:
        """Return the conflicting claims on a key."""
        return self._records_by_id.get(claim_id, [])

    def add(self, record: ClaimRecord) -> bool:
        """Add a claim unless its owner has one already.

        :returns: whether it was added
        """
        known = self._records_by_id.setdefault(record.claim_id, [])
        if any(other.owner == record.owner for other in known):
            return False
        known.append(record)
        return True

    def pop(self, claim_id: ClaimId, owner: str) -> ClaimRecord | None:
        """Remove and return an owner's claim, or None if there is none."""
        for record in self.get(claim_id):
            if record.owner == owner:
                self._remove(record)
                return record
        return None

    def pop_any(self, claim_id: ClaimId) -> ClaimRecord | None:
        """Remove and return any claim on a key, or None if there is none."""
        for record in self.get(claim_id):
            self._remove(record)
            return record
        return None

    def clear(self, claim_id: ClaimId) -> None:
        """Remove the conflicting claims on a key."""
        self._records_by_id.pop(claim_id, None)

    def _remove(self, record: ClaimRecord) -> None:
        remaining = self._records_by_id[record.claim_id]
        remaining.remove(record)
        if not remaining:
            del self._records_by_id[record.claim_id]

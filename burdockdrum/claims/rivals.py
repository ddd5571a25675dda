"""Claims of one key by several owners, of which one may have been granted.

A keeper that has forgotten its votes may recover from others that voted for
different owners of a key. One of these may run, whichever gives its claim
back. So the keeper holds all of them, and votes for nobody until only one is
left.
"""

from burdockdrum.claims.book import ClaimId
from burdockdrum.claims.messages import ClaimRecord


class Rivals:
    """The further claims by id, beside the one that the book holds."""

    def __init__(self) -> None:
        """Know of none."""
        self._records_by_id: dict[ClaimId, list[ClaimRecord]] = {}

    def of(self, claim_id: ClaimId) -> list[ClaimRecord]:
        """Return the further claims of a key."""
        return self._records_by_id.get(claim_id, [])

    def add(self, record: ClaimRecord) -> bool:
        """Add a claim, unless its owner has one here already.

        :returns: whether it was added
        """
        known = self._records_by_id.setdefault(record.claim_id, [])
        if any(rival.owner == record.owner for rival in known):
            return False
        known.append(record)
        return True

    def take(self, claim_id: ClaimId, owner: str) -> ClaimRecord | None:
        """Remove and return an owner's claim, None if it has none here."""
        for rival in self.of(claim_id):
            if rival.owner == owner:
                self._remove(rival)
                return rival
        return None

    def take_any(self, claim_id: ClaimId) -> ClaimRecord | None:
        """Remove and return one of the claims of a key, None without one."""
        for rival in self.of(claim_id):
            self._remove(rival)
            return rival
        return None

    def clear(self, claim_id: ClaimId) -> None:
        """Forget the further claims of a key that has been decided."""
        self._records_by_id.pop(claim_id, None)

    def _remove(self, rival: ClaimRecord) -> None:
        left = self._records_by_id[rival.claim_id]
        left.remove(rival)
        if not left:
            del self._records_by_id[rival.claim_id]

"""How many attempts one request may still begin, and who has paid for them."""

from typing import Any

from burdockdrum.attempts import Attempt
from burdockdrum.requests.attempts import Target
from burdockdrum.requests.budget import RetryBudget

# Attempts at one request by one entry VM, including the first.
MAX_ATTEMPTS = 4


class RetryAllowance:
    """The attempts that a request has begun, and its grant of a retry.

    ``counted`` are those that have ended or stalled.
    """

    def __init__(self, *, budget: RetryBudget) -> None:
        """Create it for a request without attempts."""
        self.counted = 0
        # Whether an attempt has failed in a way that rules out others.
        self.is_final = False
        self._budget = budget
        # Whether a retry was withdrawn from the budget and not sent yet.
        self._has_grant = False

    @property
    def is_spent(self) -> bool:
        """Return whether no attempt may begin after those counted."""
        return self.is_final or self.counted >= MAX_ATTEMPTS

    def may_begin_beside(self, attempt: Attempt[Target, Any]) -> bool:
        """Return whether another attempt may begin while one still runs."""
        begun = self.counted + (not attempt.counted_runs)
        return not self.is_final and begun < MAX_ATTEMPTS

    def count(self, attempt: Attempt[Target, Any]) -> bool:
        """Count an attempt; return False if that was done before."""
        if attempt.counted_runs:
            return False
        attempt.counted_runs = 1
        self.counted += 1
        return True

    @property
    def can_acquire_grant(self) -> bool:
        """Return whether the budget pays for a retry now."""
        return self._has_grant or self._budget.can_withdraw

    def acquire_grant(self) -> bool:
        """Return whether the budget pays for a retry, and withdraw it."""
        if not self._has_grant:
            self._has_grant = self._budget.try_withdraw()
        return self._has_grant

    def use_grant(self) -> bool:
        """Use the grant for a request that is sent now.

        :returns: whether there was one
        """
        has_grant, self._has_grant = self._has_grant, False
        return has_grant

    def return_grant(self) -> None:
        """Let the next attempt use the grant of one that has not run."""
        self._has_grant = True

"""How many retries an entry VM may add to the load.

A retry budget as a share of the requests, after the Google SRE book's
chapter "Handling Overload": when endpoints fail together, retries without a
bound would multiply the load that made them fail.
"""

RETRY_SHARE = 0.1
# Retries that are allowed after a quiet time, when few requests earned any.
RESERVE = 10.0


class RetryBudget:
    """A bucket that each request fills by a share and a retry empties."""

    def __init__(
        self, *, share: float = RETRY_SHARE, reserve: float = RESERVE
    ) -> None:
        """Create a full bucket."""
        self._share = share
        self._reserve = reserve
        self._tokens = reserve

    def earn(self) -> None:
        """Note a request."""
        self._tokens = min(self._reserve, self._tokens + self._share)

    def spend(self) -> bool:
        """Take a retry, or say that there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

"""The retry budget of an entry VM.

Retries are limited to a fraction of the requests, after the Google SRE book's
chapter "Handling Overload": if many endpoints fail at once, unlimited retries
would multiply the load that made them fail.
"""

RETRY_RATIO = 0.1
# Capacity of the bucket: the burst of retries allowed at a low request rate.
MAX_TOKENS = 10.0


class RetryBudget:
    """A token bucket that is filled by requests and drained by retries."""

    def __init__(
        self, *, ratio: float = RETRY_RATIO, max_tokens: float = MAX_TOKENS
    ) -> None:
        """Create a full bucket."""
        self._ratio = ratio
        self._max_tokens = max_tokens
        self._tokens = max_tokens

    def deposit(self) -> None:
        """Add the tokens of one request."""
        self._tokens = min(self._max_tokens, self._tokens + self._ratio)

    @property
    def can_withdraw(self) -> bool:
        """Return whether the budget pays for a retry now."""
        return self._tokens >= 1.0

    def try_withdraw(self) -> bool:
        """Withdraw one retry; return False if the budget is exhausted."""
        if not self.can_withdraw:
            return False
        self._tokens -= 1.0
        return True

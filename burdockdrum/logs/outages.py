"""Log when an operation begins to fail, and when it works again.

An operation that is repeated until it succeeds would otherwise log a line at
each attempt.
"""

from collections.abc import Callable
import time

from burdockdrum.logs.decisions import log_decision
from burdockdrum.logs.decisions import log_failure


class OutageLog:
    """One line when an operation begins to fail, one when it works again."""

    def __init__(
        self,
        *,
        failed: str,
        recovered: str,
        read_time: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create it for an operation that has not failed.

        :param failed: the event of the first failure
        :param recovered: the event of the first success after it
        :param read_time: returns a monotonic time in seconds
        """
        self._failed = failed
        self._recovered = recovered
        self._read_time = read_time
        self._failed_at = 0.0
        self._attempts = 0
        # Why the last attempt failed; None if it succeeded.
        self.reason: str | None = None

    def fail(self, reason: str) -> bool:
        """Record a failed attempt.

        :returns: whether it is the first one
        """
        is_first = self.reason is None
        self.reason = reason
        self._attempts += 1
        if is_first:
            self._failed_at = self._read_time()
            log_failure(self._failed, reason=reason)
        return is_first

    def succeed(self) -> None:
        """Record a successful attempt."""
        if self.reason is None:
            return
        log_decision(
            self._recovered,
            seconds=round(self._read_time() - self._failed_at, 3),
            attempts=self._attempts,
        )
        self.reason = None
        self._attempts = 0

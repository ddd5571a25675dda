"""Log when a state begins, why, and when it ends.

A state that is found again and again, such as an operation that is repeated
until it succeeds, would otherwise log a line each time.
"""

from collections.abc import Callable
import time

from burdockdrum.logs.decisions import log_decision
from burdockdrum.logs.decisions import log_failure
from burdockdrum.logs.decisions import Value

# A reason that changes is logged again, but not more often than this.
_REPEAT_SECONDS = 5.0


class LoggedState:
    """Logs the begin of a state, changes of its reason, and its end.

    However often the state is reported, there is one line at its begin and
    one at its end, and between them one for each change of the fields, at
    most one in five seconds.
    """

    def __init__(
        self,
        *,
        begun: str,
        ended: str,
        read_time: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create a state that does not hold.

        :param begun: the event that is logged at the begin
        :param ended: the event at the end
        :param read_time: returns a monotonic time in seconds
        """
        self._begun = begun
        self._ended = ended
        self._read_time = read_time
        self._fields: dict[str, Value] | None = None
        self._began_at = 0.0
        self._logged_at = 0.0

    @property
    def holds(self) -> bool:
        """Return whether the state holds."""
        return self._fields is not None

    def report(self, **fields: Value) -> None:
        """Report that the state holds, and why."""
        now = self._read_time()
        if self._fields is None:
            self._began_at = now
        elif fields == self._fields or now - self._logged_at < _REPEAT_SECONDS:
            return
        self._fields = fields
        self._logged_at = now
        log_failure(self._begun, **fields)

    def end(self, **fields: Value) -> None:
        """Report that the state does not hold."""
        if self._fields is None:
            return
        self._fields = None
        seconds = round(self._read_time() - self._began_at, 3)
        log_decision(self._ended, seconds=seconds, **fields)


class OutageLog:
    """The state of an operation that is repeated until it succeeds."""

    def __init__(
        self,
        *,
        failed: str,
        recovered: str,
        read_time: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create it for an operation that has not failed.

        :param failed: the event of the first failure, and of further ones
            for another reason
        :param recovered: the event of the first success after it
        :param read_time: returns a monotonic time in seconds
        """
        self._state = LoggedState(
            begun=failed, ended=recovered, read_time=read_time
        )
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
        self._state.report(reason=reason)
        return is_first

    def succeed(self) -> None:
        """Record a successful attempt."""
        self._state.end(attempts=self._attempts)
        self.reason = None
        self._attempts = 0

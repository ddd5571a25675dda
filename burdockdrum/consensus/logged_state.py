"""A state that is logged when it begins and when it ends."""

from burdockdrum.logs import log_decision
from burdockdrum.logs import log_failure
from burdockdrum.logs import Value
from burdockdrum.ports import Clock

# A reason that changes is logged again, but not more often than this.
_REPEAT_SECONDS = 5.0


class LoggedState:
    """Logs the begin of a state, changes of its reason, and its end.

    However often the state is reported, there is one line at its begin and
    one at its end, and between them one for each change of the fields, at
    most one in five seconds.
    """

    def __init__(self, *, clock: Clock, begun: str, ended: str) -> None:
        """Create a state that does not hold.

        :param begun: the event that is logged at the begin
        :param ended: the event at the end
        """
        self._clock = clock
        self._begun = begun
        self._ended = ended
        self._fields: dict[str, Value] | None = None
        self._began_at = 0.0
        self._logged_at = 0.0

    @property
    def holds(self) -> bool:
        """Return whether the state holds."""
        return self._fields is not None

    def report(self, **fields: Value) -> None:
        """Report that the state holds, and why."""
        now = self._clock.monotonic()
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
        seconds = round(self._clock.monotonic() - self._began_at, 3)
        log_decision(self._ended, seconds=seconds, **fields)

"""Which endpoints of this region have stopped sending.

After a power loss an endpoint's connections accept requests for seconds,
until the kernel reports an error.
"""

from collections.abc import Callable

from burdockdrum.passthrough.state import EndpointState
from burdockdrum.pauses import PauseDetector
from burdockdrum.settings import MechanismSettings

# An endpoint is stalled if it has work and sends nothing for this many average
# run times, within bounds; the maximum covers the prefill of a long prompt.
STALL_TIMEOUT_RUNS = 8
MIN_STALL_TIMEOUT_SECONDS = 0.4
MAX_STALL_TIMEOUT_SECONDS = 1.5


class StallDetector:
    """Decides from this entry VM's requests whether an endpoint is suspect."""

    def __init__(
        self,
        *,
        run_seconds: Callable[[str], float],
        mechanisms: MechanismSettings,
        pauses: PauseDetector | None = None,
    ) -> None:
        """Create it.

        :param run_seconds: returns how long a request of a service holds a
            slot on average
        :param mechanisms: the enabled parts of the policy
        :param pauses: detects pauses of this process; none if None
        """
        self._pauses = pauses
        self._run_seconds = run_seconds
        self._mechanisms = mechanisms

    def is_suspect(self, state: EndpointState, now: float) -> bool:
        """Return whether an endpoint is ejected or stalled."""
        if self._mechanisms.failing_set_aside and state.health.is_ejected(now):
            return True
        return self._mechanisms.mute_avoided and self.is_stalled(state, now)

    def is_stalled(self, state: EndpointState, now: float) -> bool:
        """Return whether an endpoint has requests and sends nothing."""
        if not state.in_flight_requests:
            return False
        timeout = self.timeout_seconds(state.service)
        if now - state.idle_since <= timeout or not state.is_any_read():
            return False
        return self.silent_seconds(state.idle_since, now) > timeout

    def silent_seconds(self, since: float, now: float) -> float:
        """Return the time since then without the pauses of this process."""
        if self._pauses is None:
            return now - since
        return self._pauses.awake_seconds_since(since)

    def timeout_seconds(self, service: str) -> float:
        """Return after how long without output an endpoint is stalled."""
        usual = self._run_seconds(service) * STALL_TIMEOUT_RUNS
        return min(
            MAX_STALL_TIMEOUT_SECONDS, max(MIN_STALL_TIMEOUT_SECONDS, usual)
        )

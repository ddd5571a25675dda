"""Slow starts that endpoints announce in their health responses."""

from burdockdrum.http1 import parse_decimal
from burdockdrum.logs import log_decision
from burdockdrum.passthrough.state.signal_log import log_ignored
from burdockdrum.ports import Clock

_MILLISECONDS_PER_SECOND = 1000
MAX_TRACKED_ENDPOINTS = 4096


class AnnouncedSlowStarts:
    """Until when endpoints are in slow start, as they told this entry VM.

    A check-in tells the region the same, up to its interval later, or not
    while control VMs can't be reached.
    """

    def __init__(self, *, clock: Clock) -> None:
        """Create it without announcements."""
        self._clock = clock
        self._ends_at_by_id: dict[str, float] = {}

    def observe(self, endpoint_id: str, values: list[bytes]) -> None:
        """Record the time left that a health response announces.

        :param values: the unparsed values in milliseconds; empty if none
        """
        if not values:
            return
        left_ms = parse_decimal(values[0]) if len(values) == 1 else None
        if left_ms is None:
            log_ignored("endpoint.slow_start_ignored", endpoint_id, values)
            return
        now = self._clock.monotonic()
        seconds = left_ms / _MILLISECONDS_PER_SECOND
        if now + seconds <= self.ends_at(endpoint_id):
            return
        self._ends_at_by_id[endpoint_id] = now + seconds
        log_decision(
            "endpoint.slow_start_announced",
            endpoint_id=endpoint_id,
            seconds=round(seconds, 3),
        )
        if len(self._ends_at_by_id) > MAX_TRACKED_ENDPOINTS:
            self._ends_at_by_id = {
                name: at
                for name, at in self._ends_at_by_id.items()
                if at > now
            }

    def ends_at(self, endpoint_id: str) -> float:
        """Return when a slow start ends, a time in the past if there is none.

        In monotonic time.
        """
        return self._ends_at_by_id.get(endpoint_id, float("-inf"))

"""Which endpoints get no requests of this entry because of their backoffs."""

from collections.abc import Callable
from collections.abc import Container

from burdockdrum.passthrough.state.congestion_windows import CongestionWindows
from burdockdrum.passthrough.state.requested_backoffs import RequestedBackoff
from burdockdrum.passthrough.state.requested_backoffs import RequestedBackoffs
from burdockdrum.ports import Clock

# When a request that found a full congestion window should return.
FULL_WINDOW_SECONDS = 0.5


class BackoffGate:
    """Combines the requested backoffs with the congestion windows after."""

    def __init__(
        self,
        *,
        clock: Clock,
        backoffs: RequestedBackoffs,
        count_unanswered: Callable[[str], int],
    ) -> None:
        """Create a gate without congestion windows.

        :param count_unanswered: returns how many requests in flight at an
            endpoint have no response yet
        """
        self._clock = clock
        self._backoffs = backoffs
        self._count_unanswered = count_unanswered
        self._windows = CongestionWindows(clock=clock)
        backoffs.listeners.append(self._reduce_window)

    def is_backing_off(self, endpoint_id: str) -> bool:
        """Return whether an endpoint wants no requests at all."""
        return self._backoffs.is_active(endpoint_id)

    def backing_off_ids(self) -> set[str]:
        """Return the endpoints that want no requests at all."""
        return self._backoffs.active_ids()

    def closed_ids(self) -> set[str]:
        """Return the endpoints that should get no requests now."""
        closed = self._backoffs.active_ids()
        closed.update(filter(self._is_window_full, self._windows.ids()))
        return closed

    def find(self, endpoint_id: str) -> RequestedBackoff | None:
        """Return why an endpoint should get no requests now, if so.

        A full congestion window counts as a short backoff.
        """
        backoff = self._backoffs.find(endpoint_id)
        if backoff is not None:
            return backoff
        if not self._is_window_full(endpoint_id):
            return None
        return RequestedBackoff(
            seconds=FULL_WINDOW_SECONDS,
            ends_at=self._clock.monotonic() + FULL_WINDOW_SECONDS,
        )

    def record_accepted(self, endpoint_id: str) -> None:
        """Record that an endpoint began to respond to a request."""
        self._windows.record_accepted(endpoint_id)

    def remove_ended(self, live: Container[str]) -> None:
        """Remove the state of endpoints that are not live."""
        self._windows.remove_ended(live)

    def _is_window_full(self, endpoint_id: str) -> bool:
        window = self._windows.size_of(endpoint_id)
        if window is None:
            return False
        return self._count_unanswered(endpoint_id) >= window

    def _reduce_window(self, endpoint_id: str) -> None:
        self._windows.reduce(endpoint_id, self._count_unanswered(endpoint_id))

"""How many requests an endpoint gets at once after a backoff.

A window grows like that of TCP (RFC 5681): quickly up to half of what was in
flight at the last rejection, slowly beyond. Without it all entries would fill
the endpoint's queue again at the end of each backoff.
"""

from collections.abc import Container
from collections.abc import Iterable
from dataclasses import dataclass

from burdockdrum.ports import Clock

INITIAL_REQUESTS = 2.0
REDUCTION_FACTOR = 0.5
# A window that no rejection has reduced for so long is removed.
MAX_AGE_SECONDS = 60.0


@dataclass(kw_only=True)
class _Window:
    """The window of one endpoint.

    ``size`` is in requests; ``threshold`` is where it begins to grow slowly.
    """

    size: float
    threshold: float
    reduced_at: float

    def grow(self) -> None:
        is_slow = self.size >= self.threshold
        self.size += 1.0 / self.size if is_slow else 1.0


class CongestionWindows:
    """The windows of endpoints that requested a backoff, by endpoint id."""

    def __init__(self, *, clock: Clock) -> None:
        """Create it without windows: no endpoint is limited."""
        self._clock = clock
        self._windows_by_id: dict[str, _Window] = {}

    def reduce(self, endpoint_id: str, unanswered: int) -> None:
        """Reduce the window of an endpoint that rejected a request.

        :param unanswered: requests in flight there without any response
        """
        self._windows_by_id[endpoint_id] = _Window(
            size=INITIAL_REQUESTS,
            threshold=unanswered * REDUCTION_FACTOR,
            reduced_at=self._clock.monotonic(),
        )

    def size_of(self, endpoint_id: str) -> float | None:
        """Return the size of a window in requests, None if there is none."""
        window = self._windows_by_id.get(endpoint_id)
        return window.size if window is not None else None

    def ids(self) -> Iterable[str]:
        """Return the endpoints that have a window."""
        return self._windows_by_id.keys()

    def record_accepted(self, endpoint_id: str) -> None:
        """Record that an endpoint began to respond to a request."""
        window = self._windows_by_id.get(endpoint_id)
        if window is not None:
            window.grow()

    def remove_ended(self, live: Container[str]) -> None:
        """Remove old windows, and those of endpoints that are not live."""
        oldest = self._clock.monotonic() - MAX_AGE_SECONDS
        for endpoint_id, window in list(self._windows_by_id.items()):
            if endpoint_id not in live or window.reduced_at < oldest:
                del self._windows_by_id[endpoint_id]

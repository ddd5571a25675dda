"""In-flight calls of attempts, and how to abort them."""

import asyncio
from collections.abc import Callable

from burdockdrum.http1 import ConnectionPool
from burdockdrum.passthrough.protocol import Target
from burdockdrum.passthrough.relaying.attempt_timeouts import AttemptWatchdog
from burdockdrum.passthrough.state import InFlightRequest


class Call:
    """The target of an attempt, with its abort handle.

    ``encode`` returns the request as it is sent now.
    """

    def __init__(
        self,
        *,
        pool: ConnectionPool,
        address: str,
        encode: Callable[[], bytes],
        connect_timeout_seconds: float,
        max_idle: int | None = None,
        target: Target,
        in_flight_request: InFlightRequest | None = None,
    ) -> None:
        """Create a call that has not been sent yet.

        :param max_idle: the idle connections that the pool keeps to the
            address; any number if None
        """
        self.pool = pool
        self.address = address
        self.encode = encode
        self.connect_timeout_seconds = connect_timeout_seconds
        self.max_idle = max_idle
        self.target = target
        self.in_flight_request = in_flight_request
        self.watchdog: AttemptWatchdog | None = None
        self.timeout: asyncio.Timeout | None = None
        self.abort_reason: str | None = None
        # When the request was sent, and when the response began, on the
        # monotonic clock.
        self.sent_at = 0.0
        self.wrote_since = 0.0
        # Whether the health of the endpoint has heard of a silence.
        self.is_loss_recorded = False

    def disarm_watchdog(self) -> None:
        """Stop the watchdog; only the deadline limits the call then."""
        if self.watchdog is not None:
            self.watchdog.stop()
            self.watchdog = None

    def expire(self) -> None:
        """Let the timeout of a silence pass now."""
        if self.watchdog is not None:
            self.watchdog.expire()

    def abort(self, reason: str) -> None:
        """Time the call out now, which closes its connection."""
        if self.timeout is None or self.timeout.expired():
            return
        try:
            # A time in the past expires in the next iteration of the loop.
            self.timeout.reschedule(0.0)
        except RuntimeError:
            # The call has ended, which a timeout doesn't tell otherwise.
            return
        self.abort_reason = self.abort_reason or reason


class InFlightCalls:
    """In-flight calls by endpoint id, which identifies an incarnation."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._calls_by_id: dict[str, set[Call]] = {}

    def add(self, endpoint_id: str, call: Call) -> None:
        """Add a call."""
        self._calls_by_id.setdefault(endpoint_id, set()).add(call)

    def remove(self, endpoint_id: str, call: Call) -> None:
        """Remove a call that has ended."""
        calls = self._calls_by_id.get(endpoint_id, set())
        calls.discard(call)
        if not calls:
            self._calls_by_id.pop(endpoint_id, None)

    def expire_all(self, endpoint_id: str) -> None:
        """Let the timeouts of an endpoint's calls pass now."""
        for call in list(self._calls_by_id.get(endpoint_id, ())):
            call.expire()

    def abort_all(self, endpoint_id: str, reason: str) -> int:
        """Abort every call to an endpoint; return how many there were."""
        calls = list(self._calls_by_id.get(endpoint_id, ()))
        for call in calls:
            call.abort(reason)
        return len(calls)

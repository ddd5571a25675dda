"""Backoffs that endpoints request from this entry."""

from collections.abc import Callable
from collections.abc import Container
from dataclasses import dataclass

from burdockdrum.http1 import parse_seconds
from burdockdrum.logs import log_decision
from burdockdrum.metrics import Metrics
from burdockdrum.passthrough.state.signal_log import log_ignored
from burdockdrum.ports import Clock


@dataclass(frozen=True, kw_only=True)
class RequestedBackoff:
    """The backoff that an endpoint requested.

    ``seconds`` is its whole length; ``ends_at`` is monotonic.
    """

    seconds: float
    ends_at: float


class RequestedBackoffs:
    """Until when endpoints want no requests from this entry.

    An endpoint requests a backoff by ``Retry-After`` in a response with
    status 503, RFC 9110, section 10.2.3. It applies to one incarnation of
    the endpoint, whose id is the key, and only to the entry that is asked.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        metrics: Metrics,
        read_endpoints: Callable[[], Container[str]],
    ) -> None:
        """Create the backoffs of an entry; none is known at first.

        :param read_endpoints: returns the ids of the registered endpoints
        """
        self._clock = clock
        self._read_endpoints = read_endpoints
        # Called with the id of an endpoint when it enters a backoff.
        self.listeners: list[Callable[[str], None]] = []
        self._backoffs_by_id: dict[str, RequestedBackoff] = {}
        self._requests_total = metrics.counter(
            "burdockdrum_endpoint_backoff_requests_total",
            "Backoffs that endpoints requested from this entry, by result.",
        )
        metrics.gauge(
            "burdockdrum_endpoints_in_backoff",
            "Endpoints that want no requests from this entry now.",
            self._count_active,
        )
        metrics.gauge(
            "burdockdrum_endpoint_backoff_longest_seconds",
            "Time until the last of the requested backoffs ends.",
            self._longest_seconds,
        )

    def observe(
        self,
        endpoint_id: str,
        values: list[bytes],
        *,
        request_id: str | None,
    ) -> None:
        """Record the backoff that a rejection of an endpoint requests.

        A shorter one does not end one that was requested before.

        :param values: the unparsed values; empty if none is requested
        :param request_id: the request that was rejected
        """
        if not values:
            return
        distinct = {value.strip() for value in values}
        seconds = parse_seconds(values[0]) if len(distinct) == 1 else None
        if seconds is None:
            self._requests_total.increment(result="ignored")
            log_ignored(
                "endpoint.backoff_ignored", endpoint_id, values, request_id
            )
            return
        previous = self.seconds_left(endpoint_id)
        self._requests_total.increment(result="requested")
        log_decision(
            "endpoint.backoff_requested",
            request_id=request_id,
            endpoint_id=endpoint_id,
            seconds=seconds,
            previous=round(previous, 3),
        )
        if seconds > previous:
            self._extend(endpoint_id, seconds)

    def find(self, endpoint_id: str) -> RequestedBackoff | None:
        """Return the backoff of an endpoint that has not ended, if any."""
        backoff = self._backoffs_by_id.get(endpoint_id)
        if backoff is None or backoff.ends_at <= self._clock.monotonic():
            return None
        return backoff

    def seconds_left(self, endpoint_id: str) -> float:
        """Return the seconds until a backoff ends, 0 if there is none."""
        backoff = self.find(endpoint_id)
        if backoff is None:
            return 0.0
        return backoff.ends_at - self._clock.monotonic()

    def is_active(self, endpoint_id: str) -> bool:
        """Return whether an endpoint wants no requests now."""
        return self.find(endpoint_id) is not None

    def active_ids(self) -> set[str]:
        """Return the endpoints that want no requests now."""
        now = self._clock.monotonic()
        return {
            endpoint_id
            for endpoint_id, backoff in self._backoffs_by_id.items()
            if backoff.ends_at > now
        }

    def remove_ended(self) -> None:
        """Remove what has ended, and endpoints that no longer exist."""
        live = self._read_endpoints()
        for endpoint_id in list(self._backoffs_by_id):
            if endpoint_id not in live or not self.is_active(endpoint_id):
                del self._backoffs_by_id[endpoint_id]

    def _extend(self, endpoint_id: str, seconds: float) -> None:
        was_active = self.is_active(endpoint_id)
        self._backoffs_by_id[endpoint_id] = RequestedBackoff(
            seconds=seconds, ends_at=self._clock.monotonic() + seconds
        )
        if not was_active:
            for listener in self.listeners:
                listener(endpoint_id)

    def _count_active(self) -> int:
        return sum(map(self.is_active, self._backoffs_by_id))

    def _longest_seconds(self) -> float:
        return max(map(self.seconds_left, self._backoffs_by_id), default=0.0)

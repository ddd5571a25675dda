"""Checks the retries of all entry VMs against the retry budget of a service.

Every arrival beyond the first of a caller's attempt is a retry of the service
that it arrives at, whichever entry sent it and for whatever reason.
"""

import bisect
import collections
from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field

# A window of retries is compared with the requests of the window that ends at
# the same time, half a window earlier or a whole one, whichever has most.
_REQUEST_WINDOW_OFFSETS = (0.0, 0.5, 1.0)


@dataclass(frozen=True, kw_only=True)
class RequestOffered:
    """A caller sent a request on a route to ``services``."""

    time: float
    services: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class RequestArrived:
    """A request arrived at an endpoint of a service."""

    time: float
    service: str
    request_id: str


@dataclass(frozen=True, kw_only=True)
class RetryPeak:
    """The window in which a service got most of its allowed retries."""

    service: str
    ends_at: float
    retries: int
    allowed: float

    @property
    def used_fraction(self) -> float:
        """Return the retries as a fraction of those allowed."""
        return self.retries / self.allowed


@dataclass(kw_only=True)
class RetryHistory:
    """What callers sent and what endpoints got."""

    offered: list[RequestOffered] = field(default_factory=list)
    arrived: list[RequestArrived] = field(default_factory=list)

    def find_peaks(
        self, *, ratio: float, burst: float, window_seconds: float
    ) -> list[RetryPeak]:
        """Return the peak of each service that got retries.

        :param ratio: retries per request that are allowed in a window
        :param burst: further retries that are allowed in a window
        """
        offered = _times_by_service(self.offered)
        peaks = []
        for service, retries in list_retries(self.arrived).items():
            windows = [
                RetryPeak(
                    service=service,
                    ends_at=end,
                    retries=_count(retries, end, window_seconds),
                    allowed=burst
                    + ratio
                    * _count_requests(offered[service], end, window_seconds),
                )
                for end in retries
            ]
            peaks.append(max(windows, key=lambda peak: peak.used_fraction))
        return peaks

    def check(
        self, *, ratio: float, burst: float, window_seconds: float
    ) -> list[str]:
        """Return a sentence for each service whose budget was exceeded."""
        peaks = self.find_peaks(
            ratio=ratio, burst=burst, window_seconds=window_seconds
        )
        return [
            f"service {peak.service!r} got {peak.retries} retries in the "
            f"{window_seconds:g} s before {peak.ends_at:.3f}, "
            f"{peak.allowed:.1f} are allowed"
            for peak in peaks
            if peak.retries > peak.allowed
        ]


def list_retries(
    arrived: Iterable[RequestArrived],
) -> dict[str, list[float]]:
    """Return the times of all arrivals beyond the first, by service."""
    seen: set[str] = set()
    times_by_service: dict[str, list[float]] = collections.defaultdict(list)
    for arrival in sorted(arrived, key=lambda one: one.time):
        if arrival.request_id in seen:
            times_by_service[arrival.service].append(arrival.time)
        seen.add(arrival.request_id)
    return times_by_service


def _times_by_service(
    offered: Iterable[RequestOffered],
) -> dict[str, list[float]]:
    times_by_service: dict[str, list[float]] = collections.defaultdict(list)
    for request in sorted(offered, key=lambda one: one.time):
        for service in request.services:
            times_by_service[service].append(request.time)
    return times_by_service


def _count_requests(
    times: Sequence[float], end: float, window_seconds: float
) -> int:
    return max(
        _count(times, end - offset * window_seconds, window_seconds)
        for offset in _REQUEST_WINDOW_OFFSETS
    )


def _count(times: Sequence[float], end: float, seconds: float) -> int:
    """Return how many of the sorted times are in the window before an end."""
    first = bisect.bisect_right(times, end - seconds)
    return bisect.bisect_right(times, end) - first

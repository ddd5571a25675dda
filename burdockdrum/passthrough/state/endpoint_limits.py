"""Rate limits that endpoints announce, and this entry's share of them."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from burdockdrum.http1 import parse_count
from burdockdrum.http1 import parse_decimal
from burdockdrum.logs import log_decision
from burdockdrum.metrics import Metrics
from burdockdrum.passthrough.state.signal_log import log_ignored
from burdockdrum.ports import Clock
from burdockdrum.registrations import AnnouncedLimit
from burdockdrum.registrations import Bounds
from burdockdrum.registrations import bounds_of
from burdockdrum.registrations import newest_limit
from burdockdrum.registrations import rate_of
from burdockdrum.registrations import RegisteredEndpoint

# Unused requests that may be sent at once, in seconds of the share.
BURST_SECONDS = 1.0
MIN_BURST_REQUESTS = 2.0
# Of one endpoint, which may announce another limit in each response.
MIN_REPORT_INTERVAL_SECONDS = 0.25
# Stands for the interval between requests at a limit of 0.
MAX_INTERVAL_SECONDS = 60.0
# A larger number bounds nothing, and would not fit into messages.
MAX_REJECTIONS = 1_000_000


class _TokenBucket:
    """A token bucket that starts empty."""

    def __init__(self, *, started_at: float) -> None:
        self._tokens = 0.0
        self._updated_at = started_at
        self._next_return_at = started_at

    def seconds_until_token(self, rate: float, now: float) -> float:
        """Return the seconds until a token is available, 0 if one is."""
        self._refill(rate, now)
        return max(0.0, 1.0 - self._tokens) / rate

    def take(self, rate: float, now: float) -> None:
        """Remove a token; the bucket may become overdrawn."""
        self._refill(rate, now)
        self._tokens -= 1.0

    def reserve_return(
        self, rate: float, now: float, seconds_left: float
    ) -> float:
        """Return after how many seconds a refused request should return.

        Each one is given a later time, so that they don't compete. A time
        that is too late for the request is not reserved.

        :param seconds_left: until the request's deadline
        """
        available_at = now + self.seconds_until_token(rate, now)
        return_at = max(available_at, self._next_return_at + 1.0 / rate)
        if return_at - now <= seconds_left:
            self._next_return_at = return_at
        return return_at - now

    def _refill(self, rate: float, now: float) -> None:
        capacity = max(MIN_BURST_REQUESTS, rate * BURST_SECONDS)
        added = (now - self._updated_at) * rate
        self._tokens = min(capacity, self._tokens + added)
        self._updated_at = now


@dataclass(frozen=True, kw_only=True)
class _Allowance:
    """What this entry may send to an endpoint that has a rate limit.

    ``limit`` and ``share`` are in requests per second; ``share`` is None if
    this entry holds none.
    """

    limit: float
    share: float | None
    bucket: _TokenBucket

    def seconds_until_capacity(self, now: float) -> float:
        if self.share is None:
            return self._interval_seconds
        return self.bucket.seconds_until_token(self.share, now)

    def reserve_return(self, now: float, seconds_left: float) -> float:
        if self.share is None:
            return self._interval_seconds
        return self.bucket.reserve_return(self.share, now, seconds_left)

    def take(self, now: float) -> None:
        if self.share is not None:
            self.bucket.take(self.share, now)

    @property
    def _interval_seconds(self) -> float:
        """Return the average time between two requests of all entries."""
        return 1.0 / self.limit if self.limit else MAX_INTERVAL_SECONDS


class EndpointLimits:
    """Keeps this entry's requests to limited endpoints within its shares.

    A limit applies to all entries together. It is known from a response to
    this entry or, through the control VMs, to another one.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        metrics: Metrics,
        read_endpoints: Callable[[], Mapping[str, RegisteredEndpoint]],
        read_share: Callable[[str, float], float | None] = (
            lambda endpoint_id, limit: limit
        ),
        report: Callable[[], None] = lambda: None,
    ) -> None:
        """Create the limits of an entry; none is known at first.

        :param read_endpoints: returns the registered endpoints by id
        :param read_share: returns the requests per second that this entry
            may send to an endpoint with a limit, None if it holds no share;
            by default the whole limit
        :param report: called when a response has another limit than the
            control VMs know
        """
        self._clock = clock
        self._read_endpoints = read_endpoints
        self._read_share = read_share
        self._report = report
        # What endpoints announced to this entry.
        self.announced_by_id: dict[str, AnnouncedLimit] = {}
        self._buckets_by_id: dict[str, _TokenBucket] = {}
        self._reported_at_by_id: dict[str, float] = {}
        self._announcements_by_kind = {
            "limit": metrics.counter(
                "burdockdrum_endpoint_limit_announcements_total",
                "Changes of the rate limits that endpoints announce, by "
                "result.",
            ),
            "brittle": metrics.counter(
                "burdockdrum_brittle_endpoint_announcements_total",
                "Changes of what brittle endpoints announced, by result.",
            ),
        }
        metrics.gauge(
            "burdockdrum_limited_endpoints",
            "Endpoints of this region with a rate limit.",
            self._count_limited,
        )

    def observe(
        self,
        endpoint: RegisteredEndpoint,
        rates: Sequence[bytes],
        rejections: Sequence[bytes] = (),
        *,
        sent_at: float | None,
    ) -> None:
        """Record the announcements in a response of an endpoint.

        A value that is absent withdraws an announcement that was known when
        the request was sent; an earlier request may have been answered before
        the announcement.

        :param rates: the unparsed rate limits; empty if not announced
        :param rejections: the unparsed numbers of rejections that it
            tolerates in a second; empty if not announced
        :param sent_at: when the request was sent; None if the response can't
            withdraw anything
        """
        endpoint_id = endpoint.endpoint_id
        known = self.limit_of(endpoint_id)
        rate, max_rejections = bounds_of(known)
        if known is not None and sent_at is not None:
            if not rates and sent_at > known.observed_at:
                rate = None
            if not rejections and sent_at > known.observed_at:
                max_rejections = None
        new_rate = parse_decimal(rates[0]) if len(rates) == 1 else None
        if new_rate is not None:
            rate = new_rate
        elif rates:
            self._ignore("limit", endpoint_id, rates)
        number = parse_count(rejections[0]) if len(rejections) == 1 else None
        if number is not None:
            max_rejections = min(number, MAX_REJECTIONS)
        elif rejections:
            self._ignore("brittle", endpoint_id, rejections)
        is_announced = new_rate is not None or number is not None
        if is_announced or (rate, max_rejections) != bounds_of(known):
            self._set(endpoint_id, rate, max_rejections)

    def limit_of(self, endpoint_id: str) -> AnnouncedLimit | None:
        """Return what an endpoint last announced to any entry."""
        announced = self.announced_by_id.get(endpoint_id)
        endpoint = self._read_endpoints().get(endpoint_id)
        if endpoint is None or endpoint.rate_limit is None:
            return announced
        return newest_limit([announced, endpoint.rate_limit])

    def rate_of(self, endpoint_id: str) -> float | None:
        """Return the limit in requests per second, None if unlimited."""
        return rate_of(self.limit_of(endpoint_id))

    def has_capacity(self, endpoint_id: str) -> bool:
        """Return whether a request may be sent to an endpoint now."""
        allowance = self._find_allowance(endpoint_id)
        if allowance is None:
            return True
        return allowance.seconds_until_capacity(self._clock.monotonic()) <= 0

    def seconds_until_capacity(self, endpoint_id: str) -> float:
        """Return the seconds until this entry may send a request."""
        allowance = self._find_allowance(endpoint_id)
        if allowance is None:
            return 0.0
        return allowance.seconds_until_capacity(self._clock.monotonic())

    def reserve_return(self, endpoint_id: str, seconds_left: float) -> float:
        """Return after how many seconds a refused request should return.

        :param seconds_left: until the request's deadline
        """
        allowance = self._find_allowance(endpoint_id)
        if allowance is None:
            return 0.0
        now = self._clock.monotonic()
        return allowance.reserve_return(now, seconds_left)

    def record_sent(self, endpoint_id: str) -> None:
        """Count a request against the share."""
        allowance = self._find_allowance(endpoint_id)
        if allowance is None:
            # The next limit begins without unused requests.
            self._buckets_by_id.pop(endpoint_id, None)
        else:
            allowance.take(self._clock.monotonic())

    def remove_ended(self) -> None:
        """Remove the state of endpoints that no longer exist."""
        live = self._read_endpoints()
        tables: tuple[dict[str, Any], ...] = (
            self.announced_by_id,
            self._buckets_by_id,
            self._reported_at_by_id,
        )
        for by_id in tables:
            for endpoint_id in set(by_id) - set(live):
                del by_id[endpoint_id]

    def _find_allowance(self, endpoint_id: str) -> _Allowance | None:
        """Return what may be sent to an endpoint, None if unlimited."""
        known = self.limit_of(endpoint_id)
        if known is None or known.requests_per_second is None:
            return None
        limit = known.requests_per_second
        bucket = self._buckets_by_id.get(endpoint_id)
        if bucket is None:
            bucket = _TokenBucket(started_at=known.observed_at)
            self._buckets_by_id[endpoint_id] = bucket
        share = self._read_share(endpoint_id, limit)
        return _Allowance(limit=limit, share=share, bucket=bucket)

    def _set(
        self, endpoint_id: str, rate: float | None, max_rejections: int | None
    ) -> None:
        former = bounds_of(self.limit_of(endpoint_id))
        bounds = rate, max_rejections
        self.announced_by_id[endpoint_id] = AnnouncedLimit(
            requests_per_second=rate,
            observed_at=self._clock.monotonic(),
            max_rejections=max_rejections,
        )
        if rate != former[0]:
            self._log_change(
                "limit",
                endpoint_id,
                requests_per_second=rate,
                previous=former[0],
            )
        if max_rejections != former[1]:
            self._log_change(
                "brittle",
                endpoint_id,
                max_rejections=max_rejections,
                previous=former[1],
            )
        if bounds != former or bounds != self._registered(endpoint_id):
            self._report_rarely(endpoint_id)

    def _log_change(
        self, kind: str, endpoint_id: str, **fields: float | None
    ) -> None:
        """Log a change; the first field is the announced value."""
        is_withdrawn = next(iter(fields.values())) is None
        result = "withdrawn" if is_withdrawn else "announced"
        self._announcements_by_kind[kind].increment(result=result)
        log_decision(
            f"endpoint.{kind}_{result}", endpoint_id=endpoint_id, **fields
        )

    def _registered(self, endpoint_id: str) -> Bounds:
        """Return the bounds that the control VMs know."""
        endpoint = self._read_endpoints().get(endpoint_id)
        return bounds_of(endpoint.rate_limit if endpoint is not None else None)

    def _report_rarely(self, endpoint_id: str) -> None:
        now = self._clock.monotonic()
        last_at = self._reported_at_by_id.get(endpoint_id, float("-inf"))
        if now - last_at >= MIN_REPORT_INTERVAL_SECONDS:
            self._reported_at_by_id[endpoint_id] = now
            self._report()

    def _ignore(
        self, kind: str, endpoint_id: str, values: Sequence[bytes]
    ) -> None:
        self._announcements_by_kind[kind].increment(result="ignored")
        log_ignored(f"endpoint.{kind}_ignored", endpoint_id, values)

    def _count_limited(self) -> int:
        return sum(
            self.rate_of(endpoint_id) is not None
            for endpoint_id in self._read_endpoints()
        )

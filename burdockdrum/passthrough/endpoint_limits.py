"""Rate limits that endpoints announce, and this entry's share of them."""

from collections.abc import Callable
from collections.abc import Mapping

from burdockdrum.http1 import parse_decimal
from burdockdrum.logs import log_decision
from burdockdrum.logs import log_failure
from burdockdrum.metrics import Metrics
from burdockdrum.ports import Clock
from burdockdrum.registrations import AnnouncedLimit
from burdockdrum.registrations import newest_limit
from burdockdrum.registrations import rate_of
from burdockdrum.registrations import RegisteredEndpoint

# An unreadable announcement is logged up to this length.
MAX_LOGGED_BYTES = 40
# Unused requests that may be sent at once, in seconds of the share.
BURST_SECONDS = 1.0
MIN_BURST_REQUESTS = 2.0
# Stands for the interval between requests at a limit of 0.
MAX_INTERVAL_SECONDS = 60.0


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

    def reserve_return(self, rate: float, now: float) -> float:
        """Return after how many seconds a refused request should return.

        Each one is given a later time, so that they don't compete.
        """
        available_at = now + self.seconds_until_token(rate, now)
        self._next_return_at = max(
            available_at, self._next_return_at + 1.0 / rate
        )
        return self._next_return_at - now

    def _refill(self, rate: float, now: float) -> None:
        capacity = max(MIN_BURST_REQUESTS, rate * BURST_SECONDS)
        added = (now - self._updated_at) * rate
        self._tokens = min(capacity, self._tokens + added)
        self._updated_at = now


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
        """Create it without limits.

        :param read_endpoints: returns the registered endpoints by id
        :param read_share: returns the requests per second that this entry
            may send to an endpoint with a limit, None if it holds no share;
            by default the whole limit
        :param report: called when a response changes a limit
        """
        self._clock = clock
        self._read_endpoints = read_endpoints
        self._read_share = read_share
        self._report = report
        # What endpoints announced to this entry.
        self.announced_by_id: dict[str, AnnouncedLimit] = {}
        self._buckets_by_id: dict[str, _TokenBucket] = {}
        self._announcements_total = metrics.counter(
            "burdockdrum_endpoint_limit_announcements_total",
            "Changes of the rate limits that endpoints announce, by result.",
        )
        metrics.gauge(
            "burdockdrum_limited_endpoints",
            "Endpoints of this region with a rate limit.",
            self._count_limited,
        )

    def observe(
        self,
        endpoint: RegisteredEndpoint,
        values: list[bytes],
        *,
        sent_at: float,
    ) -> None:
        """Record the announcement in a response of an endpoint.

        :param values: the unparsed values; empty if there is no announcement
        :param sent_at: when the request was sent
        """
        endpoint_id = endpoint.endpoint_id
        if not values:
            self._observe_none(endpoint_id, sent_at)
            return
        rate = parse_decimal(values[0]) if len(values) == 1 else None
        if rate is None:
            self._ignore(endpoint_id, values)
            return
        self._set(endpoint_id, rate)

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
        return self.seconds_until_capacity(endpoint_id) <= 0

    def seconds_until_capacity(self, endpoint_id: str) -> float:
        """Return the seconds until this entry may send a request.

        Without a share it is the average time between two requests of all
        entries.
        """
        limit = self.limit_of(endpoint_id)
        rate = rate_of(limit)
        if limit is None or rate is None:
            return 0.0
        share = self._read_share(endpoint_id, rate)
        if share is None:
            return _interval_seconds(rate)
        bucket = self._bucket(endpoint_id, limit)
        return bucket.seconds_until_token(share, self._clock.monotonic())

    def reserve_return(self, endpoint_id: str) -> float:
        """Return after how many seconds a refused request should return."""
        limit = self.limit_of(endpoint_id)
        rate = rate_of(limit)
        if limit is None or rate is None:
            return 0.0
        share = self._read_share(endpoint_id, rate)
        if share is None:
            return _interval_seconds(rate)
        bucket = self._bucket(endpoint_id, limit)
        return bucket.reserve_return(share, self._clock.monotonic())

    def record_sent(self, endpoint_id: str) -> None:
        """Count a request against the share."""
        limit = self.limit_of(endpoint_id)
        rate = rate_of(limit)
        if limit is None or rate is None:
            self._buckets_by_id.pop(endpoint_id, None)
            return
        share = self._read_share(endpoint_id, rate)
        if share is not None:
            bucket = self._bucket(endpoint_id, limit)
            bucket.take(share, self._clock.monotonic())

    def remove_ended(self) -> None:
        """Remove the state of endpoints that no longer exist."""
        live = self._read_endpoints()
        for by_id in (self.announced_by_id, self._buckets_by_id):
            for endpoint_id in set(by_id) - set(live):
                del by_id[endpoint_id]

    def _bucket(self, endpoint_id: str, limit: AnnouncedLimit) -> _TokenBucket:
        return self._buckets_by_id.setdefault(
            endpoint_id, _TokenBucket(started_at=limit.observed_at)
        )

    def _set(self, endpoint_id: str, rate: float | None) -> None:
        previous = rate_of(self.limit_of(endpoint_id))
        self.announced_by_id[endpoint_id] = AnnouncedLimit(
            requests_per_second=rate, observed_at=self._clock.monotonic()
        )
        if rate == previous:
            return
        result = "withdrawn" if rate is None else "announced"
        self._announcements_total.increment(result=result)
        log_decision(
            f"endpoint.limit_{result}",
            endpoint_id=endpoint_id,
            requests_per_second=rate,
            previous=previous,
        )
        self._report()

    def _observe_none(self, endpoint_id: str, sent_at: float) -> None:
        """Withdraw a limit if the request was sent after it was known.

        An earlier request may have been answered before the announcement.
        """
        known = self.limit_of(endpoint_id)
        if rate_of(known) is None or known is None:
            return
        if sent_at > known.observed_at:
            self._set(endpoint_id, None)

    def _ignore(self, endpoint_id: str, values: list[bytes]) -> None:
        self._announcements_total.increment(result="ignored")
        text = b", ".join(values)[:MAX_LOGGED_BYTES]
        log_failure(
            "endpoint.limit_ignored",
            endpoint_id=endpoint_id,
            count=len(values),
            value=text.decode("latin-1"),
        )

    def _count_limited(self) -> int:
        return sum(
            rate_of(self.limit_of(endpoint_id)) is not None
            for endpoint_id in self._read_endpoints()
        )


def _interval_seconds(rate: float) -> float:
    return 1.0 / rate if rate else MAX_INTERVAL_SECONDS

"""Invariants between the responses and the runs at the endpoints."""

from dataclasses import dataclass

from burdockdrum.histories import RequestArrived
from burdockdrum.histories import RequestOffered
from burdockdrum.histories import RetryHistory
from scripts.soak.endpoint import AnnouncedPeriod
from scripts.soak.endpoint import Endpoint

# The platform's rule on the requests that an endpoint with a limit gets.
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK_REQUESTS = 5
LIMIT_LEARNING_SECONDS = 5.0
# The platform's rule on the requests of an entry during a backoff.
BACKOFF_LEARNING_SECONDS = 0.5
MAX_REQUESTS_IN_BACKOFF = 2
# An entry stops at once; this is for requests on their way.
DRAIN_LEARNING_SECONDS = 0.5
# The platform's default retry budget.
RETRY_RATIO = 0.2
RETRY_BURST = 50.0
RETRY_WINDOW_SECONDS = 10.0
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(frozen=True, kw_only=True)
class RequestRecord:
    """The response that a caller received.

    ``status`` is 0 if the connection ended without a response.
    """

    request_id: str
    path: str
    body: bytes
    status: int
    answer: bytes
    seconds: float


@dataclass(frozen=True, kw_only=True)
class Disturbance:
    """A time in which a fault excuses an entry, by monotonic time."""

    began_at: float
    ended_at: float

    def overlaps(self, begin: float, end: float) -> bool:
        """Return whether it overlaps an interval."""
        return self.began_at <= end and begin <= self.ended_at


class InvariantChecker:
    """Checks all invariants and collects violations."""

    def __init__(self) -> None:
        """Create a checker without records."""
        self.violations: list[str] = []
        self.counts_by_status: dict[int, int] = {}
        self.newest_acknowledged = 0
        self._records: list[RequestRecord] = []
        self._offered: list[RequestOffered] = []

    def record_offered(self, at: float, service: str) -> None:
        """Record that a caller sent a request at a monotonic time."""
        self._offered.append(RequestOffered(time=at, services=(service,)))

    def check_retries(self, endpoints: list[Endpoint], service: str) -> None:
        """Compare the arrivals at all endpoints with the retry budget."""
        history = RetryHistory(
            offered=self._offered,
            arrived=[
                RequestArrived(
                    time=arrival.at,
                    service=service,
                    request_id=arrival.request_id,
                )
                for endpoint in endpoints
                for arrival in endpoint.arrivals
            ],
        )
        self.violations += history.check(
            ratio=RETRY_RATIO,
            burst=RETRY_BURST,
            window_seconds=RETRY_WINDOW_SECONDS,
        )

    def record_answer(self, record: RequestRecord) -> None:
        """Record the response to a request and check its body."""
        self._records.append(record)
        count = self.counts_by_status.get(record.status, 0)
        self.counts_by_status[record.status] = count + 1
        expected = record.request_id.encode() + b":" + record.body
        if record.status == 200 and record.answer != expected:
            self._add_violation(
                record, f"got the wrong response: {record.answer[:60]!r}"
            )

    def record_acknowledged(self, version: int) -> None:
        """Record an acknowledged version of the configuration."""
        self.newest_acknowledged = max(self.newest_acknowledged, version)

    def record_read(self, version: int, acknowledged_before: int) -> None:
        """Check a version of the configuration that was read.

        :param acknowledged_before: the newest acknowledged version when the
            read was sent
        """
        if version < acknowledged_before:
            self.violations.append(
                f"version {version} was read after {acknowledged_before} had "
                "been acknowledged"
            )

    def check_runs(self, runs_by_id: dict[str, int], settled: bool) -> None:
        """Compare the responses with the runs at the endpoints.

        :param settled: whether no request is in flight any more
        """
        for record in self._records:
            runs = runs_by_id.get(record.request_id, 0)
            if record.path.startswith("/once/") and runs > 1:
                self._add_violation(record, f"ran {runs} times")
            claimed_not_run = record.status in NOT_RUN_STATUSES
            once = record.path.startswith("/once/")
            if claimed_not_run and once and runs and settled:
                self._add_violation(
                    record, f"got status {record.status} but ran"
                )
            if record.status == 200 and not runs:
                self._add_violation(record, "got status 200 but did not run")

    def check_limits(
        self,
        name: str,
        periods: list[AnnouncedPeriod],
        arrived_at: list[float],
    ) -> None:
        """Compare the arrivals at an endpoint with its rate limits.

        :param name: names the endpoint in violations
        :param arrived_at: when requests arrived, in order
        """
        for period in periods:
            if period.limit is None or period.heard_at is None:
                continue
            allowed = period.limit * LIMIT_WINDOW_SECONDS * LIMIT_FACTOR
            allowed += LIMIT_SLACK_REQUESTS
            begin = period.heard_at + LIMIT_LEARNING_SECONDS
            end = period.ended_at or float("inf")
            times = [at for at in arrived_at if begin <= at <= end]
            most = count_in_window(times, LIMIT_WINDOW_SECONDS)
            if most > allowed:
                self.violations.append(
                    f"endpoint {name} announced {period.limit:g} requests a "
                    f"second and got {most} in {LIMIT_WINDOW_SECONDS:g} s; "
                    f"{allowed:g} are allowed"
                )

    def check_backoffs(
        self, endpoint: Endpoint, disturbed: list["Disturbance"]
    ) -> None:
        """Compare the arrivals at an endpoint with its backoffs.

        :param disturbed: of the only entry that sends there, or its link
        """
        for rejection in endpoint.rejections:
            begin = rejection.at + BACKOFF_LEARNING_SECONDS
            end = rejection.at + rejection.seconds
            if any(d.overlaps(rejection.at, end) for d in disturbed):
                continue
            count = sum(
                begin < arrival.at < end
                and arrival.expected_id == rejection.endpoint_id
                for arrival in endpoint.arrivals
            )
            if count > MAX_REQUESTS_IN_BACKOFF:
                self.violations.append(
                    f"endpoint {rejection.endpoint_id} requested a backoff of "
                    f"{rejection.seconds:g} s and got {count} requests"
                )

    def check_drains(
        self, endpoint: Endpoint, disturbed: list["Disturbance"]
    ) -> None:
        """Check that no requests came after an announced drain.

        :param disturbed: of the only entry that sends there, or its link
        """
        for endpoint_id, drained_at in endpoint.drained_at_by_id.items():
            late = [
                arrival.at
                for arrival in endpoint.arrivals
                if arrival.expected_id == endpoint_id
                and arrival.at > drained_at + DRAIN_LEARNING_SECONDS
            ]
            if late and not any(
                d.overlaps(drained_at, max(late)) for d in disturbed
            ):
                self.violations.append(
                    f"endpoint {endpoint_id} announced to drain and got "
                    f"{len(late)} requests later"
                )

    def _add_violation(self, record: RequestRecord, description: str) -> None:
        self.violations.append(
            f"request {record.request_id} ({record.path}) {description}"
        )


def count_in_window(times: list[float], seconds: float) -> int:
    """Return the most events in any window of a length."""
    most = first = 0
    for index, at in enumerate(times):
        while times[first] <= at - seconds:
            first += 1
        most = max(most, index - first + 1)
    return most

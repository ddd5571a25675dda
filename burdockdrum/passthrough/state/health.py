"""Passive health checks: outlier ejection by the outcomes of requests.

Active status checks are not enough: an endpoint can pass them and still fail
every request, or fail them and still serve.
"""

from dataclasses import dataclass

# Weights of an outcome in the moving failure rate. An endpoint that fails all
# requests is ejected after six; the rate of one that fails every seventh stays
# about four standard deviations below the limit. A broken connection is never
# a regular response and counts double.
_FAILURE_WEIGHT = 0.1
_LOSS_WEIGHT = 0.2
EJECTION_SCORE = 0.45
# First and longest ejection; after it a single request probes the endpoint.
MIN_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 8.0
# How long an endpoint is skipped after a failed connect; a restart takes
# seconds.
CONNECT_BACKOFF_SECONDS = 1.0
# By then an endpoint that has restarted under its id has checked in.
VERSION_DOUBT_SECONDS = 8.0


@dataclass(kw_only=True)
class EndpointHealth:
    """The recent failures of one endpoint; times are monotonic.

    An unreachable endpoint gets no requests. An ejected one is still used if
    there is no better one: if a service fails everywhere, ejecting all of its
    endpoints would not help. ``reachable_since`` is the first success after a
    failed connect, None if there is none. ``is_silent`` says that requests
    were lost there without a byte for anyone. ``unconnected_at`` is when a
    connect last failed.
    """

    score: float = 0.0
    ejected_until: float = 0.0
    unreachable_until: float = 0.0
    ejection_seconds: float = 0.0
    is_probing: bool = False
    was_unreachable: bool = False
    reachable_since: float | None = None
    is_silent: bool = False
    unconnected_at: float = float("-inf")

    def is_version_in_doubt(self, now: float) -> bool:
        """Return whether it may have restarted as another version.

        It accepts requests under the same id before its first check-in.
        """
        return now < self.unconnected_at + VERSION_DOUBT_SECONDS

    def is_reachable(self, now: float) -> bool:
        """Return whether the backoff after a failed connect has passed."""
        return now >= self.unreachable_until

    def may_have_restarted(self, now: float, cold_seconds: float) -> bool:
        """Return whether it may have restarted and still need a slow start.

        It can accept requests under the same id before its first heartbeat.
        After a failed connect it counts as restarted until ``cold_seconds``
        have passed since the first response.
        """
        if not self.was_unreachable:
            return False
        since = self.reachable_since
        return since is None or now - since < cold_seconds

    def is_ejected(self, now: float) -> bool:
        """Return whether other endpoints are preferred to this one."""
        return now < self.ejected_until or self.is_probing

    def record_start(self, now: float) -> None:
        """Record a sent request; after an ejection it is the only probe."""
        if self.ejection_seconds and now >= self.ejected_until:
            self.is_probing = True

    def record_reached(self, now: float) -> None:
        """Record that the endpoint sent a response."""
        if self.was_unreachable and self.reachable_since is None:
            self.reachable_since = now

    def record_success(self) -> None:
        """Record a successful response."""
        self.is_silent = False
        self.score *= 1 - _FAILURE_WEIGHT
        self.is_probing = False
        if self.score < EJECTION_SCORE:
            self.ejection_seconds = 0.0
            self.ejected_until = 0.0

    def record_error(self, now: float) -> None:
        """Record an error response."""
        self._record_failure(now, _FAILURE_WEIGHT)

    def record_loss(self, now: float, *, is_silent: bool = False) -> None:
        """Record a truncated, malformed or missing response.

        :param is_silent: whether nobody got a byte meanwhile
        """
        if is_silent:
            # One is enough: it was silent to all requests of this entry.
            self.is_silent = True
            self.score = max(self.score, EJECTION_SCORE)
        self._record_failure(now, _LOSS_WEIGHT)

    def postpone_probe(self, until: float) -> None:
        """Let no request probe an ejected endpoint before a time."""
        if self.ejection_seconds:
            self.ejected_until = max(self.ejected_until, until)

    def record_connected(self) -> None:
        """Record that a connection was opened, without a request."""
        self.unreachable_until = 0.0

    def record_unreachable(
        self, now: float, seconds: float = CONNECT_BACKOFF_SECONDS
    ) -> None:
        """Record a failed connect.

        :param seconds: for how long the endpoint is skipped
        """
        self.is_probing = False
        self.unconnected_at = now
        self.unreachable_until = max(self.unreachable_until, now + seconds)
        self.was_unreachable = True
        self.reachable_since = None

    def record_refused(self, now: float) -> None:
        """Record that its address refused a connection after a loss."""
        self.unconnected_at = now

    def record_neutral(self) -> None:
        """Record an end without a verdict, such as a caller's disconnect."""
        self.is_probing = False

    def _record_failure(self, now: float, weight: float) -> None:
        self.score = self.score * (1 - weight) + weight
        self.is_probing = False
        if self.score < EJECTION_SCORE:
            return
        self.ejection_seconds = min(
            MAX_EJECTION_SECONDS,
            max(MIN_EJECTION_SECONDS, self.ejection_seconds * 2),
        )
        self.ejected_until = now + self.ejection_seconds
        # One success after the ejection is enough to lift it.
        self.score = EJECTION_SCORE

"""Rate limits that endpoints announce in their responses."""

from burdockdrum.http1 import parse_decimal
from burdockdrum.logs import log_decision
from burdockdrum.logs import log_failure
from burdockdrum.metrics import Metrics
from burdockdrum.registrations import RegisteredEndpoint

# An unreadable announcement is logged up to this length.
MAX_LOGGED_BYTES = 40


class EndpointLimits:
    """The rate limits that this entry VM received from endpoints."""

    def __init__(self, *, metrics: Metrics) -> None:
        """Create it without limits."""
        self._limits_by_id: dict[str, float] = {}
        self._announcements_total = metrics.counter(
            "burdockdrum_endpoint_limit_announcements_total",
            "Changes of the rate limits that endpoints announce, by result.",
        )

    def observe(
        self, endpoint: RegisteredEndpoint, values: list[bytes]
    ) -> None:
        """Record the announcement in a response of an endpoint.

        :param values: the unparsed values; empty if there is no announcement
        """
        if not values:
            self._withdraw(endpoint.endpoint_id)
            return
        limit = parse_decimal(values[0]) if len(values) == 1 else None
        if limit is None:
            self._ignore(endpoint.endpoint_id, values)
            return
        self._announce(endpoint.endpoint_id, limit)

    def retain(self, endpoint_ids: set[str]) -> None:
        """Remove the limits of all other endpoints."""
        for endpoint_id in set(self._limits_by_id) - endpoint_ids:
            del self._limits_by_id[endpoint_id]

    def _announce(self, endpoint_id: str, limit: float) -> None:
        previous = self._limits_by_id.get(endpoint_id)
        if previous == limit:
            return
        self._limits_by_id[endpoint_id] = limit
        self._announcements_total.increment(result="announced")
        log_decision(
            "endpoint.limit_announced",
            endpoint_id=endpoint_id,
            requests_per_second=limit,
            previous=previous,
        )

    def _withdraw(self, endpoint_id: str) -> None:
        previous = self._limits_by_id.pop(endpoint_id, None)
        if previous is None:
            return
        self._announcements_total.increment(result="withdrawn")
        log_decision(
            "endpoint.limit_withdrawn",
            endpoint_id=endpoint_id,
            previous=previous,
        )

    def _ignore(self, endpoint_id: str, values: list[bytes]) -> None:
        self._announcements_total.increment(result="ignored")
        text = b", ".join(values)[:MAX_LOGGED_BYTES]
        log_failure(
            "endpoint.limit_ignored",
            endpoint_id=endpoint_id,
            count=len(values),
            value=text.decode("latin-1"),
        )

"""Endpoints that announce in their responses that they drain."""

from collections.abc import Callable

from burdockdrum.logs import log_decision
from burdockdrum.metrics import Metrics
from burdockdrum.passthrough.state.signal_log import log_ignored

_DRAINING_VALUE = b"1"


class DrainAnnouncements:
    """Reads the announcements and passes on the first of each endpoint."""

    def __init__(
        self, *, metrics: Metrics, record: Callable[[str], bool]
    ) -> None:
        """Create a reader.

        :param record: called with the id of an endpoint that drains;
            returns whether that was not known before
        """
        self._record = record
        self._announcements_total = metrics.counter(
            "burdockdrum_endpoint_drain_announcements_total",
            "Endpoints that announced to drain in a response, by result.",
        )

    def observe(
        self,
        endpoint_id: str,
        values: list[bytes],
        *,
        request_id: str | None,
    ) -> None:
        """Record the announcement in a response of an endpoint.

        :param values: the unparsed values; empty if there is none
        :param request_id: the request that the response belongs to
        """
        if not values:
            return
        if {value.strip() for value in values} != {_DRAINING_VALUE}:
            self._announcements_total.increment(result="ignored")
            log_ignored(
                "endpoint.drain_announcement_ignored",
                endpoint_id,
                values,
                request_id,
            )
        elif self._record(endpoint_id):
            self._announcements_total.increment(result="announced")
            log_decision(
                "endpoint.drain_announced",
                request_id=request_id,
                endpoint_id=endpoint_id,
            )

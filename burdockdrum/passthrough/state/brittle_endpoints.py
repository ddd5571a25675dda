"""Endpoints that crash if they must reject too many requests.

Such an endpoint announces in its responses how many requests it can reject in
a second for want of room. Entries then send it no more than it runs at once,
so that none has to wait there, and pause after rejections.
"""

from collections.abc import Container
from dataclasses import dataclass

from burdockdrum.http1 import parse_count
from burdockdrum.logs import log_decision
from burdockdrum.metrics import Metrics
from burdockdrum.passthrough.state.signal_log import log_ignored
from burdockdrum.ports import Clock
from burdockdrum.registrations import RegisteredEndpoint

WINDOW_SECONDS = 1.0


@dataclass(kw_only=True)
class _Brittle:
    """What an endpoint announced, and when it rejected requests of here."""

    max_rejections: int
    rejected_at: list[float]


class BrittleEndpoints:
    """The brittle endpoints that this entry knows, by id."""

    def __init__(self, *, clock: Clock, metrics: Metrics) -> None:
        """Create it without any."""
        self._clock = clock
        self._brittle_by_id: dict[str, _Brittle] = {}
        self._announcements_total = metrics.counter(
            "burdockdrum_brittle_endpoint_announcements_total",
            "Changes of what brittle endpoints announced, by result.",
        )

    def observe(self, endpoint_id: str, values: list[bytes]) -> None:
        """Read the values in a response of an endpoint.

        No value ends the state; an unreadable one leaves it as it is.
        """
        known = self._brittle_by_id.get(endpoint_id)
        if not values:
            if known is not None:
                del self._brittle_by_id[endpoint_id]
                self._log(endpoint_id, "withdrawn", None)
            return
        numbers = {parse_count(value.strip()) for value in values}
        number = numbers.pop()
        if number is None or numbers:
            self._announcements_total.increment(result="ignored")
            log_ignored("endpoint.brittle_ignored", endpoint_id, values)
            return
        if known is None:
            self._brittle_by_id[endpoint_id] = _Brittle(
                max_rejections=number, rejected_at=[]
            )
        elif known.max_rejections != number:
            known.max_rejections = number
        else:
            return
        self._log(endpoint_id, "announced", number)

    def record_rejection(self, endpoint_id: str) -> None:
        """Record that an endpoint rejected a request as not run."""
        known = self._brittle_by_id.get(endpoint_id)
        if known is not None:
            known.rejected_at.append(self._clock.monotonic())

    def may_send(
        self,
        endpoint: RegisteredEndpoint,
        *,
        own: int,
        others: float,
        entries: int,
    ) -> bool:
        """Return whether a request can't be one rejection too many.

        :param own: the requests of this entry at the endpoint
        :param others: those of the other entries, as reported
        :param entries: the number of entries that send to the endpoint
        """
        known = self._brittle_by_id.get(endpoint.endpoint_id)
        if known is None:
            return True
        since = self._clock.monotonic() - WINDOW_SECONDS
        known.rejected_at = [at for at in known.rejected_at if at > since]
        # The other entries may meet as many rejections at the same time.
        if known.rejected_at and len(known.rejected_at) >= int(
            known.max_rejections / (2 * entries)
        ):
            return False
        if own < endpoint.slots // entries:
            return True
        return own + others < endpoint.slots

    def remove_ended(self, live: Container[str]) -> None:
        """Forget endpoints that no longer exist."""
        for endpoint_id in list(self._brittle_by_id):
            if endpoint_id not in live:
                del self._brittle_by_id[endpoint_id]

    def _log(self, endpoint_id: str, result: str, number: int | None) -> None:
        self._announcements_total.increment(result=result)
        log_decision(
            f"endpoint.brittle_{result}",
            endpoint_id=endpoint_id,
            max_rejections=number,
        )

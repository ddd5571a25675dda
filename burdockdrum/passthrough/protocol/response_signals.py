"""What endpoints say of themselves in the heads of their responses."""

from burdockdrum.http1 import ResponseHead
from burdockdrum.passthrough.protocol.header_names import HeaderNames
from burdockdrum.passthrough.protocol.model import Lost
from burdockdrum.passthrough.protocol.model import NotStarted
from burdockdrum.passthrough.protocol.responses import BACKOFF_STATUS
from burdockdrum.passthrough.protocol.responses import is_from_endpoint
from burdockdrum.passthrough.state import AnnouncedSlowStarts
from burdockdrum.passthrough.state import DrainAnnouncements
from burdockdrum.passthrough.state import EndpointLimits
from burdockdrum.passthrough.state import InFlightRequest
from burdockdrum.passthrough.state import RequestedBackoffs
from burdockdrum.registrations import RegisteredEndpoint

_RETRY_AFTER = b"retry-after"


class ResponseSignals:
    """Passes on the limits, backoffs and drains in responses."""

    def __init__(
        self,
        *,
        names: HeaderNames,
        limits: EndpointLimits,
        backoffs: RequestedBackoffs,
        drains: DrainAnnouncements,
        slow_starts: AnnouncedSlowStarts,
    ) -> None:
        """Create it with the recipients of each signal."""
        self._names = names
        self._limits = limits
        self._backoffs = backoffs
        self._drains = drains
        self._slow_starts = slow_starts

    def observe(
        self,
        in_flight_request: InFlightRequest,
        request_id: str,
        head: ResponseHead,
        failure: NotStarted | Lost | None,
    ) -> None:
        """Read a response to a request.

        :param failure: its classification
        """
        endpoint = in_flight_request.endpoint
        self._observe_state(endpoint, head, request_id)
        match failure:
            case None:
                self._observe_bounds(
                    endpoint, head, in_flight_request.began_at
                )
            case NotStarted(reached=True, replaced=False):
                self._observe_bounds(endpoint, head, None)

    def observe_head(
        self, endpoint: RegisteredEndpoint, head: ResponseHead
    ) -> None:
        """Read the response to another kind of call than a request."""
        self._observe_state(endpoint, head, None)
        self._observe_bounds(endpoint, head, None)

    def observe_health(
        self, endpoint: RegisteredEndpoint, head: ResponseHead
    ) -> None:
        """Read a health response, unless another endpoint has the address."""
        responder = head.find(self._names.responder)
        if (
            responder is not None
            and responder != endpoint.reported_id.encode()
        ):
            return
        self._slow_starts.observe(
            endpoint.endpoint_id, head.find_all(self._names.slow_start)
        )

    def _observe_state(
        self,
        endpoint: RegisteredEndpoint,
        head: ResponseHead,
        request_id: str | None,
    ) -> None:
        if not is_from_endpoint(head, self._names):
            return
        endpoint_id = endpoint.endpoint_id
        self._drains.observe(
            endpoint_id,
            head.find_all(self._names.draining),
            request_id=request_id,
        )
        if head.status == BACKOFF_STATUS:
            self._backoffs.observe(
                endpoint_id,
                head.find_all(_RETRY_AFTER),
                request_id=request_id,
            )

    def _observe_bounds(
        self,
        endpoint: RegisteredEndpoint,
        head: ResponseHead,
        sent_at: float | None,
    ) -> None:
        """Observe the bounds in a response of the endpoint itself.

        :param sent_at: when the request was sent; None if the response can
            announce a bound, but not withdraw one
        """
        if is_from_endpoint(head, self._names):
            self._limits.observe(
                endpoint,
                head.find_all(self._names.rate_limit),
                head.find_all(self._names.brittle),
                sent_at=sent_at,
            )

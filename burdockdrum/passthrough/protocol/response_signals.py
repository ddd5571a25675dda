"""What endpoints say of themselves in the heads of their responses."""

from burdockdrum.http1 import ResponseHead
from burdockdrum.passthrough.protocol.header_names import HeaderNames
from burdockdrum.passthrough.protocol.model import Lost
from burdockdrum.passthrough.protocol.model import NotStarted
from burdockdrum.passthrough.protocol.responses import BACKOFF_STATUS
from burdockdrum.passthrough.protocol.responses import is_from_endpoint
from burdockdrum.passthrough.state import BrittleEndpoints
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
        brittle: BrittleEndpoints,
    ) -> None:
        """Create it with the recipients of each signal."""
        self._names = names
        self._limits = limits
        self._backoffs = backoffs
        self._drains = drains
        self._brittle = brittle

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
        self.observe_head(endpoint, head, request_id=request_id)
        self._observe_limit(in_flight_request, head, failure)
        if isinstance(failure, NotStarted) and failure.reached:
            self._brittle.record_rejection(endpoint.endpoint_id)

    def observe_head(
        self,
        endpoint: RegisteredEndpoint,
        head: ResponseHead,
        *,
        request_id: str | None = None,
    ) -> None:
        """Read what any response says, also one to another kind of call."""
        if not is_from_endpoint(head, self._names):
            return
        endpoint_id = endpoint.endpoint_id
        self._drains.observe(
            endpoint_id,
            head.find_all(self._names.draining),
            request_id=request_id,
        )
        self._brittle.observe(endpoint_id, head.find_all(self._names.brittle))
        if head.status == BACKOFF_STATUS:
            self._backoffs.observe(
                endpoint_id,
                head.find_all(_RETRY_AFTER),
                request_id=request_id,
            )

    def _observe_limit(
        self,
        in_flight_request: InFlightRequest,
        head: ResponseHead,
        failure: NotStarted | Lost | None,
    ) -> None:
        """Observe the rate limit in a response of the endpoint itself.

        A rejection can announce a limit, but not withdraw one.
        """
        values = head.find_all(self._names.rate_limit)
        match failure:
            case None:
                is_observed = True
            case NotStarted(reached=True, replaced=False):
                is_observed = bool(values)
            case _:
                is_observed = False
        if is_observed:
            self._limits.observe(
                in_flight_request.endpoint,
                values,
                sent_at=in_flight_request.began_at,
            )

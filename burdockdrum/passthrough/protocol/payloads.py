"""Encode requests for endpoints and for entries of other regions.

Headers that only the proxy may set are removed from the caller's request.
"""

from burdockdrum.http1 import encode_request
from burdockdrum.http1 import Headers
from burdockdrum.http1 import remove_hop_by_hop_headers
from burdockdrum.passthrough.protocol.forwarded_route import encode_route
from burdockdrum.passthrough.protocol.forwarded_route import ForwardedRoute
from burdockdrum.passthrough.protocol.header_names import encode_version
from burdockdrum.passthrough.protocol.header_names import HeaderNames
from burdockdrum.passthrough.protocol.header_names import HOP_ATTEMPTS
from burdockdrum.passthrough.protocol.header_names import HOP_CHARGE
from burdockdrum.passthrough.protocol.header_names import HOP_HEADERS
from burdockdrum.passthrough.protocol.header_names import HOP_REGION
from burdockdrum.passthrough.protocol.header_names import HOP_ROUTE
from burdockdrum.passthrough.protocol.header_names import HOP_SERVICE
from burdockdrum.passthrough.protocol.header_names import HOP_TEAM
from burdockdrum.passthrough.protocol.header_names import HOP_VERSION
from burdockdrum.passthrough.protocol.model import HopCharge
from burdockdrum.passthrough.protocol.model import ProxiedRequest

_MILLISECONDS_PER_SECOND = 1000
# The lowest priority that engines accept.
MAX_URGENCY = 9


class PayloadEncoder:
    """Encodes requests as HTTP/1.1, without headers reserved to the proxy."""

    def __init__(self, *, names: HeaderNames, region: str) -> None:
        """Create an encoder for the entries of a region."""
        self._names = names
        self._region = region.encode()
        self._dropped = (
            names.system_only
            | HOP_HEADERS
            | frozenset(
                {
                    names.deadline,
                    names.expected_endpoint,
                    names.last_event,
                    names.urgency,
                    names.fetch_from,
                    names.token,
                    names.team,
                }
            )
        )

    def for_endpoint(
        self,
        request: ProxiedRequest,
        *,
        endpoint_id: str,
        fetch_from: str | None,
        seconds_left: float,
        last_event: int | None,
    ) -> bytes:
        """Return the head of the payload for an endpoint.

        :param fetch_from: the address to fetch a cached prefix from
        """
        headers = self._common_headers(request, seconds_left, last_event)
        names = self._names
        headers.append((names.expected_endpoint, endpoint_id.encode()))
        if request.team is not None:
            headers.append((names.team, request.team.encode()))
        if request.backend.engine is not None:
            rank = min(max(request.route.rank, 0), MAX_URGENCY)
            headers.append((names.urgency, b"%d" % rank))
        if fetch_from is not None:
            headers.append((names.fetch_from, fetch_from.encode()))
        return self._encode(request, headers)

    def for_region(
        self,
        request: ProxiedRequest,
        *,
        seconds_left: float,
        attempts: int,
        charge: HopCharge | None,
        last_event: int | None,
        software_version: str | None = None,
    ) -> bytes:
        """Return the head of the payload for an entry of another region.

        :param charge: how its retry budget counts the request
        :param software_version: the only one that may go on with the stream
        """
        headers = self._common_headers(request, seconds_left, last_event)
        headers.append((HOP_REGION, self._region))
        headers.append((HOP_ATTEMPTS, b"%d" % attempts))
        if charge is not None:
            headers.append((HOP_CHARGE, charge.value))
        headers.append((HOP_SERVICE, request.backend.name.encode()))
        route = ForwardedRoute.of(request, seconds_left=seconds_left)
        headers.append((HOP_ROUTE, encode_route(route)))
        if software_version is not None:
            headers.append((HOP_VERSION, encode_version(software_version)))
        if request.team is not None:
            headers.append((HOP_TEAM, request.team.encode()))
        return self._encode(request, headers)

    def _common_headers(
        self,
        request: ProxiedRequest,
        seconds_left: float,
        last_event: int | None,
    ) -> Headers:
        names = self._names
        headers = remove_hop_by_hop_headers(
            request.head.headers, self._dropped
        )
        if request.head.find(names.request_id) is None:
            headers.append((names.request_id, request.request_id.encode()))
        remaining_ms = max(1, int(seconds_left * _MILLISECONDS_PER_SECOND))
        headers.append((names.deadline, b"%d" % remaining_ms))
        if last_event is not None:
            headers.append((names.last_event, b"%d" % last_event))
        return headers

    def _encode(self, request: ProxiedRequest, headers: Headers) -> bytes:
        head = request.head
        if head.body or head.method not in (b"GET", b"HEAD"):
            headers.append((b"content-length", b"%d" % len(head.body)))
        return encode_request(head.method, head.target, headers)

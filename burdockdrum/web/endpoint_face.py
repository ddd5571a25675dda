"""What endpoints use: announce, report, leave."""

from blacksheep.messages import Request
from blacksheep.messages import Response
import msgspec

from burdockdrum.endpoints import Announcement
from burdockdrum.endpoints import EndpointRegistry
from burdockdrum.endpoints import Report
from burdockdrum.settings import Settings
from burdockdrum.web.authentication import Authenticator
from burdockdrum.web.reading import read_json
from burdockdrum.web.reading import route_value
from burdockdrum.web.responses import json_response


class Leaving(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """An endpoint that wants no new work."""

    incarnation: int


class EndpointFace:
    """The handlers of endpoints' messages."""

    def __init__(
        self,
        *,
        settings: Settings,
        authenticator: Authenticator,
        endpoints: EndpointRegistry,
    ) -> None:
        """Create the handlers."""
        self._limit = settings.limits.body_bytes
        self._authenticator = authenticator
        self._endpoints = endpoints

    async def announce(self, request: Request, request_id: str) -> Response:
        """Serve POST /v1/endpoints/announce."""
        self._authenticator.check_endpoint(request)
        announcement = await read_json(request, self._limit, Announcement)
        return json_response(self._endpoints.announce(announcement))

    async def report(self, request: Request, request_id: str) -> Response:
        """Serve POST /v1/endpoints/ID/report."""
        self._authenticator.check_endpoint(request)
        report = await read_json(request, self._limit, Report)
        endpoint_id = route_value(request, "endpoint_id")
        return json_response(self._endpoints.report(endpoint_id, report))

    async def leave(self, request: Request, request_id: str) -> Response:
        """Serve POST /v1/endpoints/ID/leave."""
        self._authenticator.check_endpoint(request)
        leaving = await read_json(request, self._limit, Leaving)
        endpoint_id = route_value(request, "endpoint_id")
        self._endpoints.leave(endpoint_id, leaving.incarnation)
        return json_response({"left": endpoint_id})

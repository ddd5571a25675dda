"""Handlers for endpoints: announce, report, leave."""

from blacksheep.messages import Request
from blacksheep.messages import Response
import msgspec

from burdockdrum.endpoints import Announcement
from burdockdrum.endpoints import EndpointRegistry
from burdockdrum.endpoints import Report
from burdockdrum.settings import Settings
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from burdockdrum.vms import VmDirectory
from burdockdrum.web.authentication import Authenticator
from burdockdrum.web.reading import path_parameter
from burdockdrum.web.reading import read_json
from burdockdrum.web.responses import json_response


class LeaveBody(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A message of an endpoint that starts draining."""

    incarnation: int


class EndpointHandlers:
    """Handlers for the messages of endpoints."""

    def __init__(
        self,
        *,
        settings: Settings,
        authenticator: Authenticator,
        endpoints: EndpointRegistry,
        vms: VmDirectory,
    ) -> None:
        """Create the handlers."""
        self._limit = settings.limits.body_bytes
        self._authenticator = authenticator
        self._endpoints = endpoints
        self._vms = vms

    async def announce(self, request: Request, request_id: str) -> Response:
        """Serve POST /v1/endpoints/announce."""
        self._authenticator.check_endpoint(request)
        self._check_not_draining()
        announcement = await read_json(request, self._limit, Announcement)
        return json_response(self._endpoints.announce(announcement))

    async def report(self, request: Request, request_id: str) -> Response:
        """Serve POST /v1/endpoints/ID/report."""
        self._authenticator.check_endpoint(request)
        self._check_not_draining()
        report = await read_json(request, self._limit, Report)
        endpoint_id = path_parameter(request, "endpoint_id")
        return json_response(self._endpoints.report(endpoint_id, report))

    async def leave(self, request: Request, request_id: str) -> Response:
        """Serve POST /v1/endpoints/ID/leave."""
        self._authenticator.check_endpoint(request)
        body = await read_json(request, self._limit, LeaveBody)
        endpoint_id = path_parameter(request, "endpoint_id")
        self._endpoints.start_draining(endpoint_id, body.incarnation)
        return json_response({"left": endpoint_id})

    def _check_not_draining(self) -> None:
        # Endpoints that report to a draining VM have to switch before it
        # exits; otherwise no VM would know them until their next report.
        if not self._vms.draining:
            return
        local_vms = self._vms.vms_in(self._vms.identity.data_centre)
        if any(not view.draining for view in local_vms):
            raise Refusal(
                code=RefusalCode.DRAINING,
                message="this entry VM is shutting down; report to another",
                verdict=Verdict.NOT_RUN,
                retry_after=1.0,
            )

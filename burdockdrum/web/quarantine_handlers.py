"""Handlers for operators who list and lift quarantines."""

from blacksheep.messages import Request
from blacksheep.messages import Response

from burdockdrum.quarantine import Quarantine
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from burdockdrum.web.authentication import Authenticator
from burdockdrum.web.reading import path_parameter
from burdockdrum.web.responses import json_response


class QuarantineHandlers:
    """Handlers for the quarantine of requests that crash endpoints."""

    def __init__(
        self, *, authenticator: Authenticator, quarantine: Quarantine
    ) -> None:
        """Create the handlers."""
        self._authenticator = authenticator
        self._quarantine = quarantine

    async def list(self, request: Request, request_id: str) -> Response:
        """Serve GET /v1/quarantine: suspect and quarantined requests."""
        self._authenticator.find_operator(request)
        return json_response(self._quarantine.entries())

    async def lift(self, request: Request, request_id: str) -> Response:
        """Serve DELETE /v1/quarantine/FINGERPRINT: lift it on all VMs."""
        self._authenticator.find_operator(request)
        fingerprint = path_parameter(request, "fingerprint")
        if not self._quarantine.lift(fingerprint):
            raise Refusal(
                code=RefusalCode.NOT_FOUND,
                message=f"{fingerprint!r} is neither suspect nor quarantined "
                "here; the order to lift it was sent to other VMs anyway",
                verdict=Verdict.NOT_RUN,
            )
        return Response(204)

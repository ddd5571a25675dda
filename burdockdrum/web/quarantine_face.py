"""What operators use to see and lift quarantines."""

from blacksheep.messages import Request
from blacksheep.messages import Response

from burdockdrum.quarantine import Quarantine
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from burdockdrum.web.authentication import Authenticator
from burdockdrum.web.reading import route_value
from burdockdrum.web.responses import json_response


class QuarantineFace:
    """The handlers of operators' requests about crashing requests."""

    def __init__(
        self, *, authenticator: Authenticator, quarantine: Quarantine
    ) -> None:
        """Create the handlers."""
        self._authenticator = authenticator
        self._quarantine = quarantine

    async def list(self, request: Request, request_id: str) -> Response:
        """Serve GET /v1/quarantine: what this VM suspects and refuses."""
        self._authenticator.find_operator(request)
        return json_response(self._quarantine.entries())

    async def lift(self, request: Request, request_id: str) -> Response:
        """Serve DELETE /v1/quarantine/FINGERPRINT, for all VMs."""
        self._authenticator.find_operator(request)
        fingerprint = route_value(request, "fingerprint")
        if not self._quarantine.lift(fingerprint):
            raise Refusal(
                code=RefusalCode.NOT_FOUND,
                message=f"{fingerprint!r} is neither suspect nor quarantined "
                "here; other VMs were told to lift it all the same",
                verdict=Verdict.NOT_RUN,
            )
        return Response(204)

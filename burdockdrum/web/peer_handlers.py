"""The handler for requests forwarded by entry VMs of other data centres."""

from blacksheep.messages import Request
from blacksheep.messages import Response

from burdockdrum.peers import Seal
from burdockdrum.ports import Clock
from burdockdrum.requests import FORWARD_HEADER
from burdockdrum.requests import open_header
from burdockdrum.requests import RequestService
from burdockdrum.settings import Settings
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from burdockdrum.web.reading import header
from burdockdrum.web.reading import read_body
from burdockdrum.web.streaming import respond


class PeerHandlers:
    """The handler for requests forwarded by another data centre."""

    def __init__(
        self,
        *,
        settings: Settings,
        seal: Seal,
        clock: Clock,
        requests: RequestService,
    ) -> None:
        """Create the handler."""
        self._limit = settings.limits.body_bytes
        self._seal = seal
        self._clock = clock
        self._requests = requests

    async def forward(self, request: Request, request_id: str) -> Response:
        """Serve POST /v1/forward.

        The request is checked again, including residency and hop count, as
        the sender's configuration may be older than this VM's.
        """
        body = await read_body(request, self._limit)
        text = header(request, FORWARD_HEADER) or ""
        forwarded = open_header(self._seal, text, body)
        if forwarded is None:
            raise Refusal(
                code=RefusalCode.UNAUTHENTICATED,
                message="the forward header is missing or has no valid seal",
                verdict=Verdict.NOT_RUN,
            )
        inbound = forwarded.to_request(body, now=self._clock.monotonic())
        return await respond(
            request, inbound, self._requests, inbound.request_id
        )

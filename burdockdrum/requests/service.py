"""Serve a request: check, choose an endpoint, relay the answer."""

from collections.abc import AsyncIterator
import random

from burdockdrum.configuration import ConfigurationService
from burdockdrum.endpoints import Endpoint
from burdockdrum.endpoints import EndpointRegistry
from burdockdrum.peers import Seal
from burdockdrum.ports import AnswerLost
from burdockdrum.ports import Clock
from burdockdrum.ports import ConnectFailed
from burdockdrum.ports import HttpClient
from burdockdrum.ports import UpstreamAnswer
from burdockdrum.ports import UpstreamCall
from burdockdrum.requests.forwarding import FORWARD_HEADER
from burdockdrum.requests.forwarding import ForwardHeader
from burdockdrum.requests.forwarding import seal_header
from burdockdrum.requests.model import Answer
from burdockdrum.requests.model import InboundRequest
from burdockdrum.timeline import Timeline
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from burdockdrum.vms import VmDirectory
from burdockdrum.vms import VmView

MAX_HOPS = 2


class RequestService:
    """Give each accepted request one complete answer or a refusal."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        http: HttpClient,
        seal: Seal,
        timeline: Timeline,
        configuration: ConfigurationService,
        endpoints: EndpointRegistry,
        vms: VmDirectory,
    ) -> None:
        """Create the service."""
        self._clock = clock
        self._rng = rng
        self._http = http
        self._seal = seal
        self._timeline = timeline
        self._configuration = configuration
        self._endpoints = endpoints
        self._vms = vms

    async def handle(self, request: InboundRequest) -> Answer:
        """Serve a request.

        :raises Refusal: with the verdict, if there is no answer
        """
        self._timeline.record(
            "request.received",
            request_id=request.request_id,
            service=request.service,
        )
        regions = self._allowed_regions(request)
        if self._vms.identity.region in regions:
            candidates = self._endpoints.candidates(request.service)
            if candidates:
                endpoint = self._rng.choice(candidates)
                return await self._attempt(request, endpoint)
        for view in self._remote_entries(request, regions):
            return await self._forward(request, view)
        raise Refusal(
            code=RefusalCode.NO_ENDPOINT,
            message=(
                f"no live endpoint of {request.service!r} in the regions "
                f"that the client's residency allows: {sorted(regions)}"
            ),
            verdict=Verdict.NOT_RUN,
            retry_after=1.0,
        )

    def _allowed_regions(self, request: InboundRequest) -> set[str]:
        configuration = self._configuration.current
        client = configuration.clients_by_id.get(request.client_id)
        if client is None:
            raise Refusal(
                code=RefusalCode.UNKNOWN_CLIENT,
                message=f"there is no client {request.client_id!r}",
                verdict=Verdict.NOT_RUN,
            )
        service = configuration.services_by_name.get(request.service)
        if service is None:
            raise Refusal(
                code=RefusalCode.UNKNOWN_SERVICE,
                message=f"there is no service {request.service!r}",
                verdict=Verdict.NOT_RUN,
            )
        return set(client.residency) & set(service.regions)

    def _remote_entries(
        self, request: InboundRequest, regions: set[str]
    ) -> list[VmView]:
        if len(request.hops) >= MAX_HOPS:
            return []
        return [
            view
            for view in self._vms.live_vms()[1:]
            if view.identity.region in regions
            and view.identity.data_centre not in request.hops
            and view.identity.data_centre != self._vms.identity.data_centre
            and not view.draining
            and any(s.service == request.service for s in view.services)
        ]

    async def _attempt(
        self, request: InboundRequest, endpoint: Endpoint
    ) -> Answer:
        call = UpstreamCall(
            method=request.method,
            url=endpoint.url + request.path,
            headers={
                "content-type": request.content_type,
                "x-request-id": request.request_id,
            },
            body=request.body,
        )
        return await self._open(request, call)

    async def _forward(self, request: InboundRequest, view: VmView) -> Answer:
        header = ForwardHeader.from_request(
            request,
            data_centre=self._vms.identity.data_centre,
            now=self._clock.monotonic(),
        )
        call = UpstreamCall(
            method="POST",
            url=view.identity.http_address + "/v1/forward",
            headers={
                "content-type": request.content_type,
                FORWARD_HEADER: seal_header(self._seal, header, request.body),
            },
            body=request.body,
        )
        self._timeline.record(
            "request.forwarded",
            request_id=request.request_id,
            to=view.identity.vm_id,
        )
        return await self._open(request, call)

    async def _open(
        self, request: InboundRequest, call: UpstreamCall
    ) -> Answer:
        try:
            upstream = await self._http.open(call)
        except ConnectFailed as error:
            raise Refusal(
                code=RefusalCode.NO_ENDPOINT,
                message=f"could not connect: {error}",
                verdict=Verdict.NOT_RUN,
                retry_after=1.0,
            ) from error
        except AnswerLost as error:
            raise Refusal(
                code=RefusalCode.ENDPOINT_LOST,
                message=f"no answer came: {error}",
                verdict=Verdict.MAY_HAVE_RUN,
            ) from error
        return Answer(
            status=upstream.status,
            content_type=upstream.headers.get("content-type", ""),
            body=self._relay(request, upstream),
        )

    async def _relay(
        self, request: InboundRequest, upstream: UpstreamAnswer
    ) -> AsyncIterator[bytes]:
        try:
            async for chunk in upstream.chunks():
                yield chunk
            self._timeline.record(
                "request.answered", request_id=request.request_id
            )
        finally:
            await upstream.close()

"""Serve a request: check, choose an endpoint, relay the answer."""

from collections.abc import AsyncIterator

from burdockdrum.admission import Admission
from burdockdrum.admission import Permit
from burdockdrum.configuration import ConfigurationService
from burdockdrum.peers import Seal
from burdockdrum.peers import VmIdentity
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
from burdockdrum.routing import Attempt
from burdockdrum.routing import AttemptOutcome
from burdockdrum.routing import Demand
from burdockdrum.routing import Nowhere
from burdockdrum.routing import Router
from burdockdrum.routing import ToDataCentre
from burdockdrum.routing import ToEndpoint
from burdockdrum.timeline import Timeline
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from burdockdrum.vms import VmDirectory


class RequestService:
    """Give each accepted request one complete answer or a refusal."""

    def __init__(
        self,
        *,
        clock: Clock,
        http: HttpClient,
        seal: Seal,
        timeline: Timeline,
        configuration: ConfigurationService,
        vms: VmDirectory,
        admission: Admission,
        router: Router,
    ) -> None:
        """Create the service."""
        self._clock = clock
        self._http = http
        self._seal = seal
        self._timeline = timeline
        self._configuration = configuration
        self._vms = vms
        self._admission = admission
        self._router = router

    async def handle(self, request: InboundRequest) -> Answer:
        """Serve a request.

        :raises Refusal: with the verdict, if there is no answer
        """
        self._timeline.record(
            "request.received",
            request_id=request.request_id,
            service=request.service,
        )
        demand = self._make_demand(request)
        permit = await self._admission.admit(request.client_id, demand)
        match self._router.choose(demand):
            case ToEndpoint(endpoint=endpoint):
                attempt = self._router.begin(endpoint, demand)
                return await self._attempt(request, attempt, permit)
            case ToDataCentre(entries=entries):
                return await self._forward(request, entries[0], permit)
            case Nowhere() as nowhere:
                permit.release(completed=False)
                raise _refuse(nowhere)

    def _make_demand(self, request: InboundRequest) -> Demand:
        return Demand(
            service=request.service,
            regions=frozenset(self._allowed_regions(request)),
            deadline=request.deadline,
            adapter=request.adapter,
            prompt_tokens=request.prompt_tokens,
            max_tokens=request.max_tokens,
            prefix_hashes=request.prefix_hashes,
            repeatable=not request.unrepeatable,
            hops=request.hops,
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

    async def _attempt(
        self, request: InboundRequest, attempt: Attempt, permit: Permit
    ) -> Answer:
        headers = {
            "content-type": request.content_type,
            "x-request-id": request.request_id,
        }
        if request.idempotency_key is not None:
            headers["idempotency-key"] = request.idempotency_key
        call = UpstreamCall(
            method=request.method,
            url=attempt.endpoint.url + request.path,
            headers=headers,
            body=request.body,
        )
        return await self._open(request, call, permit, attempt)

    async def _forward(
        self, request: InboundRequest, entry: VmIdentity, permit: Permit
    ) -> Answer:
        header = ForwardHeader.from_request(
            request,
            data_centre=self._vms.identity.data_centre,
            now=self._clock.monotonic(),
        )
        call = UpstreamCall(
            method="POST",
            url=entry.http_address + "/v1/forward",
            headers={
                "content-type": request.content_type,
                FORWARD_HEADER: seal_header(self._seal, header, request.body),
            },
            body=request.body,
        )
        self._timeline.record(
            "request.forwarded", request_id=request.request_id, to=entry.vm_id
        )
        return await self._open(request, call, permit, None)

    async def _open(
        self,
        request: InboundRequest,
        call: UpstreamCall,
        permit: Permit,
        attempt: Attempt | None,
    ) -> Answer:
        try:
            upstream = await self._http.open(call)
        except ConnectFailed as error:
            _finish(attempt, AttemptOutcome.UNREACHABLE)
            permit.release(completed=False)
            raise Refusal(
                code=RefusalCode.NO_ENDPOINT,
                message=f"could not connect: {error}",
                verdict=Verdict.NOT_RUN,
                retry_after=1.0,
            ) from error
        except AnswerLost as error:
            _finish(attempt, AttemptOutcome.FAILED)
            permit.release(completed=False)
            raise Refusal(
                code=RefusalCode.ENDPOINT_LOST,
                message=f"no answer came: {error}",
                verdict=Verdict.MAY_HAVE_RUN,
            ) from error
        return Answer(
            status=upstream.status,
            content_type=upstream.headers.get("content-type", ""),
            body=self._relay(request, upstream, permit, attempt),
        )

    async def _relay(
        self,
        request: InboundRequest,
        upstream: UpstreamAnswer,
        permit: Permit,
        attempt: Attempt | None,
    ) -> AsyncIterator[bytes]:
        outcome = AttemptOutcome.FAILED
        try:
            async for chunk in upstream.chunks():
                if attempt is not None:
                    attempt.note_first_token()
                yield chunk
            outcome = AttemptOutcome.COMPLETED
            self._timeline.record(
                "request.answered", request_id=request.request_id
            )
        finally:
            completed = outcome is AttemptOutcome.COMPLETED
            _finish(attempt, outcome)
            permit.release(completed=completed)
            await upstream.close()


def _finish(attempt: Attempt | None, outcome: AttemptOutcome) -> None:
    if attempt is not None:
        attempt.finish(outcome)


def _refuse(nowhere: Nowhere) -> Refusal:
    code = RefusalCode.OVERLOADED
    if nowhere.loop:
        code = RefusalCode.LOOP
    elif nowhere.no_endpoint:
        code = RefusalCode.NO_ENDPOINT
    elif nowhere.missed_deadline:
        code = RefusalCode.DEADLINE
    return Refusal(
        code=code,
        message=nowhere.message,
        verdict=Verdict.NOT_RUN,
        retry_after=nowhere.retry_after,
    )

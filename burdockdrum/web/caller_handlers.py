"""Handlers for callers: completions, models, plain services, entry VMs."""

import random

from blacksheep.messages import Request
from blacksheep.messages import Response
import msgspec

from burdockdrum.claims import Claims
from burdockdrum.claims import RETENTION_SECONDS
from burdockdrum.configuration import ConfigurationService
from burdockdrum.ports import Clock
from burdockdrum.requests import InboundRequest
from burdockdrum.requests import RequestKind
from burdockdrum.requests import RequestService
from burdockdrum.settings import Settings
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from burdockdrum.vms import select_entries
from burdockdrum.vms import VmDirectory
from burdockdrum.web.authentication import Authenticator
from burdockdrum.web.parsing import is_unrepeatable_path
from burdockdrum.web.parsing import make_plain_request
from burdockdrum.web.parsing import parse_completion
from burdockdrum.web.parsing import parse_headers
from burdockdrum.web.parsing import PriorityClasses
from burdockdrum.web.reading import query_parameter
from burdockdrum.web.reading import read_body
from burdockdrum.web.responses import json_response
from burdockdrum.web.streaming import respond

SERVICES_PREFIX = "/services/"


class ModelEntry(msgspec.Struct, frozen=True):
    """A model in the format of the OpenAI API."""

    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "burdockdrum"


class ModelList(msgspec.Struct, frozen=True):
    """A list of models in the format of the OpenAI API."""

    data: list[ModelEntry]
    object: str = "list"


class Ticket(msgspec.Struct, frozen=True, kw_only=True):
    """A key for an unrepeatable request, and how long it is retained."""

    idempotency_key: str
    remembered_seconds: float


class CallerHandlers:
    """Handlers for the requests of callers."""

    def __init__(
        self,
        *,
        settings: Settings,
        clock: Clock,
        rng: random.Random,
        authenticator: Authenticator,
        configuration: ConfigurationService,
        requests: RequestService,
        claims: Claims,
        vms: VmDirectory,
    ) -> None:
        """Create the handlers."""
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._authenticator = authenticator
        self._configuration = configuration
        self._requests = requests
        self._claims = claims
        self._vms = vms

    async def chat(self, request: Request, request_id: str) -> Response:
        """Serve POST /v1/chat/completions."""
        return await self._complete(request, request_id, RequestKind.CHAT)

    async def complete(self, request: Request, request_id: str) -> Response:
        """Serve POST /v1/completions."""
        kind = RequestKind.COMPLETION
        return await self._complete(request, request_id, kind)

    async def call_plain(self, request: Request, request_id: str) -> Response:
        """Serve any method on /services/SERVICE/PATH."""
        client_id = await self._authenticator.identify_client(request)
        body = await read_body(request, self._settings.limits.body_bytes)
        path = request.url.path.decode()
        service, _, rest = path.removeprefix(SERVICES_PREFIX).partition("/")
        spec = self._configuration.current.services_by_name.get(service)
        headers = parse_headers(
            request,
            self._settings,
            self._get_priority_classes(client_id),
            always_unrepeatable=spec is not None
            and is_unrepeatable_path(spec, request.method, "/" + rest),
        )
        inbound = make_plain_request(
            request,
            request_id=request_id,
            client_id=client_id,
            service=service,
            rest=rest,
            body=body,
            headers=headers,
            now=self._clock.monotonic(),
        )
        return await respond(request, inbound, self._requests, request_id)

    async def issue_ticket(
        self, request: Request, request_id: str
    ) -> Response:
        """Serve POST /v1/tickets: issue an unused idempotency key."""
        client_id = await self._authenticator.identify_client(request)
        ticket = await self._claims.issue_ticket(client_id)
        return json_response(
            Ticket(
                idempotency_key=ticket,
                remembered_seconds=RETENTION_SECONDS,
            )
        )

    async def list_models(self, request: Request, request_id: str) -> Response:
        """Serve GET /v1/models: models the client's residency allows."""
        client_id = await self._authenticator.identify_client(request)
        configuration = self._configuration.current
        client = configuration.clients_by_id[client_id]
        allowed = set(client.residency)
        names = [
            name
            for name, service in configuration.services_by_name.items()
            if service.type == "model" and allowed & set(service.regions)
        ]
        return json_response(
            ModelList(data=[ModelEntry(id=name) for name in sorted(names)])
        )

    async def list_entries(
        self, request: Request, request_id: str
    ) -> Response:
        """Serve GET /v1/entries: entry VMs to use, and for how long."""
        self._check_any_token(request)
        identity = self._vms.identity
        entries = select_entries(
            views=self._vms.live_vms(),
            region=query_parameter(request, "region") or identity.region,
            data_centre=query_parameter(request, "data_centre")
            or identity.data_centre,
            rng=self._rng,
        )
        return json_response(entries)

    def _check_any_token(self, request: Request) -> None:
        try:
            self._authenticator.find_client(request)
        except Refusal:
            self._authenticator.find_operator(request)

    async def _complete(
        self, request: Request, request_id: str, kind: RequestKind
    ) -> Response:
        client_id = await self._authenticator.identify_client(request)
        body = await read_body(request, self._settings.limits.body_bytes)
        inbound = parse_completion(
            request=request,
            request_id=request_id,
            client_id=client_id,
            kind=kind,
            body=body,
            settings=self._settings,
            classes=self._get_priority_classes(client_id),
            clock=self._clock,
        )
        self._check_model_service(inbound)
        return await respond(request, inbound, self._requests, request_id)

    def _get_priority_classes(self, client_id: str) -> PriorityClasses:
        configuration = self._configuration.current
        return PriorityClasses(
            client=configuration.clients_by_id[client_id],
            specs_by_name=configuration.priority_classes_by_name,
        )

    def _check_model_service(self, inbound: InboundRequest) -> None:
        services = self._configuration.current.services_by_name
        service = services.get(inbound.service)
        if service is not None and service.type != "model":
            raise Refusal(
                code=RefusalCode.UNKNOWN_SERVICE,
                message=f"{inbound.service!r} is a plain service; its path "
                f"is {SERVICES_PREFIX}{inbound.service}/",
                verdict=Verdict.NOT_RUN,
            )

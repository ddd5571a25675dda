"""What operators use: resources, status, the time line, drains."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import secrets
from typing import Any

from blacksheep.contents import StreamedContent
from blacksheep.messages import Request
from blacksheep.messages import Response
import msgspec

from burdockdrum.configuration import ChangeUnknown
from burdockdrum.configuration import ConfigurationService
from burdockdrum.endpoints import EndpointRegistry
from burdockdrum.metrics import Metrics
from burdockdrum.resources import Change
from burdockdrum.resources import ChangeResult
from burdockdrum.resources import Configuration
from burdockdrum.resources import Delete
from burdockdrum.resources import parse_spec
from burdockdrum.resources import Put
from burdockdrum.resources import Resource
from burdockdrum.resources import ResourceError
from burdockdrum.resources import ResourceKey
from burdockdrum.settings import Settings
from burdockdrum.timeline import Timeline
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from burdockdrum.vms import VmDirectory
from burdockdrum.web.authentication import Authenticator
from burdockdrum.web.reading import bad_request
from burdockdrum.web.reading import query
from burdockdrum.web.reading import read_json
from burdockdrum.web.reading import route_value
from burdockdrum.web.responses import json_response
from burdockdrum.web.responses import text_response

_STATUS_BY_CODE = {"accepted": 200, "conflict": 409, "invalid": 422}
_MAX_CHANGE_ID = 128


class PutBody(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """What an operator sends to put a resource."""

    spec: dict[str, Any]
    resource_version: int = 0
    change_id: str = ""


class DeleteBody(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """What an operator sends to delete a resource."""

    resource_version: int
    change_id: str = ""


class ResourceStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Where a resource's accepted state is in force."""

    in_force_here: bool
    in_force_at: list[str]
    not_in_force_at: list[str]


class ResourceView(msgspec.Struct, frozen=True, kw_only=True):
    """A resource as an operator reads it: desired and in force apart."""

    resource: Resource
    status: ResourceStatus


class WatchEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One resource that changed; ``resource`` is None when deleted."""

    revision: int
    kind: str
    name: str
    resource: Resource | None


class OperatorFace:
    """The handlers of operators' requests."""

    def __init__(
        self,
        *,
        settings: Settings,
        authenticator: Authenticator,
        configuration: ConfigurationService,
        endpoints: EndpointRegistry,
        vms: VmDirectory,
        timeline: Timeline,
        metrics: Metrics,
        begin_drain: Callable[[], None],
    ) -> None:
        """Create the handlers."""
        self._limit = settings.limits.body_bytes
        self._authenticator = authenticator
        self._configuration = configuration
        self._endpoints = endpoints
        self._vms = vms
        self._timeline = timeline
        self._metrics = metrics
        self._begin_drain = begin_drain

    async def put(self, request: Request, request_id: str) -> Response:
        """Serve PUT /v1/resources/KIND/NAME."""
        self._authenticator.find_operator(request)
        body = await read_json(request, self._limit, PutBody)
        key = _read_key(request)
        try:
            spec = parse_spec(key.kind, body.spec)
        except ResourceError as error:
            raise bad_request(str(error)) from None
        change = Put(
            change_id=_check_change_id(body.change_id),
            kind=key.kind,
            name=key.name,
            expected_version=body.resource_version,
            spec=spec,
        )
        return await self._change(change)

    async def delete(self, request: Request, request_id: str) -> Response:
        """Serve DELETE /v1/resources/KIND/NAME."""
        self._authenticator.find_operator(request)
        body = await read_json(request, self._limit, DeleteBody)
        key = _read_key(request)
        change = Delete(
            change_id=_check_change_id(body.change_id),
            kind=key.kind,
            name=key.name,
            expected_version=body.resource_version,
        )
        return await self._change(change)

    async def get(self, request: Request, request_id: str) -> Response:
        """Serve GET /v1/resources/KIND/NAME."""
        self._authenticator.find_operator(request)
        key = _read_key(request)
        resources = self._configuration.current.resources_by_key
        resource = resources.get(key)
        if resource is None:
            raise Refusal(
                code=RefusalCode.NOT_FOUND,
                message=f"there is no {key.kind} {key.name!r}",
                verdict=Verdict.NOT_RUN,
            )
        return json_response(self._view(resource))

    async def list(self, request: Request, request_id: str) -> Response:
        """Serve GET /v1/resources/KIND."""
        self._authenticator.find_operator(request)
        kind = route_value(request, "kind")
        resources = self._configuration.current.resources_by_key
        return json_response(
            [
                self._view(resource)
                for key, resource in sorted(resources.items())
                if key.kind == kind
            ]
        )

    async def watch(self, request: Request, request_id: str) -> Response:
        """Serve GET /v1/watch: an event a changed resource."""
        self._authenticator.find_operator(request)

        async def events() -> AsyncIterator[bytes]:
            queue: asyncio.Queue[Configuration] = asyncio.Queue()
            self._configuration.add_listener(queue.put_nowait)
            before = Configuration()
            after = self._configuration.current
            while True:
                for event in _compare(before, after):
                    yield b"data: " + msgspec.json.encode(event) + b"\n\n"
                before = after
                after = await queue.get()

        return Response(
            200, None, StreamedContent(b"text/event-stream", events)
        )

    async def list_endpoints(
        self, request: Request, request_id: str
    ) -> Response:
        """Serve GET /v1/endpoints: those this VM knows."""
        self._authenticator.find_operator(request)
        return json_response(list(self._endpoints.endpoints_by_id.values()))

    async def status(self, request: Request, request_id: str) -> Response:
        """Serve GET /v1/status: this VM and what it knows of others."""
        self._authenticator.find_operator(request)
        return json_response(
            {
                "vm": self._vms.identity,
                "draining": self._vms.draining,
                "revision": self._configuration.current.revision,
                "vms": self._vms.live_vms(),
                "in_force_by_vm_id": self._configuration.in_force_by_vm_id,
            }
        )

    async def events(self, request: Request, request_id: str) -> Response:
        """Serve GET /v1/timeline: the events of this process."""
        self._authenticator.find_operator(request)
        revision = query(request, "revision")
        return json_response(
            self._timeline.events(
                prefix=query(request, "prefix") or "",
                request_id=query(request, "request_id"),
                revision=int(revision) if revision else None,
            )
        )

    async def drain(self, request: Request, request_id: str) -> Response:
        """Serve POST /v1/drain: this VM finishes its work and exits."""
        self._authenticator.find_operator(request)
        self._begin_drain()
        return json_response({"draining": self._vms.identity.vm_id})

    async def metrics(self, request: Request, request_id: str) -> Response:
        """Serve GET /metrics in the usual text format."""
        return text_response(self._metrics.text())

    async def _change(self, change: Change) -> Response:
        try:
            result = await self._configuration.change(change)
        except ChangeUnknown as error:
            raise Refusal(
                code=RefusalCode.CONFIGURATION_STALE,
                message=f"{error}; send it again with the same change_id",
                verdict=Verdict.MAY_HAVE_RUN,
                retry_after=1.0,
            ) from error
        return _change_response(result)

    def _view(self, resource: Resource) -> ResourceView:
        revisions = self._configuration.in_force_by_vm_id
        reached = [
            vm_id
            for vm_id, revision in revisions.items()
            if revision >= resource.version
        ]
        return ResourceView(
            resource=resource,
            status=ResourceStatus(
                in_force_here=True,
                in_force_at=sorted(reached),
                not_in_force_at=sorted(set(revisions) - set(reached)),
            ),
        )


def _change_response(result: ChangeResult) -> Response:
    return json_response(result, status=_STATUS_BY_CODE[result.code])


def _read_key(request: Request) -> ResourceKey:
    return ResourceKey(
        route_value(request, "kind"), route_value(request, "name")
    )


def _check_change_id(change_id: str) -> str:
    if len(change_id) > _MAX_CHANGE_ID:
        raise bad_request(f"change_id is over {_MAX_CHANGE_ID} characters")
    return change_id or secrets.token_hex(16)


def _compare(before: Configuration, after: Configuration) -> list[WatchEvent]:
    events = [
        WatchEvent(
            revision=resource.version,
            kind=key.kind,
            name=key.name,
            resource=resource,
        )
        for key, resource in after.resources_by_key.items()
        if before.resources_by_key.get(key) != resource
    ]
    events.sort(key=lambda event: event.revision)
    for key in before.resources_by_key.keys() - after.resources_by_key.keys():
        events.append(
            WatchEvent(
                revision=after.revision,
                kind=key.kind,
                name=key.name,
                resource=None,
            )
        )
    return events

"""Handlers for operators: resources, status, timeline, draining."""

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterable
import secrets
from typing import Any

from blacksheep.contents import StreamedContent
from blacksheep.messages import Request
from blacksheep.messages import Response
import msgspec

from burdockdrum.configuration import ChangeNotAccepted
from burdockdrum.configuration import ChangeOutcomeUnknown
from burdockdrum.configuration import ConfigurationService
from burdockdrum.configuration import RevisionGone
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
from burdockdrum.resources import ResourceRevision
from burdockdrum.settings import Settings
from burdockdrum.timeline import Timeline
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from burdockdrum.vms import VmDirectory
from burdockdrum.web.authentication import Authenticator
from burdockdrum.web.reading import bad_request
from burdockdrum.web.reading import header
from burdockdrum.web.reading import path_parameter
from burdockdrum.web.reading import query_parameter
from burdockdrum.web.reading import read_count
from burdockdrum.web.reading import read_json
from burdockdrum.web.responses import json_response
from burdockdrum.web.responses import text_response
from burdockdrum.web.streaming import stream_until_disconnect

_STATUS_BY_CODE = {"accepted": 200, "conflict": 409, "invalid": 422}
_GONE_STATUS = 410
_MAX_CHANGE_ID_LENGTH = 128


class PutBody(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The body of a request to put a resource."""

    spec: dict[str, Any]
    resource_version: int = 0
    change_id: str = ""


class DeleteBody(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The body of a request to delete a resource."""

    resource_version: int
    change_id: str = ""


class ResourceStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The VMs at which a resource's accepted state is in force."""

    in_force_here: bool
    in_force_at: list[str]
    not_in_force_at: list[str]


class ResourceView(msgspec.Struct, frozen=True, kw_only=True):
    """A resource's desired state, and where it is in force."""

    resource: Resource
    status: ResourceStatus


class WatchGone(msgspec.Struct, frozen=True, kw_only=True):
    """The response to a watch from a revision that is no longer stored."""

    message: str
    request_id: str
    oldest_revision: int
    code: str = "revision_gone"
    verdict: str = Verdict.NOT_RUN.value


class OperatorHandlers:
    """Handlers for the requests of operators."""

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
        revisions = await self._configuration.fetch_in_force()
        return json_response(_make_resource_view(resource, revisions))

    async def list(self, request: Request, request_id: str) -> Response:
        """Serve GET /v1/resources/KIND."""
        self._authenticator.find_operator(request)
        kind = path_parameter(request, "kind")
        resources = self._configuration.current.resources_by_key
        revisions = await self._configuration.fetch_in_force()
        return json_response(
            [
                _make_resource_view(resource, revisions)
                for key, resource in sorted(resources.items())
                if key.kind == kind
            ]
        )

    async def watch(self, request: Request, request_id: str) -> Response:
        """Serve GET /v1/watch: an event for each change of a resource.

        Starts after the query's ``revision`` or the ``Last-Event-ID`` of an
        interrupted watch; without either, sends all resources first.
        """
        self._authenticator.find_operator(request)
        revision = _read_revision(request)
        current = self._configuration.current
        first = []
        if revision is None:
            first = _list_events(current)
            revision = current.revision
        try:
            self._configuration.changes_after(revision)
        except RevisionGone as gone:
            return _gone_response(gone, request_id)
        events = self._watch_events(first, revision)
        body = stream_until_disconnect(request, events)
        content = StreamedContent(b"text/event-stream", body)
        return Response(200, None, content)

    async def _watch_events(
        self, first: Iterable[ResourceRevision], revision: int
    ) -> AsyncIterator[bytes]:
        for change in first:
            yield _encode_event(change)
        try:
            async for change in self._configuration.watch(revision):
                yield _encode_event(change)
        except RevisionGone as gone:
            # The watcher fell behind the revisions that are stored.
            message = msgspec.json.encode({"message": str(gone)})
            yield b"event: gone\ndata: " + message + b"\n\n"

    async def list_endpoints(
        self, request: Request, request_id: str
    ) -> Response:
        """Serve GET /v1/endpoints: the endpoints known to this VM."""
        self._authenticator.find_operator(request)
        return json_response(list(self._endpoints.endpoints_by_id.values()))

    async def status(self, request: Request, request_id: str) -> Response:
        """Serve GET /v1/status: this VM's state and its view of others."""
        self._authenticator.find_operator(request)
        in_force_by_vm_id = await self._configuration.fetch_in_force()
        return json_response(
            {
                "vm": self._vms.identity,
                "draining": self._vms.draining,
                "revision": self._configuration.current.revision,
                "configuration": self._configuration.status(),
                "vms": self._vms.live_vms(),
                "in_force_by_vm_id": in_force_by_vm_id,
            }
        )

    async def events(self, request: Request, request_id: str) -> Response:
        """Serve GET /v1/timeline: the events of this process."""
        self._authenticator.find_operator(request)
        revision = query_parameter(request, "revision")
        return json_response(
            self._timeline.events(
                prefix=query_parameter(request, "prefix") or "",
                request_id=query_parameter(request, "request_id"),
                revision=read_count("revision", revision)
                if revision
                else None,
            )
        )

    async def drain(self, request: Request, request_id: str) -> Response:
        """Serve POST /v1/drain: this VM finishes its work and exits."""
        self._authenticator.find_operator(request)
        self._begin_drain()
        return json_response({"draining": self._vms.identity.vm_id})

    async def metrics(self, request: Request, request_id: str) -> Response:
        """Serve GET /metrics in the Prometheus text format."""
        return text_response(self._metrics.text())

    async def _change(self, change: Change) -> Response:
        try:
            result = await self._configuration.change(change)
        except ChangeOutcomeUnknown as error:
            raise Refusal(
                code=RefusalCode.CONFIGURATION_STALE,
                message=f"{error}; retry with the same change_id",
                verdict=Verdict.MAY_HAVE_RUN,
                retry_after=1.0,
            ) from error
        except ChangeNotAccepted as error:
            raise Refusal(
                code=RefusalCode.CONFIGURATION_STALE,
                message=f"the change was not accepted: {error}",
                verdict=Verdict.NOT_RUN,
                retry_after=1.0,
            ) from error
        return _change_response(result)


def _make_resource_view(
    resource: Resource, revisions: dict[str, int]
) -> ResourceView:
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
        path_parameter(request, "kind"), path_parameter(request, "name")
    )


def _check_change_id(change_id: str) -> str:
    if len(change_id) > _MAX_CHANGE_ID_LENGTH:
        raise bad_request(
            f"change_id is over {_MAX_CHANGE_ID_LENGTH} characters"
        )
    return change_id or secrets.token_hex(16)


def _read_revision(request: Request) -> int | None:
    for field, value in (
        ("Last-Event-ID", header(request, "last-event-id")),
        ("revision", query_parameter(request, "revision")),
    ):
        if value:
            return read_count(field, value)
    return None


def _list_events(configuration: Configuration) -> list[ResourceRevision]:
    # Sorted by version, so that an interrupted watch can resume after the id
    # of any event.
    resources = sorted(
        configuration.resources_by_key.values(),
        key=lambda resource: resource.version,
    )
    return [
        ResourceRevision(
            revision=resource.version,
            kind=resource.kind,
            name=resource.name,
            resource=resource,
        )
        for resource in resources
    ]


def _encode_event(change: ResourceRevision) -> bytes:
    data = msgspec.json.encode(change)
    return b"id: %d\ndata: %b\n\n" % (change.revision, data)


def _gone_response(gone: RevisionGone, request_id: str) -> Response:
    body = WatchGone(
        message=str(gone), request_id=request_id, oldest_revision=gone.oldest
    )
    return json_response({"error": body}, status=_GONE_STATUS)

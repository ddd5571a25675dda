"""The ASGI application and its routes."""

import functools

from blacksheep import Application
from blacksheep.messages import Request
from blacksheep.messages import Response
from blacksheep.server.routing import Router

from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from burdockdrum.vms import Drain
from burdockdrum.web.caller_handlers import CallerHandlers
from burdockdrum.web.control_handlers import ControlHandlers
from burdockdrum.web.counting import CountingApplication
from burdockdrum.web.endpoint_handlers import EndpointHandlers
from burdockdrum.web.guard import guard
from burdockdrum.web.operator_handlers import OperatorHandlers
from burdockdrum.web.peer_handlers import PeerHandlers
from burdockdrum.web.quarantine_handlers import QuarantineHandlers

PLAIN_SERVICE_METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE")


def build_application(
    *,
    callers: CallerHandlers,
    endpoints: EndpointHandlers,
    operators: OperatorHandlers,
    peers: PeerHandlers,
    quarantine: QuarantineHandlers,
    control: ControlHandlers,
    drain: Drain,
) -> Application:
    """Return the ASGI application of a daemon."""
    guard_work = functools.partial(guard, check=drain.check)
    # Applications in one process share a router by default.
    router = Router()
    application = CountingApplication(router=router, drain=drain)
    router.add_post("/v1/chat/completions", guard_work(callers.chat))
    router.add_post("/v1/completions", guard_work(callers.complete))
    router.add_get("/v1/models", guard(callers.list_models))
    router.add_get("/v1/entries", guard(callers.list_entries))
    router.add_post("/v1/tickets", guard_work(callers.issue_ticket))
    for method in PLAIN_SERVICE_METHODS:
        router.add(method, "/services/*", guard_work(callers.call_plain))

    router.add_post("/v1/endpoints/announce", guard(endpoints.announce))
    report = "/v1/endpoints/:endpoint_id/report"
    router.add_post(report, guard(endpoints.report))
    leave = "/v1/endpoints/:endpoint_id/leave"
    router.add_post(leave, guard(endpoints.leave))

    router.add_post("/v1/forward", guard_work(peers.forward))

    router.add_get("/v1/resources/:kind", guard(operators.list))
    resource = "/v1/resources/:kind/:name"
    router.add_get(resource, guard(operators.get))
    router.add_put(resource, guard(operators.put))
    router.add_delete(resource, guard(operators.delete))
    router.add_get("/v1/watch", guard(operators.watch))
    router.add_get("/v1/endpoints", guard(operators.list_endpoints))
    router.add_get("/v1/status", guard(operators.status))
    router.add_get("/v1/timeline", guard(operators.events))
    router.add_get("/v1/quarantine", guard(quarantine.list))
    router.add_delete("/v1/quarantine/:fingerprint", guard(quarantine.lift))
    router.add_get("/v1/control/members", guard(control.list))
    member = "/v1/control/members/:vm_id"
    router.add_put(member, guard(control.add))
    router.add_delete(member, guard(control.remove))
    router.add_post("/v1/drain", guard(operators.drain))
    router.add_get("/metrics", guard(operators.metrics))
    router.fallback = guard(_refuse_unknown)
    return application


async def _refuse_unknown(request: Request, request_id: str) -> Response:
    path = request.url.path.decode(errors="replace")
    raise Refusal(
        code=RefusalCode.NOT_FOUND,
        message=f"there is no route for {request.method} {path}",
        verdict=Verdict.NOT_RUN,
    )

"""Parse the head of a request, authenticate its caller and find its route."""

from collections.abc import Callable
from dataclasses import replace
import random
import secrets

from burdockdrum.callers import Caller
from burdockdrum.callers import CallerFinder
from burdockdrum.callers import NoCommonHomeRegion
from burdockdrum.callers import route_for
from burdockdrum.callers import stale_configuration_refusal
from burdockdrum.http1 import parse_count
from burdockdrum.http1 import RequestHead
from burdockdrum.passthrough.protocol.header_names import decode_version
from burdockdrum.passthrough.protocol.header_names import HeaderNames
from burdockdrum.passthrough.protocol.header_names import HOP_ATTEMPTS
from burdockdrum.passthrough.protocol.header_names import HOP_CHARGE
from burdockdrum.passthrough.protocol.header_names import HOP_REGION
from burdockdrum.passthrough.protocol.header_names import HOP_SERVICE
from burdockdrum.passthrough.protocol.header_names import HOP_TEAM
from burdockdrum.passthrough.protocol.header_names import HOP_VERSION
from burdockdrum.passthrough.protocol.hop_routes import HopRoutes
from burdockdrum.passthrough.protocol.hop_routes import RequestRoute
from burdockdrum.passthrough.protocol.hop_routes import residency_refusal
from burdockdrum.passthrough.protocol.model import HopCharge
from burdockdrum.passthrough.protocol.model import ProxiedRequest
from burdockdrum.passthrough.protocol.route_index import choose_service
from burdockdrum.passthrough.protocol.route_index import RouteIndex
from burdockdrum.passthrough.state import parse_prompt
from burdockdrum.ports import Clock
from burdockdrum.quotas import Charge
from burdockdrum.quotas import QuotaMeter
from burdockdrum.resources import Route
from burdockdrum.streams import StreamOrigin
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict

# Limits on how long a request waits for this VM to load its routes. The
# fraction leaves most of the caller's deadline for serving the request.
MAX_HOLD_SECONDS = 1.2
HOLD_DEADLINE_FRACTION = 0.4
# Longer ids of requests whose streams are taken up count as unknown.
MAX_REQUEST_ID_BYTES = 200
_MILLISECONDS_PER_SECOND = 1000.0


class RequestReader:
    """Builds a ``ProxiedRequest`` from the head of a request."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        names: HeaderNames,
        read_index: Callable[[], RouteIndex | None],
        callers: CallerFinder,
        meter: QuotaMeter,
    ) -> None:
        """Create a reader.

        :param read_index: returns the active routes, None if unknown
        """
        self._clock = clock
        self._rng = rng
        self._names = names
        self._read_index = read_index
        self._callers = callers
        self._meter = meter
        self._hop_routes = HopRoutes(names=names, callers=callers)

    def max_hold_seconds(self, head: RequestHead) -> float:
        """Return how long a request may wait for routes to be loaded."""
        deadline_ms = parse_count(head.find(self._names.deadline))
        if deadline_ms is None:
            return MAX_HOLD_SECONDS
        return min(
            MAX_HOLD_SECONDS,
            deadline_ms / _MILLISECONDS_PER_SECOND * HOLD_DEADLINE_FRACTION,
        )

    def read(self, head: RequestHead, *, is_hop: bool) -> ProxiedRequest:
        """Parse a request and charge it to the rate limit of its team.

        :param is_hop: whether another entry forwarded it
        :raises Refusal: with verdict "not run", if no route matches, the
            caller may not use it, or the rate limit is exceeded
        """
        index = self._read_index()
        if index is None:
            raise stale_configuration_refusal(
                "this VM has not loaded its routes yet"
            )
        found = self._hop_routes.find(head, index) if is_hop else None
        if found is None:
            found = self._find_route(head, index, is_hop=is_hop)
        route = found.route
        names = self._names
        seconds_left = route.timeout_seconds
        deadline_ms = parse_count(head.find(names.deadline))
        if deadline_ms is not None:
            seconds_left = min(
                seconds_left, deadline_ms / _MILLISECONDS_PER_SECOND
            )
        attempts = route.attempts
        if is_hop:
            allowed = parse_count(head.find(HOP_ATTEMPTS))
            attempts = min(attempts, allowed or 1)
        given_id = head.find(names.request_id)
        region = head.find(HOP_REGION) if is_hop else None
        prompt = parse_prompt(
            head.find(names.token_counts),
            head.find(names.prompt_parts),
            head.find(names.length_hint),
            head.find(names.model),
        )
        quota_charge: Charge | None = None
        if found.caller is not None and not is_hop:
            tokens = prompt.tokens + prompt.max_output_tokens
            quota_charge = self._meter.acquire(found.caller, tokens)
        return ProxiedRequest(
            request_id=(given_id or secrets.token_hex(8).encode()).decode(
                "latin-1"
            ),
            head=head,
            route=route,
            backend=found.backend,
            prompt=prompt,
            received_at=head.received_at,
            deadline=head.received_at + seconds_left,
            attempts=attempts,
            last_event=parse_count(head.find(names.last_event)),
            began_as=self._read_began_as(head, route),
            origin=_read_origin(head) if is_hop else None,
            forwarded_from=region.decode("latin-1") if region else None,
            hop_charge=_read_charge(head, found.backend.name)
            if is_hop
            else None,
            revision=found.generation,
            team=found.team,
            quota_charge=quota_charge,
            backends_by_name=index.backends_by_name,
        )

    def with_service(
        self, request: ProxiedRequest, service: str
    ) -> ProxiedRequest:
        """Return a request that goes to another service of its route.

        It stays as it is if its route doesn't use that service.
        """
        backend = request.backends_by_name.get(service)
        is_used = any(
            share.service == service and share.weight
            for share in request.route.services
        )
        if backend is None or not is_used:
            return request
        return replace(request, backend=backend)

    def _find_route(
        self, head: RequestHead, index: RouteIndex, *, is_hop: bool
    ) -> RequestRoute:
        """Find the route of a request in the table of this entry.

        :raises Refusal: "not run", if there is none that the caller may use
        """
        route = index.find(head.host, head.path.decode("latin-1"))
        if route is None:
            raise self._refuse_unknown(head, index.generation)
        caller = self._find_caller(head, route, index, is_hop=is_hop)
        if index.has_teams:
            try:
                route = route_for(caller, route, index.ranks)
            except NoCommonHomeRegion as error:
                raise residency_refusal(error) from error
        service = self._choose_service(head, route, is_hop=is_hop)
        return RequestRoute(
            generation=index.generation,
            route=route,
            backend=index.backends_by_name[service],
            caller=caller,
            team=caller.team if caller is not None else None,
        )

    def _read_began_as(self, head: RequestHead, route: Route) -> str | None:
        """Return the id of the request whose stream a request takes up.

        Several ids, or one that no caller could have sent, count as none.
        """
        given = head.find_all(self._names.resumes)
        if not route.streams or not route.resumable or len(given) != 1:
            return None
        if not 0 < len(given[0]) <= MAX_REQUEST_ID_BYTES:
            return None
        return given[0].decode("latin-1")

    def _choose_service(
        self, head: RequestHead, route: Route, *, is_hop: bool
    ) -> str:
        """Return the service of a request.

        A forwarded request keeps that of the first entry, unless this entry
        has another version of the route that doesn't use it.
        """
        given = _read_service(head) if is_hop else None
        for share in route.services:
            if share.weight and share.service == given:
                return share.service
        return choose_service(route, self._rng)

    def _find_caller(
        self,
        head: RequestHead,
        route: Route,
        index: RouteIndex,
        *,
        is_hop: bool,
    ) -> Caller | None:
        """Return the caller, None if the route needs no token."""
        if route.public or not index.has_teams:
            return None
        if is_hop:
            # Authenticated by the first entry, whose table may be newer.
            team = head.find(HOP_TEAM) or b""
            return self._callers.find_team(team.decode(errors="replace"))
        tokens = head.find_all(self._names.token)
        # Several tokens are ambiguous: treat them as none.
        return self._callers.find(tokens[0] if len(tokens) == 1 else None)

    def _refuse_unknown(self, head: RequestHead, generation: int) -> Refusal:
        if not self._callers.has_fresh_configuration:
            return stale_configuration_refusal(
                f"no route matches in route table {generation}, which may "
                "be out of date"
            )
        return Refusal(
            code=RefusalCode.NOT_FOUND,
            message=f"no route of host {head.host!r} matches the path in "
            f"route table {generation}, which is up to date",
            verdict=Verdict.NOT_RUN,
        )


def _read_service(head: RequestHead) -> str | None:
    """Return the service of a forwarded request, None if not told."""
    service = head.find(HOP_SERVICE)
    return None if service is None else service.decode(errors="replace")


def _read_origin(head: RequestHead) -> StreamOrigin | None:
    """Return what began the stream of a forwarded request, if it goes on."""
    version = head.find(HOP_VERSION)
    if version is None:
        return None
    return StreamOrigin(
        service=_read_service(head) or "",
        software_version=decode_version(version),
    )


def _read_charge(head: RequestHead, service: str) -> HopCharge | None:
    """Return how a forwarded request counts in the retry budget.

    A retry that was charged to another service is unpaid.
    """
    try:
        charge = HopCharge(head.find(HOP_CHARGE))
    except ValueError:
        return None
    is_kept = _read_service(head) == service
    if charge is HopCharge.RETRY and not is_kept:
        return HopCharge.UNPAID_RETRY
    return charge

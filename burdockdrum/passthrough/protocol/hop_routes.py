"""Under which route a request is read that another entry forwards.

The entry that forwards it names the route with which it has read it. That is
the request's route here too, unless this entry had a newer one long before:
then the other entry has missed a change, and its old route must not come back
through this one.
"""

from dataclasses import dataclass

from burdockdrum.callers import Caller
from burdockdrum.callers import CallerFinder
from burdockdrum.callers import common_homes
from burdockdrum.callers import NoCommonHomeRegion
from burdockdrum.http1 import RequestHead
from burdockdrum.logs import log_decision
from burdockdrum.logs import log_failure
from burdockdrum.passthrough.protocol.forwarded_route import decode_route
from burdockdrum.passthrough.protocol.forwarded_route import ForwardedRoute
from burdockdrum.passthrough.protocol.header_names import HeaderNames
from burdockdrum.passthrough.protocol.header_names import HOP_ROUTE
from burdockdrum.passthrough.protocol.header_names import HOP_TEAM
from burdockdrum.passthrough.protocol.route_index import RouteIndex
from burdockdrum.resources import Backend
from burdockdrum.resources import Route
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict

# How much later another entry may hear of a change. Requests that it reads in
# this time may still have the route that was changed.
MAX_NEWS_SECONDS = 0.2
# Only a configuration change can resolve a residency conflict.
RESIDENCY_RETRY_SECONDS = 5.0


@dataclass(frozen=True, kw_only=True)
class RequestRoute:
    """The route of a request, with what its caller and service add.

    ``generation`` is that of the table which it is from, ``team`` is None if
    it needs no token. ``caller`` is who sent it, None if it needs no token or
    another entry knows.
    """

    generation: int
    route: Route
    backend: Backend
    team: str | None
    caller: Caller | None = None


class HopRoutes:
    """Decides whether a forwarded request keeps the route it was read with."""

    def __init__(self, *, names: HeaderNames, callers: CallerFinder) -> None:
        """Create it for an entry."""
        self._names = names
        self._callers = callers

    def find(
        self, head: RequestHead, index: RouteIndex
    ) -> RequestRoute | None:
        """Return the route that another entry read a request with.

        Its home regions are those that this entry's configuration allows as
        well.

        :returns: None if this entry should read it by its own table
        :raises Refusal: "not run", if no region may serve it
        """
        given = self._read(head)
        if given is None or given.generation == index.generation:
            return None
        superseded_at = index.superseded_at(given.generation)
        read_at = head.received_at - given.age_seconds
        is_kept = (
            superseded_at is None
            or read_at <= superseded_at + MAX_NEWS_SECONDS
        )
        log_decision(
            "hop.other_generation",
            request_id=(head.find(self._names.request_id) or b"").decode(
                "latin-1"
            ),
            route=given.name,
            generation=given.generation,
            own_generation=index.generation,
            age=given.age_seconds,
            kept=is_kept,
        )
        if not is_kept:
            return None
        team = head.find(HOP_TEAM)
        name = None if team is None else team.decode(errors="replace")
        homes = self._common_homes(head, index, given, name)
        return RequestRoute(
            generation=given.generation,
            route=given.make_route(host=head.host, homes=homes),
            backend=index.backends_by_name.get(given.service)
            or given.make_backend(),
            team=name,
        )

    def _read(self, head: RequestHead) -> ForwardedRoute | None:
        value = head.find(HOP_ROUTE)
        if value is None:
            return None
        try:
            return decode_route(value)
        except ValueError as error:
            log_failure("hop.unreadable_route", reason=str(error))
            return None

    def _common_homes(
        self,
        head: RequestHead,
        index: RouteIndex,
        given: ForwardedRoute,
        team: str | None,
    ) -> list[str]:
        own = index.find(head.host, head.path.decode("latin-1"))
        caller = self._callers.callers_by_team.get(team) if team else None
        try:
            homes = common_homes(given.homes, own.homes if own else [])
            return common_homes(homes, list(caller.homes) if caller else [])
        except NoCommonHomeRegion as error:
            raise residency_refusal(error) from error


def residency_refusal(error: NoCommonHomeRegion) -> Refusal:
    """Return the refusal of a request that no region may serve."""
    return Refusal(
        code=RefusalCode.RESIDENCY,
        message=str(error),
        verdict=Verdict.NOT_RUN,
        retry_after=RESIDENCY_RETRY_SECONDS,
    )

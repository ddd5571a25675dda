"""Read what a pass-through needs of a request, and find its route."""

from collections.abc import Callable
import random
import secrets

from burdockdrum.callers import Caller
from burdockdrum.callers import CallerFinder
from burdockdrum.callers import NoCommonHome
from burdockdrum.callers import RankOrder
from burdockdrum.callers import refuse_unsure
from burdockdrum.callers import route_for
from burdockdrum.http1 import parse_count
from burdockdrum.http1 import RequestHead
from burdockdrum.passthrough.model import PassedRequest
from burdockdrum.passthrough.prompts import parse_prompt
from burdockdrum.passthrough.table import choose_service
from burdockdrum.passthrough.table import RouteIndex
from burdockdrum.passthrough.vocabulary import HeaderNames
from burdockdrum.passthrough.vocabulary import HOP_ATTEMPTS
from burdockdrum.passthrough.vocabulary import HOP_REGION
from burdockdrum.passthrough.vocabulary import HOP_TEAM
from burdockdrum.ports import Clock
from burdockdrum.quotas import QuotaMeter
from burdockdrum.quotas import Taken
from burdockdrum.resources import Route
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict

# How long a request is held while this VM learns the routes, and at most
# which part of its time: the rest has to do for serving it.
MAX_HOLD_SECONDS = 1.2
HOLD_PART = 0.4
# Only another configuration will let it run.
RESIDENCY_RETRY_SECONDS = 5.0
_MILLISECONDS = 1000.0


class RequestReader:
    """Turn the head of a request into what is passed on."""

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

        :param read_index: returns the routes in force, None if unknown
        """
        self._clock = clock
        self._rng = rng
        self._names = names
        self._read_index = read_index
        self._callers = callers
        self._meter = meter

    def wait_seconds(self, head: RequestHead) -> float:
        """Return how long a request may wait for the routes to be known."""
        asked = parse_count(head.find(self._names.deadline))
        if asked is None:
            return MAX_HOLD_SECONDS
        return min(MAX_HOLD_SECONDS, asked / _MILLISECONDS * HOLD_PART)

    def read(self, head: RequestHead, *, is_hop: bool) -> PassedRequest:
        """Read a request, and count it against the limit of its team.

        :param is_hop: whether another entry passed it on
        :raises Refusal: "not run", if there is no route for it, or none for
            its caller
        """
        index = self._read_index()
        if index is None:
            raise refuse_unsure("this VM does not know the routes yet")
        route = index.find(head.host, head.path.decode("latin-1"))
        if route is None:
            raise self._refuse_unknown(head, index.generation)
        caller = self._find_caller(head, route, index, is_hop=is_hop)
        if index.has_teams:
            route = _route_for(caller, route, index.ranks)
        names = self._names
        service = choose_service(route, self._rng)
        left = route.timeout_seconds
        asked = parse_count(head.find(names.deadline))
        if asked is not None:
            left = min(left, asked / _MILLISECONDS)
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
        )
        taken: Taken | None = None
        if caller is not None and not is_hop:
            tokens = prompt.tokens + prompt.max_output
            taken = self._meter.take(caller, tokens)
        return PassedRequest(
            request_id=(given_id or secrets.token_hex(8).encode()).decode(
                "latin-1"
            ),
            head=head,
            route=route,
            backend=index.backends_by_name[service],
            prompt=prompt,
            received_at=head.received_at,
            deadline=head.received_at + left,
            attempts=attempts,
            last_event=parse_count(head.find(names.last_event)),
            came_from=region.decode("latin-1") if region else None,
            revision=index.generation,
            team=caller.team if caller is not None else None,
            taken=taken,
        )

    def _find_caller(
        self,
        head: RequestHead,
        route: Route,
        index: RouteIndex,
        *,
        is_hop: bool,
    ) -> Caller | None:
        """Return who calls, None where everyone may."""
        if route.public or not index.has_teams:
            return None
        if is_hop:
            # The first entry has found it, and may know a newer table.
            team = head.find(HOP_TEAM) or b""
            return self._callers.find_team(team.decode(errors="replace"))
        tokens = head.find_all(self._names.token)
        # Of two tokens none says for certain who calls.
        return self._callers.find(tokens[0] if len(tokens) == 1 else None)

    def _refuse_unknown(self, head: RequestHead, generation: int) -> Refusal:
        if not self._callers.is_certain:
            return refuse_unsure(
                f"no route is known in table {generation}, and there may "
                "be a newer one"
            )
        return Refusal(
            code=RefusalCode.NOT_FOUND,
            message=f"no route of host {head.host!r} fits the path in table "
            f"{generation}, which is known to be the newest",
            verdict=Verdict.NOT_RUN,
        )


def _route_for(caller: Caller | None, route: Route, ranks: RankOrder) -> Route:
    try:
        return route_for(caller, route, ranks)
    except NoCommonHome as error:
        raise Refusal(
            code=RefusalCode.RESIDENCY,
            message=str(error),
            verdict=Verdict.NOT_RUN,
            retry_after=RESIDENCY_RETRY_SECONDS,
        ) from error

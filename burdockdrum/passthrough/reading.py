"""Read what a pass-through needs of a request, and find its route."""

from collections.abc import Callable
import random
import secrets

from burdockdrum.http1 import parse_count
from burdockdrum.http1 import RequestHead
from burdockdrum.passthrough.model import PassedRequest
from burdockdrum.passthrough.prompts import parse_prompt
from burdockdrum.passthrough.table import choose_service
from burdockdrum.passthrough.table import RouteIndex
from burdockdrum.passthrough.vocabulary import HeaderNames
from burdockdrum.passthrough.vocabulary import HOP_ATTEMPTS
from burdockdrum.passthrough.vocabulary import HOP_REGION
from burdockdrum.ports import Clock
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict

STALE_RETRY_SECONDS = 1.0
# An absent route may be one that this VM has not heard of yet. It says so
# for certain only while what it knows is no older than this: the two
# seconds between two messages of whom it follows, and that one's own.
CERTAIN_SECONDS = 4.0
# How long a request is held while this VM learns the routes, and at most
# which part of its time: the rest has to do for serving it.
MAX_HOLD_SECONDS = 1.0
HOLD_PART = 0.3
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
        read_age: Callable[[], float | None],
    ) -> None:
        """Create a reader.

        :param read_index: returns the routes in force, None if unknown
        :param read_age: returns how many seconds ago they were current
        """
        self._clock = clock
        self._rng = rng
        self._names = names
        self._read_index = read_index
        self._read_age = read_age

    def wait_seconds(self, head: RequestHead) -> float:
        """Return how long a request may wait for the routes to be known."""
        asked = parse_count(head.find(self._names.deadline))
        if asked is None:
            return MAX_HOLD_SECONDS
        return min(MAX_HOLD_SECONDS, asked / _MILLISECONDS * HOLD_PART)

    def read(self, head: RequestHead, *, is_hop: bool) -> PassedRequest:
        """Read a request.

        :param is_hop: whether another entry passed it on
        :raises Refusal: "not run", if there is no route for it
        """
        index = self._read_index()
        if index is None:
            raise _refuse_stale("this VM does not know the routes yet")
        route = index.find(head.host, head.path.decode("latin-1"))
        if route is None:
            raise self._refuse_unknown(head, index.generation)
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
        return PassedRequest(
            request_id=(given_id or secrets.token_hex(8).encode()).decode(
                "latin-1"
            ),
            head=head,
            route=route,
            backend=index.backends_by_name[service],
            prompt=parse_prompt(
                head.find(names.token_counts),
                head.find(names.prompt_parts),
                head.find(names.length_hint),
            ),
            received_at=head.received_at,
            deadline=head.received_at + left,
            attempts=attempts,
            last_event=parse_count(head.find(names.last_event)),
            came_from=region.decode("latin-1") if region else None,
            revision=index.generation,
        )

    def _refuse_unknown(self, head: RequestHead, generation: int) -> Refusal:
        age = self._read_age()
        if age is None or age > CERTAIN_SECONDS:
            return _refuse_stale(
                f"no route is known in table {generation}, and there may "
                "be a newer one"
            )
        return Refusal(
            code=RefusalCode.NOT_FOUND,
            message=f"no route of host {head.host!r} fits the path in table "
            f"{generation}, which was the newest {age:.1f} s ago",
            verdict=Verdict.NOT_RUN,
        )


def _refuse_stale(message: str) -> Refusal:
    return Refusal(
        code=RefusalCode.CONFIGURATION_STALE,
        message=message,
        verdict=Verdict.NOT_RUN,
        retry_after=STALE_RETRY_SECONDS,
    )

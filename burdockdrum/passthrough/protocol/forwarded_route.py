"""The route under which another entry read the request that it forwards.

Entries hear of a change of the configuration at different times. A request
ends under the route that it was read with, also at an entry that has another
one by then or does not know it yet.
"""

from urllib.parse import quote
from urllib.parse import unquote_to_bytes

import msgspec

from burdockdrum.decoding import decode_json
from burdockdrum.passthrough.protocol.model import ProxiedRequest
from burdockdrum.resources import Backend
from burdockdrum.resources import Engine
from burdockdrum.resources import Route
from burdockdrum.resources import WeightedService

_MILLISECONDS_PER_SECOND = 1000
# Left as they are in a header; other bytes are percent-encoded.
_PLAIN_CHARACTERS = '[]",:'


class _ForwardedEngine(msgspec.Struct, frozen=True, array_like=True):
    """The engine of a ``ForwardedRoute``."""

    slots: int
    memory_tokens: int
    bytes_a_token: int
    link_megabits: float
    tokens_an_event: int


class ForwardedRoute(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """A request's route and service, as one entry tells them another.

    They are encoded as an array: fields may only be added, at its end and
    with a default, since entries of other software versions read them.

    ``generation`` is that of the route table, ``age_ms`` the milliseconds
    since the request was received. ``rank`` and ``homes`` are those of route
    and team together.
    """

    generation: int
    age_ms: int
    name: str
    idempotent: bool
    streams: bool
    resumable: bool
    attempts: int
    timeout_seconds: float
    objective_seconds: float
    max_pause_seconds: float
    rank: int
    homes: list[str]
    service: str
    max_connections: int
    cold_requests_per_second: float
    cold_seconds: float
    engine: _ForwardedEngine | None

    @classmethod
    def of(
        cls, request: ProxiedRequest, *, seconds_left: float
    ) -> "ForwardedRoute":
        """Return the route of a request that is about to be forwarded.

        :param seconds_left: until the deadline of the request
        """
        route, backend = request.route, request.backend
        age = request.deadline - seconds_left - request.received_at
        return cls(
            generation=request.revision,
            age_ms=max(0, int(age * _MILLISECONDS_PER_SECOND)),
            name=route.name,
            idempotent=route.idempotent,
            streams=route.streams,
            resumable=route.resumable,
            attempts=route.attempts,
            timeout_seconds=route.timeout_seconds,
            objective_seconds=route.objective_seconds,
            max_pause_seconds=route.max_pause_seconds,
            rank=route.rank,
            homes=route.homes,
            service=backend.name,
            max_connections=backend.max_connections,
            cold_requests_per_second=backend.cold_requests_per_second,
            cold_seconds=backend.cold_seconds,
            engine=None
            if backend.engine is None
            else _ForwardedEngine(**msgspec.structs.asdict(backend.engine)),
        )

    @property
    def age_seconds(self) -> float:
        """Return the seconds since the request was received."""
        return self.age_ms / _MILLISECONDS_PER_SECOND

    def make_route(self, *, host: str, homes: list[str]) -> Route:
        """Return the route, which serves a host and all of its paths.

        :param homes: the regions that may serve it, any if empty
        """
        return Route(
            name=self.name,
            host=host,
            path_prefix="/",
            services=[WeightedService(service=self.service)],
            idempotent=self.idempotent,
            streams=self.streams,
            resumable=self.resumable,
            attempts=self.attempts,
            timeout_seconds=self.timeout_seconds,
            objective_seconds=self.objective_seconds,
            max_pause_seconds=self.max_pause_seconds,
            rank=self.rank,
            homes=homes,
        )

    def make_backend(self) -> Backend:
        """Return the service, for an entry that does not know it."""
        return Backend(
            name=self.service,
            max_connections=self.max_connections,
            cold_requests_per_second=self.cold_requests_per_second,
            cold_seconds=self.cold_seconds,
            engine=None
            if self.engine is None
            else Engine(**msgspec.structs.asdict(self.engine)),
        )


def encode_route(route: ForwardedRoute) -> bytes:
    """Return a route for a header."""
    return quote(msgspec.json.encode(route), safe=_PLAIN_CHARACTERS).encode()


def decode_route(value: bytes) -> ForwardedRoute:
    """Return the route that ``encode_route`` encoded.

    :raises ValueError: if it can't be read
    """
    return decode_json(unquote_to_bytes(value), ForwardedRoute)

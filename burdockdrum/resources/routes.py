"""Routes, which map requests to services.

The route table is one resource, so that each VM applies a change of many
routes atomically. Operators number the tables by generation; the highest
generation is in force.
"""

import msgspec

from burdockdrum.resources.specs import SpecBase
from burdockdrum.resources.teams import RouteTeam

ROUTE_TABLE_NAME = "main"


class _RouteTableStruct(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The base class of the structs in a route table."""


class WeightedService(_RouteTableStruct, frozen=True, kw_only=True):
    """A service that receives a weighted share of a route's requests."""

    service: str
    weight: int = 1


class Route(_RouteTableStruct, frozen=True, kw_only=True):
    """How the requests to one host and path prefix are served.

    ``idempotent`` requests may be retried after they were sent. ``streams``
    marks responses that are a sequence of numbered events; with
    ``resumable`` an interrupted one may be resumed after the last event.
    ``attempts`` is the maximum number of endpoints that a request is sent
    to. ``timeout_seconds`` limits the whole request, ``objective_seconds``
    is the objective for the time to first byte, ``max_pause_seconds`` that
    for the time between two events of a stream, 0 for none. ``rank`` 0 is
    the most urgent. Without ``homes`` any region may serve. A ``public``
    route needs no token, even if the table has teams. ``shares_prompts`` is
    not used; stored tables have it.
    """

    name: str
    host: str
    path_prefix: str
    services: list[WeightedService]
    idempotent: bool
    streams: bool = False
    resumable: bool = False
    attempts: int = 1
    timeout_seconds: float
    objective_seconds: float = 1.0
    max_pause_seconds: float = 0.0
    rank: int = 0
    homes: list[str] = []
    shares_prompts: bool = False
    public: bool = False


class Engine(_RouteTableStruct, frozen=True, kw_only=True):
    """The capacity of one endpoint of a model service.

    Fetching a cached prefix from another endpoint transfers
    ``bytes_a_token`` for each token over a link of ``link_megabits`` per
    second; both are 0 where prefixes can't be fetched. An event of a
    stream contains ``tokens_an_event`` tokens.
    """

    slots: int
    memory_tokens: int
    bytes_a_token: int = 0
    link_megabits: float = 0.0
    tokens_an_event: int = 1


class Backend(_RouteTableStruct, frozen=True, kw_only=True):
    """A service that routes refer to.

    In slow start, for ``cold_seconds`` after it has started, an endpoint
    accepts ``cold_requests_per_second`` from all VMs together.
    ``max_connections`` is the limit for each endpoint, over all VMs.
    ``health_path`` is what an endpoint answers while it is alive.
    """

    name: str
    health_path: str = "/"
    max_connections: int = 100
    cold_requests_per_second: float = 0.0
    cold_seconds: float = 0.0
    engine: Engine | None = None


class ListenerLimits(_RouteTableStruct, frozen=True, kw_only=True):
    """Size limits of requests, and timeouts of connections."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


class RouteTableSpec(SpecBase, frozen=True, kw_only=True, tag="route_table"):
    """All routes, the services they refer to, and the listeners' limits.

    Only ``teams`` may send requests; None allows everyone. ``document`` is
    the text that the table was parsed from, compressed with zlib, so that
    operators read back exactly what they wrote.
    """

    generation: int
    routes: list[Route]
    backends: list[Backend]
    limits: ListenerLimits = ListenerLimits()
    document: bytes = b""
    teams: list[RouteTeam] | None = None


class EvacuationSpec(SpecBase, frozen=True, kw_only=True, tag="evacuation"):
    """An evacuated data centre; its endpoints receive no new requests."""

    reason: str = ""

"""Teams of a route table, with their tokens and rate limits."""

from typing import Literal

import msgspec


class RateLimit(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A team's rate limit over all VMs together.

    ``per_second`` and ``burst`` are in ``unit``. A request that does not
    declare its number of tokens is charged ``plain_tokens``.
    """

    unit: Literal["requests", "tokens"] = "requests"
    per_second: float
    burst: float = 0.0
    plain_tokens: float = 1.0


class RouteTeam(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A team that may send requests to the routes of a table.

    ``rank`` overrides the rank of the route unless it is None. Without
    ``homes`` any region may serve the team.
    """

    name: str
    token_hashes: list[str] = []
    rank: int | None = None
    homes: list[str] = []
    limit: RateLimit | None = None

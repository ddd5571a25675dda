"""Validate the teams of a route table.

Error messages contain no token and no hash of one.
"""

import math

from burdockdrum.resources.errors import ResourceError
from burdockdrum.resources.teams import RateLimit
from burdockdrum.resources.teams import RouteTeam
from burdockdrum.resources.tokens import hash_token

_EMPTY_TOKEN_HASH = hash_token("")


def check_teams(teams: list[RouteTeam]) -> None:
    """Check that names and tokens are unique and rate limits are valid.

    :raises ResourceError: naming the first invalid field
    """
    names: set[str] = set()
    owners_by_hash: dict[str, str] = {}
    for team in teams:
        field = f"spec.teams[{team.name!r}]"
        if not team.name or not team.name.isprintable():
            raise ResourceError(f"{field}.name is empty or not printable")
        if team.name in names:
            raise ResourceError(f"{field} is a duplicate")
        names.add(team.name)
        _check_tokens(field, team, owners_by_hash)
        if team.limit is not None:
            _check_limit(f"{field}.limit", team.limit)


def _check_tokens(
    field: str, team: RouteTeam, owners_by_hash: dict[str, str]
) -> None:
    for index, token_hash in enumerate(team.token_hashes):
        if token_hash == _EMPTY_TOKEN_HASH:
            raise ResourceError(
                f"{field}.token_hashes[{index}] is the hash of an empty token"
            )
        owner = owners_by_hash.setdefault(token_hash, team.name)
        if owner != team.name:
            raise ResourceError(
                f"{field}.token_hashes[{index}] is already in use by team "
                f"{owner!r}"
            )


def _check_limit(field: str, limit: RateLimit) -> None:
    if not 0 < limit.per_second < math.inf:
        raise ResourceError(f"{field}.per_second must be above 0 and finite")
    if not 0 <= limit.burst < math.inf:
        raise ResourceError(f"{field}.burst must be at least 0 and finite")
    if not 0 <= limit.plain_tokens < math.inf:
        raise ResourceError(
            f"{field}.plain_tokens must be at least 0 and finite"
        )

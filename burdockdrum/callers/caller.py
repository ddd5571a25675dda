"""The authenticated caller of a request.

Builds callers from the clients and the route table's teams of one
configuration, so that a request can be authenticated by a token's hash.
"""

from dataclasses import dataclass

from burdockdrum.resources import Configuration
from burdockdrum.resources import RateLimit
from burdockdrum.resources import RouteTeam


@dataclass(frozen=True, kw_only=True)
class Caller:
    """The client or team that sends a request.

    ``client_id`` is None for a team of the route table, which has no
    clients of its own. ``rank`` takes precedence over the rank of a route;
    if ``homes`` is empty, any region may serve the request.
    """

    client_id: str | None = None
    team: str | None = None
    rank: int | None = None
    homes: tuple[str, ...] = ()
    limit: RateLimit | None = None


def callers_by_token_hash(configuration: Configuration) -> dict[str, Caller]:
    """Return the callers of a configuration by the hash of their token."""
    callers = {
        token_hash: _caller_for_client(configuration, client_id)
        for token_hash, client_id in (
            configuration.client_ids_by_token_hash.items()
        )
    }
    table = configuration.route_table
    for team in (table.teams or ()) if table is not None else ():
        caller = caller_for_team(team)
        callers.update(dict.fromkeys(team.token_hashes, caller))
    return callers


def caller_for_team(team: RouteTeam) -> Caller:
    """Return the caller for a team of the route table."""
    return Caller(
        team=team.name,
        rank=team.rank,
        homes=tuple(team.homes),
        limit=team.limit,
    )


def _caller_for_client(configuration: Configuration, client_id: str) -> Caller:
    spec = configuration.clients_by_id[client_id]
    return Caller(
        client_id=client_id, team=spec.team, homes=tuple(spec.residency)
    )

"""Authentication of callers.

Maps a bearer token to a client or team and applies the team's rank, home
regions and rate limit to the route that it requests.
"""

from burdockdrum.callers.caller import Caller
from burdockdrum.callers.caller import callers_by_token_hash
from burdockdrum.callers.finding import CallerFinder
from burdockdrum.callers.finding import stale_configuration_refusal
from burdockdrum.callers.ranks import RankOrder
from burdockdrum.callers.routes import common_homes
from burdockdrum.callers.routes import NoCommonHomeRegion
from burdockdrum.callers.routes import route_for
from burdockdrum.callers.services import add_services

__all__ = [
    "add_services",
    "Caller",
    "CallerFinder",
    "callers_by_token_hash",
    "common_homes",
    "NoCommonHomeRegion",
    "RankOrder",
    "route_for",
    "stale_configuration_refusal",
]

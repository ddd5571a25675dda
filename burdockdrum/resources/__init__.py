"""The declarative resources that operators manage.

Defines the kinds of resource, their validation, and the deterministic store
that the replicated log applies changes to.
"""

from burdockdrum.resources.configuration import Configuration
from burdockdrum.resources.errors import ResourceError
from burdockdrum.resources.kinds import Resource
from burdockdrum.resources.kinds import ResourceKey
from burdockdrum.resources.kinds import Revised
from burdockdrum.resources.kinds import Spec
from burdockdrum.resources.kinds import SPECS_BY_KIND
from burdockdrum.resources.recorded_results import MAX_RECORDED_RESULTS
from burdockdrum.resources.route_validation import check_routes
from burdockdrum.resources.routes import Backend
from burdockdrum.resources.routes import Engine
from burdockdrum.resources.routes import EvacuationSpec
from burdockdrum.resources.routes import ListenerLimits
from burdockdrum.resources.routes import Route
from burdockdrum.resources.routes import RouteTableSpec
from burdockdrum.resources.routes import WeightedService
from burdockdrum.resources.specs import ClientSpec
from burdockdrum.resources.specs import DataCentreSpec
from burdockdrum.resources.specs import OperatorSpec
from burdockdrum.resources.specs import PriorityClassSpec
from burdockdrum.resources.specs import Quota
from burdockdrum.resources.specs import RegionSpec
from burdockdrum.resources.specs import ServiceSpec
from burdockdrum.resources.specs import TeamSpec
from burdockdrum.resources.store import ACCEPTED
from burdockdrum.resources.store import Change
from burdockdrum.resources.store import ChangeResult
from burdockdrum.resources.store import CONFLICT
from burdockdrum.resources.store import Delete
from burdockdrum.resources.store import INVALID
from burdockdrum.resources.store import Put
from burdockdrum.resources.store import ReplaceRoutes
from burdockdrum.resources.store import ResourceStore
from burdockdrum.resources.store import SetEvacuation
from burdockdrum.resources.store import StoreSnapshot
from burdockdrum.resources.teams import RateLimit
from burdockdrum.resources.teams import RouteTeam
from burdockdrum.resources.tokens import hash_token
from burdockdrum.resources.validation import parse_spec

__all__ = [
    "ACCEPTED",
    "Backend",
    "Change",
    "ChangeResult",
    "check_routes",
    "ClientSpec",
    "Configuration",
    "CONFLICT",
    "DataCentreSpec",
    "Delete",
    "Engine",
    "EvacuationSpec",
    "hash_token",
    "INVALID",
    "MAX_RECORDED_RESULTS",
    "ListenerLimits",
    "OperatorSpec",
    "parse_spec",
    "PriorityClassSpec",
    "Put",
    "Quota",
    "RateLimit",
    "RegionSpec",
    "ReplaceRoutes",
    "Resource",
    "ResourceError",
    "ResourceKey",
    "ResourceStore",
    "Revised",
    "Route",
    "RouteTableSpec",
    "RouteTeam",
    "ServiceSpec",
    "SetEvacuation",
    "Spec",
    "SPECS_BY_KIND",
    "StoreSnapshot",
    "TeamSpec",
    "WeightedService",
]

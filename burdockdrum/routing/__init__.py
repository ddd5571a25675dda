"""Routing of a request to a local endpoint or to another data centre.

The router estimates load, speed and health of endpoints from the outcomes of
real requests and from their reports, and forwards a request to another data
centre when that finishes it sooner.
"""

from burdockdrum.routing.attempts import Attempt
from burdockdrum.routing.model import AttemptOutcome
from burdockdrum.routing.model import CapacityShare
from burdockdrum.routing.model import Choice
from burdockdrum.routing.model import Estimate
from burdockdrum.routing.model import RoutingRequest
from burdockdrum.routing.model import ToDataCentre
from burdockdrum.routing.model import ToEndpoint
from burdockdrum.routing.model import Unroutable
from burdockdrum.routing.remote_data_centres import MAX_HOPS
from burdockdrum.routing.router import Router
from burdockdrum.routing.services import add_services

__all__ = [
    "add_services",
    "Attempt",
    "AttemptOutcome",
    "CapacityShare",
    "Choice",
    "Estimate",
    "MAX_HOPS",
    "Router",
    "RoutingRequest",
    "ToDataCentre",
    "ToEndpoint",
    "Unroutable",
]

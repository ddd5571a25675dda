"""Requests that are passed through unchanged, by routes.

The OpenAI-style face reads what it serves; this one leaves method, path and
body alone. What both share, configuration, membership and verdicts, comes
from the packages that hold it.
"""

from burdockdrum.passthrough.relay import Relay
from burdockdrum.passthrough.routes_in_force import RoutesInForce
from burdockdrum.passthrough.server import PassThroughServer
from burdockdrum.passthrough.services import add_services
from burdockdrum.passthrough.table import RouteIndex
from burdockdrum.passthrough.vocabulary import HeaderNames

__all__ = [
    "add_services",
    "HeaderNames",
    "PassThroughServer",
    "Relay",
    "RouteIndex",
    "RoutesInForce",
]

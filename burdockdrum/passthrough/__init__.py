"""Proxy requests to endpoints by routes, leaving their content unchanged.

Unlike the OpenAI-style API, which parses the requests that it serves, this
proxy forwards method, path and body as they are. Both share configuration,
membership and verdicts.
"""

from burdockdrum.passthrough.active_routes import ActiveRoutes
from burdockdrum.passthrough.header_names import HeaderNames
from burdockdrum.passthrough.relay import Relay
from burdockdrum.passthrough.response_signals import ResponseSignals
from burdockdrum.passthrough.route_index import RouteIndex
from burdockdrum.passthrough.server import PassThroughServer
from burdockdrum.passthrough.services import add_services

__all__ = [
    "add_services",
    "HeaderNames",
    "PassThroughServer",
    "Relay",
    "ResponseSignals",
    "RouteIndex",
    "ActiveRoutes",
]

"""Proxy requests to endpoints by routes, leaving their content unchanged.

Unlike the OpenAI-style API, which parses the requests that it serves, this
proxy forwards method, path and body as they are. Both share configuration,
membership and verdicts.
"""

from burdockdrum.passthrough.protocol import ActiveRoutes
from burdockdrum.passthrough.protocol import HeaderNames
from burdockdrum.passthrough.protocol import ResponseSignals
from burdockdrum.passthrough.protocol import RouteIndex
from burdockdrum.passthrough.relaying import PassThroughServer
from burdockdrum.passthrough.relaying import Relay
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

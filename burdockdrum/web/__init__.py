"""The HTTP API for callers, endpoints, operators and other entry VMs.

Contains the ASGI application with its handlers, authentication, parsing of
requests and the server that runs the application.
"""

from burdockdrum.web.application import build_application
from burdockdrum.web.authentication import Authenticator
from burdockdrum.web.caller_handlers import CallerHandlers
from burdockdrum.web.endpoint_handlers import EndpointHandlers
from burdockdrum.web.operator_handlers import OperatorHandlers
from burdockdrum.web.peer_handlers import PeerHandlers
from burdockdrum.web.server import bind
from burdockdrum.web.server import WebServer
from burdockdrum.web.services import add_services

__all__ = [
    "add_services",
    "Authenticator",
    "bind",
    "build_application",
    "CallerHandlers",
    "EndpointHandlers",
    "OperatorHandlers",
    "PeerHandlers",
    "WebServer",
]

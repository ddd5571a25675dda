"""The HTTP faces: callers, endpoints, operators and other entry VMs."""

from burdockdrum.web.application import build_application
from burdockdrum.web.authentication import Authenticator
from burdockdrum.web.callers import CallerFace
from burdockdrum.web.endpoint_face import EndpointFace
from burdockdrum.web.operators import OperatorFace
from burdockdrum.web.peer_face import PeerFace
from burdockdrum.web.server import bind
from burdockdrum.web.server import WebServer
from burdockdrum.web.services import add_services

__all__ = [
    "add_services",
    "Authenticator",
    "bind",
    "build_application",
    "CallerFace",
    "EndpointFace",
    "OperatorFace",
    "PeerFace",
    "WebServer",
]

"""Handling of a request, from admission to the complete answer or a refusal.

Requests are attempted at endpoints or forwarded to other data centres, and
retried within the limits that their kind, deadline and residency allow.
"""

from burdockdrum.requests.attempts import VERDICT_HEADER
from burdockdrum.requests.forwarding import FORWARD_HEADER
from burdockdrum.requests.forwarding import verify_header
from burdockdrum.requests.model import Answer
from burdockdrum.requests.model import InboundRequest
from burdockdrum.requests.model import RequestKind
from burdockdrum.requests.service import RequestService
from burdockdrum.requests.services import add_services

__all__ = [
    "add_services",
    "Answer",
    "FORWARD_HEADER",
    "InboundRequest",
    "RequestKind",
    "RequestService",
    "VERDICT_HEADER",
    "verify_header",
]

"""A request's life: from admission to the whole answer or a refusal."""

from burdockdrum.requests.forwarding import FORWARD_HEADER
from burdockdrum.requests.forwarding import open_header
from burdockdrum.requests.model import Answer
from burdockdrum.requests.model import InboundRequest
from burdockdrum.requests.model import RequestKind
from burdockdrum.requests.service import RequestService

__all__ = [
    "Answer",
    "FORWARD_HEADER",
    "InboundRequest",
    "open_header",
    "RequestKind",
    "RequestService",
]

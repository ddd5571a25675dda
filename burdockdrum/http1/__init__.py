"""HTTP/1.1 server and client connections for the reverse proxy.

Messages are parsed by ``httptools``. The package exposes what frameworks
hide and a proxy needs: when a caller disconnects, whether any byte of a
request may have been sent, and which connections can be reused.
"""

from burdockdrum.http1.client import ClientConnection
from burdockdrum.http1.client import ResponseHead
from burdockdrum.http1.client import ResponseLost
from burdockdrum.http1.end_causes import EndCause
from burdockdrum.http1.exchange import Exchange
from burdockdrum.http1.heads import encode_request
from burdockdrum.http1.heads import encode_response
from burdockdrum.http1.heads import find_header
from burdockdrum.http1.heads import Headers
from burdockdrum.http1.heads import remove_hop_by_hop_headers
from burdockdrum.http1.listener import Handler
from burdockdrum.http1.listener import Limits
from burdockdrum.http1.listener import Listener
from burdockdrum.http1.numbers import parse_count
from burdockdrum.http1.numbers import parse_decimal
from burdockdrum.http1.numbers import parse_seconds
from burdockdrum.http1.overhead import FRAMING_BYTES_PER_BODY_BYTE
from burdockdrum.http1.pool import ConnectionPool
from burdockdrum.http1.pool import NotConnected
from burdockdrum.http1.requests import RequestHead

__all__ = [
    "ClientConnection",
    "ConnectionPool",
    "encode_request",
    "encode_response",
    "EndCause",
    "Exchange",
    "find_header",
    "FRAMING_BYTES_PER_BODY_BYTE",
    "Handler",
    "Headers",
    "Limits",
    "Listener",
    "NotConnected",
    "parse_count",
    "parse_decimal",
    "parse_seconds",
    "remove_hop_by_hop_headers",
    "RequestHead",
    "ResponseHead",
    "ResponseLost",
]

"""Which software version began a stream, as entries tell each other."""

from burdockdrum.streams.origin import StreamOrigin
from burdockdrum.streams.origins import FoundOrigin
from burdockdrum.streams.origins import make_key
from burdockdrum.streams.origins import StreamOrigins
from burdockdrum.streams.origins import UnknownOrigin
from burdockdrum.streams.services import add_services

__all__ = [
    "add_services",
    "FoundOrigin",
    "make_key",
    "StreamOrigin",
    "StreamOrigins",
    "UnknownOrigin",
]

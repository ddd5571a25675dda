"""Endpoints that crash if they must reject too many requests.

Such an endpoint announces in its responses how many requests it can reject in
a second for want of room. Entries then send it a request only with a place,
which one entry for each endpoint hands out.
"""

from burdockdrum.passthrough.brittle.broker import ASK_TIMEOUT_SECONDS
from burdockdrum.passthrough.brittle.broker import PlaceBroker
from burdockdrum.passthrough.brittle.endpoints import BrittleEndpoints
from burdockdrum.passthrough.brittle.holder import PlaceHolder
from burdockdrum.passthrough.brittle.messages import PlaceEvent
from burdockdrum.passthrough.brittle.messages import PlaceNotice
from burdockdrum.passthrough.brittle.messages import PlaceReply
from burdockdrum.passthrough.brittle.messages import PlaceRequest
from burdockdrum.passthrough.brittle.messages import TenureNotice
from burdockdrum.passthrough.brittle.messages import UsedPlace
from burdockdrum.passthrough.brittle.messages import UsedPlacesNotice
from burdockdrum.passthrough.brittle.places import Place
from burdockdrum.passthrough.brittle.places import PlaceDenied

__all__ = [
    "ASK_TIMEOUT_SECONDS",
    "BrittleEndpoints",
    "Place",
    "PlaceBroker",
    "PlaceDenied",
    "PlaceEvent",
    "PlaceHolder",
    "PlaceNotice",
    "PlaceReply",
    "PlaceRequest",
    "TenureNotice",
    "UsedPlace",
    "UsedPlacesNotice",
]

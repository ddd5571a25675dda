"""What the outcome of an attempt says about its place at the endpoint."""

from burdockdrum.passthrough.brittle import PlaceEvent
from burdockdrum.passthrough.protocol import Delivered
from burdockdrum.passthrough.protocol import EndpointTarget
from burdockdrum.passthrough.protocol import ErrorResponse
from burdockdrum.passthrough.protocol import NotStarted
from burdockdrum.passthrough.protocol import Outcome
from burdockdrum.passthrough.protocol import Target


def record_place(target: Target, outcome: Outcome | None) -> None:
    """End the use of a target's place, if it has one.

    :param outcome: that of the attempt; None if it was interrupted
    """
    if isinstance(target, EndpointTarget) and target.place is not None:
        target.place.record(_event_of(outcome))


def _event_of(outcome: Outcome | None) -> PlaceEvent:
    match outcome:
        case Delivered() | ErrorResponse():
            return PlaceEvent.ENDED
        case NotStarted(reached=True, replaced=False):
            return PlaceEvent.REJECTED
        case NotStarted():
            return PlaceEvent.UNUSED
        case _:
            return PlaceEvent.LOST

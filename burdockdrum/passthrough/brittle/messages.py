"""Messages between entries about places at brittle endpoints."""

import enum
from typing import ClassVar

import msgspec

from burdockdrum.peers import Message


class PlaceEvent(enum.Enum):
    """What became of a place.

    ``ACCEPTED``: the endpoint responds, and still runs the request.
    ``ENDED``: it has run the request. ``REJECTED``: it had no room.
    ``UNUSED``: nothing was sent. ``LOST``: the request may still run.
    """

    ACCEPTED = "accepted"
    ENDED = "ended"
    REJECTED = "rejected"
    UNUSED = "unused"
    LOST = "lost"


class Tenure(msgspec.Struct, frozen=True, array_like=True):
    """The entry that grants the places of an endpoint.

    A later tenure has a higher ``term``; of two equal ones, the one with the
    higher id counts.
    """

    term: int
    vm_id: str
    address: str

    def is_later_than(self, other: "Tenure | None") -> bool:
        """Return whether this tenure counts rather than another one."""
        if other is None:
            return True
        return (self.term, self.vm_id) > (other.term, other.vm_id)


class PlaceRequest(Message, frozen=True, kw_only=True, array_like=True):
    """An entry asks the holder of an endpoint's places for one.

    ``place_id`` is chosen by the entry. ``seconds_left`` is the time until
    the deadline of the request that needs it. ``term`` is that of the latest
    tenure that the entry knows, 0 if none.
    """

    is_urgent: ClassVar[bool] = True

    endpoint_id: str
    place_id: str
    seconds_left: float
    term: int = 0


class PlaceReply(Message, frozen=True, kw_only=True, array_like=True):
    """An entry grants or denies a place.

    If denied, one is expected in ``retry_after`` seconds. ``tenure`` is the
    latest that it knows; another entry may have it.
    """

    is_urgent: ClassVar[bool] = True

    is_granted: bool
    retry_after: float = 0.0
    tenure: Tenure | None = None


class TenureNotice(Message, frozen=True, kw_only=True, array_like=True):
    """An entry tells another of which endpoints an entry grants the places.

    That entry is ``vm_id`` at ``address``; ``terms_by_id`` has the terms by
    endpoint id. ``is_new`` says that it begins to. Those who know a former
    holder, or use places, reply with ``UsedPlacesNotice``.
    """

    is_urgent: ClassVar[bool] = True

    vm_id: str
    address: str
    terms_by_id: dict[str, int]
    is_new: bool = False

    @property
    def tenures_by_id(self) -> dict[str, Tenure]:
        """The tenures by endpoint id."""
        return {
            endpoint_id: Tenure(term, self.vm_id, self.address)
            for endpoint_id, term in self.terms_by_id.items()
        }


class UsedPlace(msgspec.Struct, frozen=True, array_like=True):
    """A place that a request uses, until at most its deadline."""

    place_id: str
    seconds_left: float
    is_accepted: bool


class UsedPlacesNotice(Message, frozen=True, kw_only=True, array_like=True):
    """An entry tells a new holder which places its requests still use."""

    is_urgent: ClassVar[bool] = True

    endpoint_id: str
    places: list[UsedPlace]


class PlaceNotice(Message, frozen=True, kw_only=True, array_like=True):
    """An entry tells the holder what became of a place."""

    is_urgent: ClassVar[bool] = True

    endpoint_id: str
    place_id: str
    event: PlaceEvent

"""The places that the requests of this entry use, at any holder."""

from dataclasses import dataclass

from burdockdrum.passthrough.brittle.messages import PlaceEvent
from burdockdrum.passthrough.brittle.messages import UsedPlace
from burdockdrum.passthrough.brittle.places import FINAL_EVENTS
from burdockdrum.ports import Clock


@dataclass(kw_only=True)
class _Use:
    """A place in use; ``deadline`` is that of its request, monotonic."""

    deadline: float
    is_accepted: bool = False


class UsedPlaces:
    """Places in use by the id of their endpoint, to tell a new holder."""

    def __init__(self, *, clock: Clock) -> None:
        """Create it without any."""
        self._clock = clock
        self._uses_by_endpoint: dict[str, dict[str, _Use]] = {}

    def begin(
        self, endpoint_id: str, place_id: str, seconds_left: float
    ) -> None:
        """Record that a request got a place.

        :param seconds_left: until the deadline of the request
        """
        uses = self._uses_by_endpoint.setdefault(endpoint_id, {})
        uses[place_id] = _Use(deadline=self._clock.monotonic() + seconds_left)

    def record(
        self, endpoint_id: str, place_id: str, event: PlaceEvent
    ) -> None:
        """Record what became of a place."""
        uses = self._uses_by_endpoint.get(endpoint_id, {})
        if event in FINAL_EVENTS:
            uses.pop(place_id, None)
        elif place_id in uses:
            uses[place_id].is_accepted = True
        if not uses:
            self._uses_by_endpoint.pop(endpoint_id, None)

    def list_used(self, endpoint_id: str) -> list[UsedPlace]:
        """Return the places in use at an endpoint."""
        now = self._clock.monotonic()
        uses = self._uses_by_endpoint.get(endpoint_id, {})
        return [
            UsedPlace(
                place_id=place_id,
                seconds_left=use.deadline - now,
                is_accepted=use.is_accepted,
            )
            for place_id, use in uses.items()
        ]

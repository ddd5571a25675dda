"""The places of one brittle endpoint, as their holder counts them.

No more places are in use than the endpoint has slots. Requests that the
holder doesn't know of may hold slots too, such as those of callers that left.
So only as many places as the endpoint is known to have had room for are
granted freely; beyond that, those not yet accepted and the rejections of the
last second are together kept to what the endpoint tolerates.
"""

import asyncio
import collections
from collections.abc import Collection
from dataclasses import dataclass
from dataclasses import field

from burdockdrum.passthrough.brittle.messages import UsedPlace

# Covers the delay until this entry hears of a rejection.
REJECTION_SECONDS = 1.25
# The same for an endpoint that tolerates none.
INTOLERANT_REJECTION_SECONDS = 10.0
# How long a request may go on at an endpoint after its connection was lost.
LOST_SECONDS = 1.0
# Covers the messages of other entries about the places that they use.
HAND_OVER_SECONDS = 0.1
# A place ends so long after the deadline of its request.
EXPIRY_GRACE_SECONDS = 1.0
# The weight of a new sample in the mean time for which places are used.
SAMPLE_WEIGHT = 0.1
# For how long without a grant an endpoint is known to have room.
PROOF_SECONDS = 0.5
INITIAL_USE_SECONDS = 0.3


@dataclass(kw_only=True)
class GrantedPlace:
    """A place in use; ``number`` counts those in use when it was granted.

    ``is_proof`` says that no request has been rejected since.
    """

    number: int
    granted_at: float
    expires_at: float
    is_accepted: bool = False
    is_proof: bool = True


@dataclass(kw_only=True)
class Waiter:
    """A request that waits for a place."""

    place_id: str
    seconds_left: float
    is_granted: asyncio.Future[bool]


@dataclass(kw_only=True)
class EndpointPlaces:
    """The places of one endpoint.

    ``proven`` is how many it is known to have had room for at once.
    ``used_at`` is when the last place was granted, ``begun_at`` when this
    entry began to. ``is_taken_over`` says that places were granted before.
    """

    slots: int
    max_rejections: int
    proven: int = 0
    used_at: float = float("-inf")
    begun_at: float = float("-inf")
    is_taken_over: bool = False
    mean_use_seconds: float = INITIAL_USE_SECONDS
    places_by_id: dict[str, GrantedPlace] = field(default_factory=dict)
    rejected_at: list[float] = field(default_factory=list)
    waiters: collections.deque[Waiter] = field(
        default_factory=collections.deque
    )

    def may_grant(self, now: float) -> bool:
        """Return whether another place can't be one rejection too many.

        :param now: the monotonic time
        """
        if now - self.used_at > PROOF_SECONDS:
            # Another holder may have granted places meanwhile.
            accepted = sum(p.is_accepted for p in self.places_by_id.values())
            self.proven = min(self.proven, accepted)
        in_use = len(self.places_by_id)
        if in_use >= self.slots:
            return False
        if in_use < self.proven:
            return True
        at_risk = sum(
            not place.is_accepted and place.number > self.proven
            for place in self.places_by_id.values()
        )
        return at_risk + len(self.rejected_at) < self._count_tolerated(now)

    def _count_tolerated(self, now: float) -> int:
        """Return how many requests may be rejected in a second.

        For a moment two entries may take themselves for the holder. At least
        one may, else nothing would ever be proven.
        """
        age = now - self.begun_at
        if age < HAND_OVER_SECONDS:
            return 0
        # Requests of an entry that is gone may run, which nobody counts.
        is_cautious = self.is_taken_over and age < LOST_SECONDS
        return max(0 if is_cautious else 1, self.max_rejections // 2)

    def expire(self, now: float) -> None:
        """Forget places whose requests have ended, and old rejections."""
        self.places_by_id = {
            place_id: place
            for place_id, place in self.places_by_id.items()
            if place.expires_at > now
        }
        seconds = (
            REJECTION_SECONDS
            if self.max_rejections
            else INTOLERANT_REJECTION_SECONDS
        )
        self.rejected_at = [
            at for at in self.rejected_at if at > now - seconds
        ]

    def seconds_until_place(self) -> float:
        """Return when a place is expected for another request."""
        ahead = len(self.waiters) + 1
        return self.mean_use_seconds * ahead / max(1, self.slots)

    def grant(self, waiter: Waiter, now: float) -> None:
        """Let a request use a place."""
        self.used_at = now
        self.places_by_id[waiter.place_id] = GrantedPlace(
            number=len(self.places_by_id) + 1,
            granted_at=now,
            expires_at=now + waiter.seconds_left + EXPIRY_GRACE_SECONDS,
        )
        waiter.is_granted.set_result(True)

    def adopt(self, places: Collection[UsedPlace], now: float) -> None:
        """Count places that a former holder granted and that are in use."""
        self.is_taken_over = True
        for place in places:
            if place.place_id in self.places_by_id:
                continue
            self.places_by_id[place.place_id] = GrantedPlace(
                number=len(self.places_by_id) + 1,
                granted_at=now,
                expires_at=now + place.seconds_left + EXPIRY_GRACE_SECONDS,
                is_accepted=place.is_accepted,
            )
        accepted = sum(p.is_accepted for p in self.places_by_id.values())
        self.proven = min(self.slots, max(self.proven, accepted))
        self.used_at = now

    def accept(self, place_id: str) -> None:
        """Record that the endpoint had room for the request in a place."""
        place = self.places_by_id[place_id]
        place.is_accepted = True
        if place.is_proof:
            self.proven = min(self.slots, max(self.proven, place.number))

    def end(self, place_id: str, now: float) -> None:
        """Record that the endpoint has run the request in a place."""
        self.accept(place_id)
        use = now - self.places_by_id.pop(place_id).granted_at
        self.mean_use_seconds += SAMPLE_WEIGHT * (use - self.mean_use_seconds)

    def reject(self, place_id: str, now: float) -> None:
        """Record that the endpoint had no room for the request in a place."""
        place = self.places_by_id.pop(place_id)
        self.rejected_at.append(now)
        self.proven = min(self.proven, place.number - 1)
        for other in self.places_by_id.values():
            other.is_proof = False

    def lose(self, place_id: str, now: float) -> None:
        """Record that nobody knows whether the request still runs."""
        place = self.places_by_id[place_id]
        place.expires_at = min(place.expires_at, now + LOST_SECONDS)

    def stop_waiting(self, place_id: str) -> None:
        """Let a request not wait any more whose entry has given up."""
        for waiter in list(self.waiters):
            if waiter.place_id == place_id:
                self.waiters.remove(waiter)
                waiter.is_granted.set_result(False)

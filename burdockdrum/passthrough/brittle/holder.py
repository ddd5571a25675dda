"""Hands out the places at the brittle endpoints that this entry holds.

No more places are in use than the endpoint has slots. Requests that this
entry doesn't know of may hold slots too, such as those of callers that left.
So only as many places as the endpoint is known to have had room for are
granted freely; beyond that, those not yet accepted and the rejections of the
last second are together kept to what the endpoint tolerates.
"""

import asyncio
import collections
from collections.abc import Collection
from dataclasses import dataclass
from dataclasses import field
import math

from burdockdrum.logs import log_decision
from burdockdrum.metrics import Metrics
from burdockdrum.passthrough.brittle.messages import PlaceEvent
from burdockdrum.passthrough.brittle.messages import PlaceReply
from burdockdrum.passthrough.brittle.messages import UsedPlace
from burdockdrum.ports import Clock

# How long a request may wait for a place. Then another endpoint or region is
# tried, or it is refused.
MAX_WAIT_SECONDS = 0.25
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
# An endpoint that gets no requests is forgotten after so long.
IDLE_SECONDS = 10.0
INITIAL_USE_SECONDS = 0.3
# Requests that wait for a place at an endpoint, for each of its slots.
MAX_WAITING_PER_SLOT = 2


@dataclass(kw_only=True)
class _GrantedPlace:
    """A place in use; ``number`` counts those in use when it was granted.

    ``is_proof`` says that no request has been rejected since.
    """

    number: int
    granted_at: float
    expires_at: float
    is_accepted: bool = False
    is_proof: bool = True


@dataclass(kw_only=True)
class _Waiter:
    """A request that waits for a place."""

    place_id: str
    seconds_left: float
    is_granted: asyncio.Future[bool]


@dataclass(kw_only=True)
class _Endpoint:
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
    places_by_id: dict[str, _GrantedPlace] = field(default_factory=dict)
    rejected_at: list[float] = field(default_factory=list)
    waiters: collections.deque[_Waiter] = field(
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


class PlaceHolder:
    """The places of the endpoints that this entry holds, by id."""

    def __init__(self, *, clock: Clock, metrics: Metrics) -> None:
        """Create it without any."""
        self._clock = clock
        self._endpoints_by_id: dict[str, _Endpoint] = {}
        self._decisions_total = metrics.counter(
            "burdockdrum_brittle_places_total",
            "Places at brittle endpoints that this entry granted or denied, "
            "and rejections in spite of them.",
        )

    def begin(self, endpoint_id: str, *, slots: int, requests: float) -> None:
        """Begin to grant places of an endpoint, as far as known the first.

        :param slots: the requests that the endpoint runs at once
        :param requests: those that are there now; it has room for as many
            beside them if it has slots left
        """
        room = max(0, min(int(requests), slots - math.ceil(requests)))
        now = self._clock.monotonic()
        self._endpoints_by_id[endpoint_id] = _Endpoint(
            slots=slots,
            max_rejections=0,
            proven=room,
            used_at=now,
            begun_at=now,
        )

    def take_over(
        self, endpoint_id: str, *, slots: int, max_rejections: int
    ) -> None:
        """Begin to grant places of an endpoint after another holder.

        :param slots: the requests that the endpoint runs at once
        :param max_rejections: those that it tolerates to reject in a second
        """
        self._endpoints_by_id[endpoint_id] = _Endpoint(
            slots=slots,
            max_rejections=max_rejections,
            begun_at=self._clock.monotonic(),
            is_taken_over=True,
        )

    def adopt(self, endpoint_id: str, places: Collection[UsedPlace]) -> None:
        """Count places that a former holder granted and that are in use."""
        known = self._endpoints_by_id.get(endpoint_id)
        if known is None:
            return
        known.is_taken_over = True
        now = self._clock.monotonic()
        for place in places:
            if place.place_id in known.places_by_id:
                continue
            known.places_by_id[place.place_id] = _GrantedPlace(
                number=len(known.places_by_id) + 1,
                granted_at=now,
                expires_at=now + place.seconds_left + EXPIRY_GRACE_SECONDS,
                is_accepted=place.is_accepted,
            )
        accepted = sum(p.is_accepted for p in known.places_by_id.values())
        known.proven = min(known.slots, max(known.proven, accepted))
        known.used_at = now
        log_decision(
            "endpoint.places_taken_over",
            endpoint_id=endpoint_id,
            places=len(known.places_by_id),
            slots=known.slots,
            proven=known.proven,
        )

    async def acquire(
        self,
        endpoint_id: str,
        place_id: str,
        *,
        slots: int,
        max_rejections: int,
        seconds_left: float,
    ) -> PlaceReply:
        """Grant a place as soon as one is free, or deny it.

        :param place_id: identifies it in ``record``
        :param slots: the requests that the endpoint runs at once
        :param max_rejections: those that it tolerates to reject in a second
        :param seconds_left: until the deadline of the request
        """
        known = self._find(endpoint_id, slots, max_rejections)
        waiter = _Waiter(
            place_id=place_id,
            seconds_left=seconds_left,
            is_granted=asyncio.get_running_loop().create_future(),
        )
        known.waiters.append(waiter)
        self._grant_waiting(known)
        may_wait = len(known.waiters) <= MAX_WAITING_PER_SLOT * slots
        if not waiter.is_granted.done() and may_wait:
            seconds = min(MAX_WAIT_SECONDS, max(0.0, seconds_left / 2))
            try:
                await self._wait(known, waiter, seconds)
            except asyncio.CancelledError:
                self.record(endpoint_id, place_id, PlaceEvent.UNUSED)
                raise
        if waiter.is_granted.done() and waiter.is_granted.result():
            self._decisions_total.increment(decision="granted")
            return PlaceReply(is_granted=True)
        self._stop_waiting(known, place_id)
        self._decisions_total.increment(decision="denied")
        return PlaceReply(
            is_granted=False,
            retry_after=known.seconds_until_place(),
        )

    def give_up(self, endpoint_id: str) -> None:
        """Grant no more places of an endpoint, as another entry does."""
        known = self._endpoints_by_id.pop(endpoint_id, None)
        if known is None:
            return
        log_decision(
            "endpoint.places_given_up",
            endpoint_id=endpoint_id,
            places=len(known.places_by_id),
        )
        for waiter in list(known.waiters):
            self._stop_waiting(known, waiter.place_id)

    def record(
        self, endpoint_id: str, place_id: str, event: PlaceEvent
    ) -> None:
        """Record what became of a place."""
        known = self._endpoints_by_id.get(endpoint_id)
        if known is None:
            return
        self._stop_waiting(known, place_id)
        place = known.places_by_id.get(place_id)
        if place is None:
            return
        now = self._clock.monotonic()
        match event:
            case PlaceEvent.ACCEPTED:
                self._accept(known, place)
            case PlaceEvent.ENDED:
                self._accept(known, place)
                del known.places_by_id[place_id]
                use = now - place.granted_at
                known.mean_use_seconds += SAMPLE_WEIGHT * (
                    use - known.mean_use_seconds
                )
            case PlaceEvent.REJECTED:
                del known.places_by_id[place_id]
                self._reject(endpoint_id, known, place)
            case PlaceEvent.UNUSED:
                del known.places_by_id[place_id]
            case PlaceEvent.LOST:
                place.expires_at = min(place.expires_at, now + LOST_SECONDS)
        self._grant_waiting(known)

    def update(self) -> None:
        """Grant what has become free by the passage of time.

        Forgets endpoints without places: another entry may have granted some
        since.
        """
        since = self._clock.monotonic() - IDLE_SECONDS
        for endpoint_id, known in list(self._endpoints_by_id.items()):
            self._grant_waiting(known)
            is_idle = not (
                known.waiters or known.places_by_id or known.rejected_at
            )
            if is_idle and known.used_at < since:
                del self._endpoints_by_id[endpoint_id]

    def _find(
        self, endpoint_id: str, slots: int, max_rejections: int
    ) -> _Endpoint:
        known = self._endpoints_by_id.get(endpoint_id)
        if known is None:
            known = _Endpoint(slots=slots, max_rejections=max_rejections)
            self._endpoints_by_id[endpoint_id] = known
        known.slots, known.max_rejections = slots, max_rejections
        return known

    def _grant_waiting(self, known: _Endpoint) -> None:
        now = self._clock.monotonic()
        known.expire(now)
        while known.waiters and known.may_grant(now):
            waiter = known.waiters.popleft()
            known.used_at = now
            known.places_by_id[waiter.place_id] = _GrantedPlace(
                number=len(known.places_by_id) + 1,
                granted_at=now,
                expires_at=now + waiter.seconds_left + EXPIRY_GRACE_SECONDS,
            )
            waiter.is_granted.set_result(True)

    async def _wait(
        self, known: _Endpoint, waiter: _Waiter, seconds: float
    ) -> None:
        """Wait for a place, which may be free once the hand-over is over."""
        now = self._clock.monotonic()
        until_handed_over = known.begun_at + HAND_OVER_SECONDS - now
        if 0 < until_handed_over < seconds:
            await asyncio.wait({waiter.is_granted}, timeout=until_handed_over)
            self._grant_waiting(known)
            seconds -= until_handed_over
        await asyncio.wait({waiter.is_granted}, timeout=seconds)

    def _stop_waiting(self, known: _Endpoint, place_id: str) -> None:
        """Let a request not wait any more whose entry has given up."""
        for waiter in list(known.waiters):
            if waiter.place_id == place_id:
                known.waiters.remove(waiter)
                waiter.is_granted.set_result(False)

    def _accept(self, known: _Endpoint, place: _GrantedPlace) -> None:
        place.is_accepted = True
        if place.is_proof:
            known.proven = min(known.slots, max(known.proven, place.number))

    def _reject(
        self, endpoint_id: str, known: _Endpoint, place: _GrantedPlace
    ) -> None:
        known.rejected_at.append(self._clock.monotonic())
        known.proven = min(known.proven, place.number - 1)
        for other in known.places_by_id.values():
            other.is_proof = False
        self._decisions_total.increment(decision="rejected")
        log_decision(
            "endpoint.brittle_rejected",
            endpoint_id=endpoint_id,
            max_rejections=known.max_rejections,
            recent=len(known.rejected_at),
            places=len(known.places_by_id),
            slots=known.slots,
            proven=known.proven,
        )

"""Hands out the places at the brittle endpoints that this entry holds."""

import asyncio
from collections.abc import Collection
import math

from burdockdrum.logs import log_decision
from burdockdrum.metrics import Metrics
from burdockdrum.passthrough.brittle.endpoint_places import EndpointPlaces
from burdockdrum.passthrough.brittle.endpoint_places import HAND_OVER_SECONDS
from burdockdrum.passthrough.brittle.endpoint_places import Waiter
from burdockdrum.passthrough.brittle.messages import PlaceEvent
from burdockdrum.passthrough.brittle.messages import PlaceReply
from burdockdrum.passthrough.brittle.messages import UsedPlace
from burdockdrum.ports import Clock

# How long a request may wait for a place. Then another endpoint or region is
# tried, or it is refused.
MAX_WAIT_SECONDS = 0.25
# An endpoint that gets no requests is forgotten after so long.
IDLE_SECONDS = 10.0
# Requests that wait for a place at an endpoint, for each of its slots.
MAX_WAITING_PER_SLOT = 2


class PlaceHolder:
    """The places of the endpoints that this entry holds, by id."""

    def __init__(self, *, clock: Clock, metrics: Metrics) -> None:
        """Create it without any."""
        self._clock = clock
        self._endpoints_by_id: dict[str, EndpointPlaces] = {}
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
        self._endpoints_by_id[endpoint_id] = EndpointPlaces(
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
        self._endpoints_by_id[endpoint_id] = EndpointPlaces(
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
        known.adopt(places, self._clock.monotonic())
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
        waiter = Waiter(
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
        known.stop_waiting(place_id)
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
            known.stop_waiting(waiter.place_id)

    def record(
        self, endpoint_id: str, place_id: str, event: PlaceEvent
    ) -> None:
        """Record what became of a place."""
        known = self._endpoints_by_id.get(endpoint_id)
        if known is None:
            return
        known.stop_waiting(place_id)
        if place_id not in known.places_by_id:
            return
        now = self._clock.monotonic()
        match event:
            case PlaceEvent.ACCEPTED:
                known.accept(place_id)
            case PlaceEvent.ENDED:
                known.end(place_id, now)
            case PlaceEvent.REJECTED:
                known.reject(place_id, now)
                self._report_rejection(endpoint_id, known)
            case PlaceEvent.UNUSED:
                del known.places_by_id[place_id]
            case PlaceEvent.LOST:
                known.lose(place_id, now)
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
    ) -> EndpointPlaces:
        known = self._endpoints_by_id.get(endpoint_id)
        if known is None:
            known = EndpointPlaces(slots=slots, max_rejections=max_rejections)
            self._endpoints_by_id[endpoint_id] = known
        known.slots, known.max_rejections = slots, max_rejections
        return known

    def _grant_waiting(self, known: EndpointPlaces) -> None:
        now = self._clock.monotonic()
        known.expire(now)
        while known.waiters and known.may_grant(now):
            known.grant(known.waiters.popleft(), now)

    async def _wait(
        self, known: EndpointPlaces, waiter: Waiter, seconds: float
    ) -> None:
        """Wait for a place, which may be free once the hand-over is over."""
        now = self._clock.monotonic()
        until_handed_over = known.begun_at + HAND_OVER_SECONDS - now
        if 0 < until_handed_over < seconds:
            await asyncio.wait({waiter.is_granted}, timeout=until_handed_over)
            self._grant_waiting(known)
            seconds -= until_handed_over
        await asyncio.wait({waiter.is_granted}, timeout=seconds)

    def _report_rejection(
        self, endpoint_id: str, known: EndpointPlaces
    ) -> None:
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

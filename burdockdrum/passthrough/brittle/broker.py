"""Acquires places at brittle endpoints from the entries that hold them."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import random

import msgspec

from burdockdrum.logs import log_failure
from burdockdrum.metrics import Metrics
from burdockdrum.passthrough.brittle.endpoints import BrittleEndpoints
from burdockdrum.passthrough.brittle.holder import MAX_WAIT_SECONDS
from burdockdrum.passthrough.brittle.holder import PlaceHolder
from burdockdrum.passthrough.brittle.messages import PlaceEvent
from burdockdrum.passthrough.brittle.messages import PlaceNotice
from burdockdrum.passthrough.brittle.messages import PlaceReply
from burdockdrum.passthrough.brittle.messages import PlaceRequest
from burdockdrum.passthrough.brittle.messages import Tenure
from burdockdrum.passthrough.brittle.messages import TenureNotice
from burdockdrum.passthrough.brittle.messages import UsedPlacesNotice
from burdockdrum.passthrough.brittle.places import Place
from burdockdrum.passthrough.brittle.places import PlaceDenied
from burdockdrum.passthrough.brittle.tenures import FIRST_TERM
from burdockdrum.passthrough.brittle.tenures import Tenures
from burdockdrum.passthrough.brittle.used_places import UsedPlaces
from burdockdrum.peers import CallFailed
from burdockdrum.peers import Message
from burdockdrum.peers import Sender
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock
from burdockdrum.registrations import LikelyEntries
from burdockdrum.registrations import RegisteredEndpoint

ASK_TIMEOUT_SECONDS = MAX_WAIT_SECONDS + 0.25
# An endpoint that denied a place is not asked again for at most so long.
MAX_DENIAL_SECONDS = 0.25
# A holder that did not reply is not asked again for so long.
UNREACHED_SECONDS = 5.0
# How often an entry repeats which places it grants: others may have missed it.
TENURE_INTERVAL_SECONDS = 2.0
# When to ask again if the holder isn't known, or doesn't know the endpoint.
UNKNOWN_HOLDER_SECONDS = 0.5


class PlaceBroker:
    """Acquires a place before a request is sent to a brittle endpoint."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        own: VmIdentity,
        brittle: BrittleEndpoints,
        entries: LikelyEntries,
        metrics: Metrics,
        read_endpoints: Callable[[], Mapping[str, RegisteredEndpoint]],
        read_requests: Callable[[str], float],
        ask: Callable[[str, PlaceRequest], Awaitable[PlaceReply]],
        send: Callable[[str, Message], None],
    ) -> None:
        """Create it for the endpoints of an entry's region.

        :param own: the identity of this entry
        :param entries: those that may hold the places of an endpoint
        :param read_endpoints: returns the registered endpoints by id
        :param read_requests: returns the requests of all entries at an
            endpoint, as last reported
        :param ask: sends a request for a place to an address; raises
            ``CallFailed``
        :param send: sends a notice to an address
        """
        self._clock = clock
        self._rng = rng
        self._own_id = own.vm_id
        self._own_address = own.control_address
        self._place_prefix = f"{own.vm_id}/{own.incarnation}/"
        self._brittle = brittle
        self._entries = entries
        self._read_endpoints = read_endpoints
        self._read_requests = read_requests
        self._ask = ask
        self._send = send
        self._holder = PlaceHolder(clock=clock, metrics=metrics)
        self._tenures = Tenures(
            own_id=own.vm_id,
            own_address=own.control_address,
            entries=entries,
        )
        self._used = UsedPlaces(clock=clock)
        self._tell_at = float("-inf")
        self._number = 0
        # When to ask for a place at an endpoint again, by its id.
        self._ask_again_at_by_id: dict[str, float] = {}
        # When to ask an entry again that did not reply, by its id.
        self._ask_holder_from_by_id: dict[str, float] = {}
        self._requests_total = metrics.counter(
            "burdockdrum_brittle_place_requests_total",
            "Requests to brittle endpoints, by whether they got a place.",
        )

    def may_ask(self, endpoint_id: str) -> bool:
        """Return whether an endpoint may have a place for a request."""
        again_at = self._ask_again_at_by_id.get(endpoint_id)
        return again_at is None or again_at <= self._clock.monotonic()

    async def acquire(
        self, endpoint: RegisteredEndpoint, seconds_left: float
    ) -> Place | PlaceDenied | None:
        """Acquire a place at an endpoint.

        :param seconds_left: until the deadline of the request
        :returns: None if the endpoint is not brittle and needs none
        """
        max_rejections = self._brittle.max_rejections_of(endpoint)
        if max_rejections is None:
            return None
        endpoint_id = endpoint.endpoint_id
        place: Place | PlaceDenied = PlaceDenied(
            retry_after=UNKNOWN_HOLDER_SECONDS
        )
        holder = self._tenures.choose_holder(
            endpoint_id, self._ask_holder_from_by_id
        )
        if holder is not None:
            place = await self._acquire_from(*holder, endpoint, seconds_left)
        if isinstance(place, PlaceDenied):
            self._requests_total.increment(result="denied")
            seconds = min(MAX_DENIAL_SECONDS, place.retry_after)
            self._ask_again_at_by_id[endpoint_id] = (
                self._clock.monotonic() + seconds * self._rng.uniform(0.5, 1.0)
            )
        return place

    async def handle_request(
        self, sender: Sender | None, request: PlaceRequest
    ) -> PlaceReply:
        """Grant an entry a place, or deny it.

        :param sender: the entry, None if this one asks itself
        """
        if sender is not None:
            self._record_reached(sender)
        endpoint_id = request.endpoint_id
        endpoint = self._read_endpoints().get(endpoint_id)
        if endpoint is None:
            return PlaceReply(
                is_granted=False, retry_after=UNKNOWN_HOLDER_SECONDS
            )
        if not self._tenures.is_own(endpoint_id):
            if self._tenures.term_of(endpoint_id) > request.term:
                tenure = self._tenures.find(endpoint_id)
                return PlaceReply(is_granted=False, tenure=tenure)
            # The entry does not reach the holder, or there is none.
            self._begin_tenure(endpoint, request.term)
        max_rejections = self._brittle.max_rejections_of(endpoint)
        reply = await self._holder.acquire(
            endpoint_id,
            request.place_id,
            slots=endpoint.slots,
            # Not learned here yet, or withdrawn; the requester soon learns.
            max_rejections=max_rejections or 0,
            seconds_left=request.seconds_left,
        )
        if self._tenures.term_of(endpoint_id) == request.term:
            return reply
        return msgspec.structs.replace(
            reply, tenure=self._tenures.find(endpoint_id)
        )

    async def handle_notice(
        self, sender: Sender, notice: PlaceNotice
    ) -> Message | None:
        """Record what became of a place of another entry."""
        self._record_reached(sender)
        self._holder.record(notice.endpoint_id, notice.place_id, notice.event)
        return None

    async def handle_tenures(
        self, sender: Sender, notice: TenureNotice
    ) -> Message | None:
        """Take note of the endpoints whose places another entry grants."""
        self._record_reached(sender)
        for endpoint_id, tenure in notice.tenures_by_id.items():
            is_known = not self._observe_tenure(endpoint_id, tenure)
            if is_known and notice.is_new:
                self._tell_former(sender, endpoint_id)
        return None

    async def handle_used_places(
        self, sender: Sender, notice: UsedPlacesNotice
    ) -> Message | None:
        """Count places that another entry got from a former holder."""
        self._record_reached(sender)
        if self._tenures.is_own(notice.endpoint_id):
            self._holder.adopt(notice.endpoint_id, notice.places)
        return None

    def update(self) -> None:
        """Take over what changed, and forget what is over."""
        now = self._clock.monotonic()
        self._brittle.update()
        self._holder.update()
        for table in (self._ask_again_at_by_id, self._ask_holder_from_by_id):
            for key in [key for key, at in table.items() if at <= now]:
                del table[key]
        self._tenures.retain(self._read_endpoints())
        if now >= self._tell_at:
            self._tell_at = now + TENURE_INTERVAL_SECONDS
            self._tell_others(self._tenures.list_own_terms(), is_new=False)

    def _tell_others(
        self, terms_by_id: dict[str, int], *, is_new: bool
    ) -> None:
        """Tell the other entries of tenures of this one."""
        if not terms_by_id:
            return
        notice = TenureNotice(
            vm_id=self._own_id,
            address=self._own_address,
            terms_by_id=terms_by_id,
            is_new=is_new,
        )
        for vm_id, address in self._entries.address_by_id.items():
            if vm_id != self._own_id:
                self._send(address, notice)

    def _begin_tenure(self, endpoint: RegisteredEndpoint, after: int) -> None:
        """Begin to grant the places of an endpoint, after a term."""
        endpoint_id = endpoint.endpoint_id
        tenure = self._tenures.begin(endpoint_id, after)
        self._tell_others({endpoint_id: tenure.term}, is_new=True)
        if tenure.term == FIRST_TERM:
            self._holder.begin(
                endpoint_id,
                slots=endpoint.slots,
                requests=self._read_requests(endpoint_id),
            )
            return
        self._holder.take_over(
            endpoint_id,
            slots=endpoint.slots,
            max_rejections=self._brittle.max_rejections_of(endpoint) or 0,
        )
        self._holder.adopt(endpoint_id, self._used.list_used(endpoint_id))

    def _observe_tenure(self, endpoint_id: str, tenure: Tenure) -> bool:
        """Take note of a tenure; return whether it is later than the known."""
        was_own = self._tenures.is_own(endpoint_id)
        if not self._tenures.observe(endpoint_id, tenure):
            return False
        if was_own:
            self._holder.give_up(endpoint_id)
        if self._used.list_used(endpoint_id):
            self._tell_used(endpoint_id, tenure.address)
        return True

    def _tell_former(self, sender: Sender, endpoint_id: str) -> None:
        """Tell an entry that began to grant places of who granted them."""
        tenure = self._tenures.find(endpoint_id)
        assert tenure is not None
        if tenure.vm_id == sender.vm_id:
            # It granted them before it was restarted.
            self._tell_used(endpoint_id, sender.address)
            return
        notice = TenureNotice(
            vm_id=tenure.vm_id,
            address=tenure.address,
            terms_by_id={endpoint_id: tenure.term},
        )
        self._send(sender.address, notice)

    def _tell_used(self, endpoint_id: str, address: str) -> None:
        """Tell a new holder which places the requests of this entry use."""
        places = self._used.list_used(endpoint_id)
        notice = UsedPlacesNotice(endpoint_id=endpoint_id, places=places)
        self._send(address, notice)

    async def _acquire_from(
        self,
        holder_id: str,
        address: str,
        endpoint: RegisteredEndpoint,
        seconds_left: float,
    ) -> Place | PlaceDenied:
        endpoint_id = endpoint.endpoint_id
        self._number += 1
        request = PlaceRequest(
            endpoint_id=endpoint_id,
            place_id=f"{self._place_prefix}{self._number}",
            seconds_left=seconds_left,
            term=self._tenures.term_of(endpoint_id),
        )
        is_own = holder_id == self._own_id

        def record(event: PlaceEvent) -> None:
            self._used.record(endpoint_id, request.place_id, event)
            self._report(address, endpoint_id, request.place_id, event)

        try:
            reply = await (
                self.handle_request(None, request)
                if is_own
                else self._ask(address, request)
            )
        except CallFailed as error:
            self._record_unreached(endpoint_id, holder_id, error)
            record(PlaceEvent.UNUSED)
            return PlaceDenied(retry_after=0.0)
        except asyncio.CancelledError:
            record(PlaceEvent.UNUSED)
            raise
        if reply.tenure is not None:
            self._observe_tenure(endpoint_id, reply.tenure)
        if not reply.is_granted:
            return PlaceDenied(retry_after=reply.retry_after)
        self._requests_total.increment(result="own" if is_own else "granted")
        self._used.begin(endpoint_id, request.place_id, seconds_left)
        tenure = self._tenures.find(endpoint_id)
        if tenure is not None and tenure.vm_id != holder_id:
            # Granted while another entry took over.
            self._tell_used(endpoint_id, tenure.address)
        return Place(report=record)

    def _record_reached(self, sender: Sender) -> None:
        """Ask an entry again that did not reply, but sends messages."""
        self._ask_holder_from_by_id.pop(sender.vm_id, None)

    def _report(
        self,
        address: str,
        endpoint_id: str,
        place_id: str,
        event: PlaceEvent,
    ) -> None:
        """Tell the holder of an endpoint what became of a place.

        :param address: that of the entry that granted it
        """
        tenure = self._tenures.find(endpoint_id)
        if tenure is not None:
            address = tenure.address
        if address == self._own_address:
            self._holder.record(endpoint_id, place_id, event)
            return
        notice = PlaceNotice(
            endpoint_id=endpoint_id, place_id=place_id, event=event
        )
        self._send(address, notice)

    def _record_unreached(
        self, endpoint_id: str, holder_id: str, error: CallFailed
    ) -> None:
        log_failure(
            "endpoint.place_request_failed",
            endpoint_id=endpoint_id,
            about_vm=holder_id,
            reason=str(error),
        )
        self._ask_holder_from_by_id[holder_id] = (
            self._clock.monotonic() + UNREACHED_SECONDS
        )

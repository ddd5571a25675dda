"""One attempt: at an endpoint here, or through an entry elsewhere."""

import asyncio

from burdockdrum.http1 import ClientConnection
from burdockdrum.http1 import ConnectionPool
from burdockdrum.http1 import Exchange
from burdockdrum.http1 import NotConnected
from burdockdrum.http1 import ResponseHead
from burdockdrum.http1 import ResponseLost
from burdockdrum.logs import log_decision
from burdockdrum.passthrough.calls import Call
from burdockdrum.passthrough.calls import CallsUnderWay
from burdockdrum.passthrough.events import BrokenEvents
from burdockdrum.passthrough.events import EventCutter
from burdockdrum.passthrough.fleet import Fleet
from burdockdrum.passthrough.health import EndpointHealth
from burdockdrum.passthrough.model import Answered
from burdockdrum.passthrough.model import Delivered
from burdockdrum.passthrough.model import EndpointPlace
from burdockdrum.passthrough.model import Lost
from burdockdrum.passthrough.model import NotStarted
from burdockdrum.passthrough.model import Outcome
from burdockdrum.passthrough.model import PassedRequest
from burdockdrum.passthrough.model import Place
from burdockdrum.passthrough.model import Progress
from burdockdrum.passthrough.model import RegionPlace
from burdockdrum.passthrough.patience import Patience
from burdockdrum.passthrough.payloads import PayloadMaker
from burdockdrum.passthrough.responses import AnswerCut
from burdockdrum.passthrough.responses import read_held
from burdockdrum.passthrough.responses import read_runs
from burdockdrum.passthrough.responses import read_small
from burdockdrum.passthrough.responses import ResponseReader
from burdockdrum.ports import Clock

# Within a region a connection opens in a few milliseconds; a packet that
# was lost is sent again after a second.
CONNECT_SECONDS = 0.4
# To another region it takes 110 ms.
HOP_CONNECT_SECONDS = 0.6
# There and back between two regions, and the hop's own work.
HOP_SECONDS = 0.12
# An endpoint's own answer at the deadline is on its way by then.
GRACE_SECONDS = 0.05


class Attempts:
    """Make attempts and say what became of each."""

    def __init__(
        self,
        *,
        clock: Clock,
        fleet: Fleet,
        endpoint_pool: ConnectionPool,
        vm_pool: ConnectionPool,
        payloads: PayloadMaker,
        responses: ResponseReader,
        patience: Patience,
    ) -> None:
        """Create it over the pools of connections."""
        self._patience = patience
        self._clock = clock
        self._fleet = fleet
        self._endpoint_pool = endpoint_pool
        self._vm_pool = vm_pool
        self._payloads = payloads
        self._responses = responses
        self._under_way = CallsUnderWay()

    def end_start(self, endpoint_id: str) -> None:
        """Give up what runs at a start of an endpoint that is over.

        Its connections may stay open in the kernel after a loss of power.
        """
        number = self._under_way.give_up_all(
            endpoint_id, "the endpoint started again"
        )
        if number:
            log_decision(
                "attempts.given_up", endpoint_id=endpoint_id, number=number
            )

    async def make(
        self,
        place: Place,
        request: PassedRequest,
        progress: Progress,
        exchange: Exchange,
        cutter: EventCutter,
    ) -> Outcome:
        """Make an attempt and pass its answer on.

        :raises AnswerCut: if the answer broke off and can't go on
        """
        match place:
            case EndpointPlace():
                return await self._at_endpoint(
                    place, request, progress, exchange, cutter
                )
            case RegionPlace():
                return await self._through_region(
                    place, request, progress, exchange, cutter
                )

    async def _at_endpoint(
        self,
        place: EndpointPlace,
        request: PassedRequest,
        progress: Progress,
        exchange: Exchange,
        cutter: EventCutter,
    ) -> Outcome:
        endpoint = place.choice.endpoint
        placement = self._fleet.begin(
            place.choice, request.backend, request.prompt, request.route.rank
        )
        payload = self._payloads.for_endpoint(
            request,
            endpoint_id=endpoint.known_as,
            fetch_from=place.choice.fetch_from,
            seconds_left=self._seconds_left(request),
            last_event=cutter.last_number,
        )
        call = Call(
            pool=self._endpoint_pool,
            address=endpoint.address,
            payload=payload,
            connect_seconds=CONNECT_SECONDS,
            place=place,
            placement=placement,
        )
        outcome: Outcome | None = None
        try:
            self._under_way.add(endpoint.endpoint_id, call)
            outcome = await self._call(
                call, request, progress, exchange, cutter
            )
            return outcome
        finally:
            self._under_way.remove(endpoint.endpoint_id, call)
            whole = isinstance(outcome, Delivered)
            self._fleet.end(placement, request.backend, whole=whole)
            self._judge(self._fleet.health_of(endpoint), outcome)
            if isinstance(outcome, NotStarted) and outcome.replaced:
                self._fleet.drop(endpoint)

    async def _through_region(
        self,
        place: RegionPlace,
        request: PassedRequest,
        progress: Progress,
        exchange: Exchange,
        cutter: EventCutter,
    ) -> Outcome:
        payload = self._payloads.for_region(
            request,
            seconds_left=self._seconds_left(request),
            attempts=handed_attempts(request, progress),
            last_event=cutter.last_number,
        )
        call = Call(
            pool=self._vm_pool,
            address=place.address,
            payload=payload,
            connect_seconds=HOP_CONNECT_SECONDS,
            place=place,
        )
        began = self._clock.monotonic()
        outcome = await self._call(call, request, progress, exchange, cutter)
        if isinstance(outcome, Delivered):
            # An entry without endpoints of its own learns it from these.
            seconds = self._clock.monotonic() - began - HOP_SECONDS
            self._fleet.note_run(request.backend.name, max(0.0, seconds))
        return outcome

    async def _call(
        self,
        call: Call,
        request: PassedRequest,
        progress: Progress,
        exchange: Exchange,
        cutter: EventCutter,
    ) -> Outcome:
        try:
            connection = await call.pool.take(
                call.address, timeout=call.connect_seconds
            )
        except NotConnected as error:
            return NotStarted(reason=str(error), reached=False)
        left = self._seconds_left(request) + GRACE_SECONDS
        if left <= GRACE_SECONDS:
            call.pool.give_back(call.address, connection)
            return NotStarted(reason="no time was left", reached=False)
        progress.sent += 1
        began = self._clock.monotonic()
        try:
            connection.send(call.payload, request.request_id.encode())
            async with asyncio.timeout(left) as call.timeout:
                call.watch = self._patience.watch(
                    call.place, request, progress, call.give_up
                )
                return await self._receive(
                    connection, call, request, progress, exchange, cutter
                )
        except TimeoutError:
            if call.given_up_because is not None:
                waited = self._clock.monotonic() - began
                reason = f"{call.given_up_because} after {waited:.2f} s"
                return Lost(reason=reason)
            return Lost(reason="the deadline has passed", timed_out=True)
        except (ResponseLost, BrokenEvents) as error:
            return Lost(reason=str(error))
        finally:
            call.stop_watching()
            # One whose response was not read to its end is closed, and
            # what runs at the other side ends.
            call.pool.give_back(call.address, connection)

    async def _receive(
        self,
        connection: ClientConnection,
        call: Call,
        request: PassedRequest,
        progress: Progress,
        exchange: Exchange,
        cutter: EventCutter,
    ) -> Outcome:
        head = await connection.read_head()
        judged = self._responses.judge(head)
        if judged is not None:
            await read_small(connection)
            return judged
        if head.status >= 300:
            body = await read_small(connection)
            return Answered(head=head, body=body, runs=read_runs(head) or 1)
        if request.route.streams:
            return await self._pass_stream(
                connection, head, call, request, progress, exchange, cutter
            )
        call.stop_watching()
        return await self._pass_whole(connection, head, exchange)

    async def _pass_whole(
        self,
        connection: ClientConnection,
        head: ResponseHead,
        exchange: Exchange,
    ) -> Outcome:
        body, whole = await read_held(connection)
        headers = self._responses.headers_for_caller(head)
        if whole:
            exchange.answer(head.status, headers, body)
            return Delivered(status=head.status)
        exchange.start(head.status, headers)
        exchange.write(body)
        try:
            while (part := await connection.read_part()) is not None:
                exchange.write(part)
                await exchange.drain()
        except ResponseLost as error:
            raise AnswerCut(str(error)) from error
        exchange.finish()
        return Delivered(status=head.status)

    async def _pass_stream(
        self,
        connection: ClientConnection,
        head: ResponseHead,
        call: Call,
        request: PassedRequest,
        progress: Progress,
        exchange: Exchange,
        cutter: EventCutter,
    ) -> Outcome:
        cutter.begin_run()
        while (part := await connection.read_part()) is not None:
            if call.watch is not None:
                call.watch.note_part()
            if call.placement is not None:
                self._fleet.note_output(call.placement)
            events = cutter.feed(part)
            if events:
                progress.note_part(self._clock.monotonic())
                self._start_stream(exchange, head)
                exchange.write(events)
                await exchange.drain()
        if cutter.has_rest:
            raise BrokenEvents("the stream ended in the middle of an event")
        self._start_stream(exchange, head)
        exchange.finish()
        return Delivered(status=head.status)

    def _start_stream(self, exchange: Exchange, head: ResponseHead) -> None:
        # Not before the first event: until then another endpoint can give
        # the answer, its head included.
        if not exchange.started:
            headers = self._responses.headers_for_caller(head)
            exchange.start(head.status, headers)

    def _seconds_left(self, request: PassedRequest) -> float:
        return request.deadline - self._clock.monotonic()

    def _judge(self, health: EndpointHealth, outcome: Outcome | None) -> None:
        now = self._clock.monotonic()
        if isinstance(outcome, Delivered | Answered):
            health.note_reached(now)
        match outcome:
            case Delivered():
                health.note_success()
            case Answered(head=head) if head.status >= 500:
                health.note_failure(now)
            case NotStarted(reached=False):
                health.note_unreachable(now)
            case Lost(timed_out=False):
                health.note_loss(now)
            case _:
                health.note_neutral()


def handed_attempts(request: PassedRequest, progress: Progress) -> int:
    """Return how many endpoints another region may run a request at.

    A stream that breaks off on its way back may have used them all; it goes
    on from here only if one was handed over and not every one.
    """
    if request.route.streams:
        return 1
    return max(1, request.attempts - progress.runs)

"""Run a single attempt of a request.

An attempt goes to an endpoint of this region, or is forwarded to an entry VM
of another region.
"""

import asyncio

from burdockdrum.http1 import ClientConnection
from burdockdrum.http1 import ConnectionPool
from burdockdrum.http1 import Exchange
from burdockdrum.http1 import NotConnected
from burdockdrum.http1 import ResponseHead
from burdockdrum.http1 import ResponseLost
from burdockdrum.logs import log_decision
from burdockdrum.passthrough.calls import Call
from burdockdrum.passthrough.calls import InFlightCalls
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

# Shorter than the one-second TCP retransmission timeout: after a lost packet
# a new connection is faster than the retransmission.
CONNECT_TIMEOUT_SECONDS = 0.4
HOP_CONNECT_TIMEOUT_SECONDS = 0.6
# Round trip between two regions, plus the processing at the other entry VM.
HOP_DELAY_SECONDS = 0.12
# Lets a response that the endpoint sent at the deadline still arrive.
DEADLINE_GRACE_SECONDS = 0.05


class Attempts:
    """Runs attempts and reports the outcome of each."""

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
        """Create the runner with its connection pools and collaborators."""
        self._patience = patience
        self._clock = clock
        self._fleet = fleet
        self._endpoint_pool = endpoint_pool
        self._vm_pool = vm_pool
        self._payloads = payloads
        self._responses = responses
        self._in_flight = InFlightCalls()

    def end_start(self, endpoint_id: str) -> None:
        """Abort the attempts at a previous incarnation of an endpoint.

        After a power loss its connections can stay open in the kernel, so
        that waiting for an error would take until the deadline.
        """
        number = self._in_flight.abort_all(
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
        """Run an attempt and forward its response to the caller.

        :raises AnswerCut: if the response broke off after it had been
            partly forwarded and cannot be resumed
        """
        match place:
            case EndpointPlace():
                return await self._send_to_endpoint(
                    place, request, progress, exchange, cutter
                )
            case RegionPlace():
                return await self._forward_to_region(
                    place, request, progress, exchange, cutter
                )

    async def _send_to_endpoint(
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
            connect_timeout_seconds=CONNECT_TIMEOUT_SECONDS,
            place=place,
            placement=placement,
        )
        outcome: Outcome | None = None
        try:
            self._in_flight.add(endpoint.endpoint_id, call)
            outcome = await self._call(
                call, request, progress, exchange, cutter
            )
            return outcome
        finally:
            self._in_flight.remove(endpoint.endpoint_id, call)
            whole = isinstance(outcome, Delivered)
            self._fleet.end(placement, request.backend, whole=whole)
            self._record_outcome(self._fleet.health_of(endpoint), outcome)
            if isinstance(outcome, NotStarted) and outcome.replaced:
                self._fleet.remove_incarnation(endpoint)

    async def _forward_to_region(
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
            connect_timeout_seconds=HOP_CONNECT_TIMEOUT_SECONDS,
            place=place,
        )
        began = self._clock.monotonic()
        outcome = await self._call(call, request, progress, exchange, cutter)
        if isinstance(outcome, Delivered):
            # An entry VM without local endpoints has no other samples.
            seconds = self._clock.monotonic() - began - HOP_DELAY_SECONDS
            self._fleet.record_run(request.backend.name, max(0.0, seconds))
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
                call.address, timeout=call.connect_timeout_seconds
            )
        except NotConnected as error:
            return NotStarted(reason=str(error), reached=False)
        left = self._seconds_left(request) + DEADLINE_GRACE_SECONDS
        if left <= DEADLINE_GRACE_SECONDS:
            call.pool.give_back(call.address, connection)
            return NotStarted(
                reason="the deadline passed before the request was sent",
                reached=False,
            )
        progress.sent += 1
        began = self._clock.monotonic()
        try:
            connection.send(call.payload, request.request_id.encode())
            async with asyncio.timeout(left) as call.timeout:
                call.watchdog = self._patience.start_watchdog(
                    call.place, request, progress, call.abort
                )
                return await self._receive(
                    connection, call, request, progress, exchange, cutter
                )
        except TimeoutError:
            if call.abort_reason is not None:
                waited = self._clock.monotonic() - began
                reason = f"{call.abort_reason} after {waited:.2f} s"
                return Lost(reason=reason)
            return Lost(reason="the deadline has passed", timed_out=True)
        except (ResponseLost, BrokenEvents) as error:
            return Lost(reason=str(error))
        finally:
            call.disarm_watchdog()
            # The pool closes a connection whose response was not read to its
            # end, which cancels the request at the other side.
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
        failure = self._responses.judge(head)
        if failure is not None:
            await read_small(connection)
            return failure
        if head.status >= 300:
            body = await read_small(connection)
            return Answered(head=head, body=body, runs=read_runs(head) or 1)
        if request.route.streams:
            return await self._forward_stream(
                connection, head, call, request, progress, exchange, cutter
            )
        call.disarm_watchdog()
        return await self._forward_response(connection, head, exchange)

    async def _forward_response(
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
            while (chunk := await connection.read_part()) is not None:
                exchange.write(chunk)
                await exchange.drain()
        except ResponseLost as error:
            raise AnswerCut(str(error)) from error
        exchange.finish()
        return Delivered(status=head.status)

    async def _forward_stream(
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
        while (chunk := await connection.read_part()) is not None:
            if call.watchdog is not None:
                call.watchdog.record_chunk()
            if call.placement is not None:
                self._fleet.note_output(call.placement)
            events = cutter.feed(chunk)
            if events:
                progress.record_chunk(self._clock.monotonic())
                self._start_stream(exchange, head)
                exchange.write(events)
                await exchange.drain()
        if cutter.has_rest:
            raise BrokenEvents("the stream ended in the middle of an event")
        self._start_stream(exchange, head)
        exchange.finish()
        return Delivered(status=head.status)

    def _start_stream(self, exchange: Exchange, head: ResponseHead) -> None:
        # Until the first event another endpoint can still provide the whole
        # response, its head included.
        if not exchange.started:
            headers = self._responses.headers_for_caller(head)
            exchange.start(head.status, headers)

    def _seconds_left(self, request: PassedRequest) -> float:
        return request.deadline - self._clock.monotonic()

    def _record_outcome(
        self, health: EndpointHealth, outcome: Outcome | None
    ) -> None:
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
                health.record_neutral()


def handed_attempts(request: PassedRequest, progress: Progress) -> int:
    """Return how many attempts another region may make for a request.

    A stream that breaks off on its way back may have used all of them; this
    entry VM can only resume it if it forwarded one and kept the others.
    """
    if request.route.streams:
        return 1
    return max(1, request.attempts - progress.runs)

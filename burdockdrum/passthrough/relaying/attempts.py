"""Run a single attempt of a request.

An attempt goes to an endpoint of this region, or is forwarded to an entry VM
of another region.
"""

import asyncio
from collections.abc import Callable

from burdockdrum.attempts import exceeds_overlap
from burdockdrum.attempts import MAX_OVERLAP_SECONDS
from burdockdrum.crashes import SOUND_SECONDS
from burdockdrum.http1 import ClientConnection
from burdockdrum.http1 import ConnectionPool
from burdockdrum.http1 import Exchange
from burdockdrum.http1 import NotConnected
from burdockdrum.http1 import ResponseHead
from burdockdrum.http1 import ResponseLost
from burdockdrum.logs import log_decision
from burdockdrum.passthrough.brittle import Place
from burdockdrum.passthrough.brittle import PlaceEvent
from burdockdrum.passthrough.protocol import CutCause
from burdockdrum.passthrough.protocol import Delivered
from burdockdrum.passthrough.protocol import encode_version
from burdockdrum.passthrough.protocol import EndpointTarget
from burdockdrum.passthrough.protocol import ErrorResponse
from burdockdrum.passthrough.protocol import forwarded_attempts
from burdockdrum.passthrough.protocol import HOP_VERSION
from burdockdrum.passthrough.protocol import HopCharge
from burdockdrum.passthrough.protocol import InvalidEventStream
from burdockdrum.passthrough.protocol import Lost
from burdockdrum.passthrough.protocol import NotStarted
from burdockdrum.passthrough.protocol import Outcome
from burdockdrum.passthrough.protocol import PayloadEncoder
from burdockdrum.passthrough.protocol import ProxiedRequest
from burdockdrum.passthrough.protocol import read_buffered
from burdockdrum.passthrough.protocol import read_error_body
from burdockdrum.passthrough.protocol import read_used_attempts
from burdockdrum.passthrough.protocol import RegionTarget
from burdockdrum.passthrough.protocol import RequestProgress
from burdockdrum.passthrough.protocol import ResponseClassifier
from burdockdrum.passthrough.protocol import ResponseSignals
from burdockdrum.passthrough.protocol import ResponseTruncated
from burdockdrum.passthrough.protocol import ResumableEventSplitter
from burdockdrum.passthrough.protocol import Target
from burdockdrum.passthrough.protocol import Withdrawn
from burdockdrum.passthrough.relaying.attempt_timeouts import AttemptTimeouts
from burdockdrum.passthrough.relaying.connecting import connect_awake
from burdockdrum.passthrough.relaying.crash_detector import CrashDetector
from burdockdrum.passthrough.relaying.in_flight_calls import Call
from burdockdrum.passthrough.relaying.in_flight_calls import InFlightCalls
from burdockdrum.passthrough.relaying.request_log import log_sent_again
from burdockdrum.passthrough.relaying.request_log import log_slow_start
from burdockdrum.passthrough.relaying.request_log import log_stalled
from burdockdrum.passthrough.relaying.request_log import log_withdrawn
from burdockdrum.passthrough.relaying.retry_charges import RetryCharges
from burdockdrum.passthrough.relaying.running_attempts import Attempt
from burdockdrum.passthrough.relaying.running_attempts import Superseded
from burdockdrum.passthrough.selection import Fleet
from burdockdrum.passthrough.selection import HOP_DELAY_SECONDS
from burdockdrum.passthrough.selection import MIN_RETRY_AFTER_SECONDS
from burdockdrum.passthrough.state import EndpointHealth
from burdockdrum.pauses import PauseDetector
from burdockdrum.ports import Clock
from burdockdrum.registrations import RegisteredEndpoint
from burdockdrum.streams import StreamOrigin

# Shorter than the one-second TCP retransmission timeout: after a lost packet
# a new connection is faster than the retransmission. A connection opens in a
# few milliseconds within a region, and in about 110 ms to another one.
CONNECT_TIMEOUT_SECONDS = 0.4
HOP_CONNECT_TIMEOUT_SECONDS = 0.6
# Lets a response that the endpoint sent at the deadline still arrive.
DEADLINE_GRACE_SECONDS = 0.05
# Copies of larger requests are rare, and a digest of each would block others.
MAX_RECORDED_BODY_BYTES = 64 * 1024


class AttemptRunner:
    """Runs attempts and reports the outcome of each."""

    def __init__(
        self,
        *,
        clock: Clock,
        fleet: Fleet,
        endpoint_pool: ConnectionPool,
        vm_pool: ConnectionPool,
        payloads: PayloadEncoder,
        responses: ResponseClassifier,
        timeouts: AttemptTimeouts,
        signals: ResponseSignals,
        retries: RetryCharges,
        crashes: CrashDetector,
        pauses: PauseDetector | None = None,
    ) -> None:
        """Create the runner with its connection pools and collaborators.

        :param pauses: detects pauses of this process; none if None
        """
        self._pauses = pauses
        self._crashes = crashes
        self._retries = retries
        self._signals = signals
        self._timeouts = timeouts
        self._clock = clock
        self._fleet = fleet
        self._endpoint_pool = endpoint_pool
        self._vm_pool = vm_pool
        self._payloads = payloads
        self._responses = responses
        self._in_flight = InFlightCalls()
        # Called with a stream and its origin before its events are sent.
        self.on_stream: Callable[[ProxiedRequest, StreamOrigin], None] = (
            _ignore_stream
        )
        # Called with the id of an endpoint that could not be connected to.
        self.on_unreachable: Callable[[str], None] = _do_nothing

    def abort_incarnation(self, endpoint_id: str) -> None:
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

    def give_up_silent(self, endpoint_id: str) -> None:
        """Retry the attempts at an unreachable endpoint elsewhere."""
        self._in_flight.expire_all(endpoint_id)

    # Not named ``run``: the kernel starts the ``run`` of every service.
    async def execute(
        self,
        target: Target,
        request: ProxiedRequest,
        progress: RequestProgress,
        exchange: Exchange,
        attempt: Attempt,
    ) -> Outcome:
        """Run an attempt and forward its response to the caller.

        :raises ResponseTruncated: if the response broke off after it had been
            partly forwarded and cannot be resumed
        """
        match target:
            case EndpointTarget():
                return await self._send_to_endpoint(
                    target, request, progress, exchange, attempt
                )
            case RegionTarget():
                return await self._forward_to_region(
                    target, request, progress, exchange, attempt
                )

    async def _send_to_endpoint(
        self,
        target: EndpointTarget,
        request: ProxiedRequest,
        progress: RequestProgress,
        exchange: Exchange,
        attempt: Attempt,
    ) -> Outcome:
        endpoint = target.choice.endpoint
        in_flight_request = self._fleet.record_sent(
            target.choice,
            request.backend,
            request.prompt,
            request.route.rank,
            deadline=request.deadline,
        )

        def encode() -> bytes:
            return self._payloads.for_endpoint(
                request,
                endpoint_id=endpoint.reported_id,
                fetch_from=self._fleet.current_fetch_from(target.choice),
                seconds_left=self._seconds_left(request),
                last_event=progress.last_event,
            )

        call = Call(
            pool=self._endpoint_pool,
            address=endpoint.address,
            encode=encode,
            connect_timeout_seconds=CONNECT_TIMEOUT_SECONDS,
            max_idle=self._fleet.max_idle_connections(
                endpoint, request.backend
            ),
            target=target,
            in_flight_request=in_flight_request,
        )
        outcome: Outcome | None = None
        suspects = self._crashes.begin_run(
            lambda: request.suspects, endpoint.endpoint_id
        )
        try:
            self._in_flight.add(endpoint.endpoint_id, call)
            outcome = await self._call(
                call, request, progress, exchange, attempt
            )
            return outcome
        except ResponseTruncated:
            self._crashes.record_lost(request.suspects, endpoint)
            raise
        finally:
            self._in_flight.remove(endpoint.endpoint_id, call)
            self._crashes.end_run(suspects, endpoint.endpoint_id)
            self._record_evidence(endpoint, request, outcome, call)
            if isinstance(outcome, NotStarted) and outcome.unconnected:
                self.on_unreachable(endpoint.endpoint_id)
            whole = isinstance(outcome, Delivered)
            is_silent = self._fleet.has_been_silent(endpoint, call.sent_at)
            self._fleet.record_end(
                in_flight_request, request.backend, whole=whole
            )
            self._record_outcome(
                self._fleet.health_of(endpoint),
                outcome,
                is_silent=is_silent,
                is_recorded=call.is_loss_recorded,
            )
            if isinstance(outcome, NotStarted) and outcome.replaced:
                self._fleet.remove_incarnation(endpoint)

    def _record_evidence(
        self,
        endpoint: RegisteredEndpoint,
        request: ProxiedRequest,
        outcome: Outcome | None,
        call: Call,
    ) -> None:
        """Record what an attempt says about a crash of its endpoint."""
        match outcome:
            case Lost(is_broken=True):
                self._crashes.record_lost(request.suspects, endpoint)
            case Delivered():
                self._record_sound(request, call, is_complete=True)
            case ErrorResponse(head=head) if head.status < 500:
                self._record_sound(request, call, is_complete=True)

    def _record_sound(
        self, request: ProxiedRequest, call: Call, *, is_complete: bool
    ) -> None:
        """Record that an endpoint writes a response and goes on."""
        if is_complete and len(request.head.body) <= MAX_RECORDED_BODY_BYTES:
            self._crashes.record_run(request.fingerprint)
        endpoint_id = None
        if isinstance(call.target, EndpointTarget):
            endpoint_id = call.target.choice.endpoint.endpoint_id
        self._crashes.record_response(
            endpoint_id,
            lambda: request.suspects,
            call.sent_at,
            call.wrote_since,
            is_complete=is_complete,
        )

    async def _forward_to_region(
        self,
        target: RegionTarget,
        request: ProxiedRequest,
        progress: RequestProgress,
        exchange: Exchange,
        attempt: Attempt,
    ) -> Outcome:
        attempts = forwarded_attempts(request, progress)

        def encode() -> bytes:
            charge = _hop_charge(progress)
            progress.is_counted = True
            return self._payloads.for_region(
                request,
                seconds_left=self._seconds_left(request),
                attempts=attempts,
                charge=charge,
                last_event=progress.last_event,
                software_version=None
                if progress.origin is None
                else progress.origin.software_version,
            )

        call = Call(
            pool=self._vm_pool,
            address=target.address,
            encode=encode,
            connect_timeout_seconds=HOP_CONNECT_TIMEOUT_SECONDS,
            target=target,
        )
        began = self._clock.monotonic()
        outcome = await self._call(call, request, progress, exchange, attempt)
        if isinstance(outcome, Delivered):
            self._record_sound(request, call, is_complete=True)
            # An entry VM without local endpoints has no other samples.
            seconds = self._clock.monotonic() - began - HOP_DELAY_SECONDS
            self._fleet.record_run(request.backend.name, max(0.0, seconds))
        return outcome

    async def _call(
        self,
        call: Call,
        request: ProxiedRequest,
        progress: RequestProgress,
        exchange: Exchange,
        attempt: Attempt,
    ) -> Outcome:
        request_id = request.request_id.encode("latin-1")
        try:
            connection = await connect_awake(
                lambda timeout: call.pool.acquire(
                    call.address, timeout=timeout, request_id=request_id
                ),
                call.connect_timeout_seconds,
                self._pauses,
            )
        except NotConnected as error:
            return NotStarted(
                reason=str(error), reached=False, unconnected=True
            )
        withheld = self._find_reason_to_withhold(call, request, progress)
        if withheld is not None:
            call.pool.release(call.address, connection, max_idle=call.max_idle)
            return withheld
        left = self._seconds_left(request) + DEADLINE_GRACE_SECONDS
        log_sent_again(call.target, request, progress)
        progress.sent += 1
        progress.retry_grant = None
        if isinstance(call.target, EndpointTarget):
            progress.has_arrived = True
        began = call.sent_at = self._clock.monotonic()
        attempt.was_sent, attempt.sent_at = True, began
        attempt.abort, attempt.expire = call.abort, call.expire
        attempt.reach = lambda: self._reach(call)
        overlap: asyncio.Task[None] | None = None
        if not attempt.is_alone:
            overlap = asyncio.create_task(
                self._limit_overlap(call, request, attempt)
            )
        self._report_slow_start(call, request, attempt)
        try:
            connection.send(call.encode(), request_id, body=request.head.body)
            async with asyncio.timeout(left) as call.timeout:
                call.watchdog = self._timeouts.start_watchdog(
                    call.target,
                    request,
                    progress,
                    attempt,
                    lambda: self._report_stall(call, request, attempt),
                )
                return await self._receive(
                    connection, call, request, progress, exchange, attempt
                )
        except Superseded:
            return _end_superseded(attempt)
        except TimeoutError:
            if call.abort_reason is not None:
                waited = self._clock.monotonic() - began
                reason = f"{call.abort_reason} after {waited:.2f} s"
                return Lost(reason=reason, is_broken=True)
            return Lost(
                reason="the deadline has passed",
                timed_out=True,
                is_broken=True,
            )
        except ResponseLost as error:
            return Lost(reason=str(error), is_broken=True)
        except InvalidEventStream as error:
            return Lost(reason=str(error))
        finally:
            if overlap is not None:
                overlap.cancel()
            call.disarm_watchdog()
            # The pool closes a connection whose response was not read to its
            # end, which cancels the request at the other side.
            call.pool.release(call.address, connection, max_idle=call.max_idle)

    async def _limit_overlap(
        self, call: Call, request: ProxiedRequest, attempt: Attempt
    ) -> None:
        """Withdraw an attempt that has been at work beside others too long.

        One of them may still respond, and this one may still fail.
        """
        if await exceeds_overlap(attempt, MAX_OVERLAP_SECONDS):
            log_withdrawn(call.target, request)
            attempt.withdraw()

    async def _reach(self, call: Call) -> bool:
        """Return whether the target of a call accepts connections."""
        try:
            connection = await connect_awake(
                lambda timeout: call.pool.open(call.address, timeout=timeout),
                call.connect_timeout_seconds,
                self._pauses,
            )
        except NotConnected:
            return False
        call.pool.release(call.address, connection, max_idle=call.max_idle)
        return True

    def _report_slow_start(
        self, call: Call, request: ProxiedRequest, attempt: Attempt
    ) -> None:
        """Log a request that is written to an endpoint in slow start."""
        sent = call.in_flight_request
        if sent is None or not self._fleet.is_in_slow_start(
            sent.endpoint, request.backend
        ):
            return
        log_slow_start(
            sent, request, since_assigned=attempt.sent_at - attempt.started_at
        )

    def _report_stall(
        self, call: Call, request: ProxiedRequest, attempt: Attempt
    ) -> None:
        """Let another attempt start beside one that is silent."""
        match call.target:
            case EndpointTarget(choice=choice):
                endpoint = choice.endpoint
                if not call.is_loss_recorded and self._fleet.has_been_silent(
                    endpoint, call.sent_at
                ):
                    call.is_loss_recorded = True
                    self._fleet.health_of(endpoint).record_loss(
                        self._clock.monotonic(), is_silent=True
                    )
        log_stalled(call.target, request)
        attempt.stall()

    def _claim_response(
        self, call: Call, request: ProxiedRequest, attempt: Attempt
    ) -> None:
        """Own the response before a part of it is written.

        :raises Superseded: if another attempt owns it
        """
        was_stalled = attempt.is_stalled
        attempt.claim_response()
        if not was_stalled:
            return
        log_decision("attempt.resumed", request_id=request.request_id)
        if call.is_loss_recorded and isinstance(call.target, EndpointTarget):
            call.is_loss_recorded = False
            endpoint = call.target.choice.endpoint
            self._fleet.health_of(endpoint).record_success()

    def _find_reason_to_withhold(
        self, call: Call, request: ProxiedRequest, progress: RequestProgress
    ) -> NotStarted | None:
        """Return why a request should not be sent any more, if so.

        Charges a retry whose grant is missing or too old.
        """
        if self._seconds_left(request) <= 0:
            return _withhold("the deadline passed before the request was sent")
        sent = call.in_flight_request
        if sent is not None:
            if self._fleet.is_in_backoff(sent.endpoint):
                return _withhold("the endpoint meanwhile requested a backoff")
            if not self._fleet.admit(sent, request.backend):
                seconds = self._fleet.seconds_until_admitted(sent.endpoint)
                return _withhold(
                    "the endpoint meanwhile began a slow start",
                    retry_after=max(MIN_RETRY_AFTER_SECONDS, seconds),
                )
        if progress.has_arrived and not self._retries.ensure_charged(
            request, progress
        ):
            return _withhold("the retry budget allows no further attempt")
        return None

    async def _receive(
        self,
        connection: ClientConnection,
        call: Call,
        request: ProxiedRequest,
        progress: RequestProgress,
        exchange: Exchange,
        attempt: Attempt,
    ) -> Outcome:
        head = await connection.read_head()
        failure = self._responses.classify(
            head, is_from_entry=isinstance(call.target, RegionTarget)
        )
        if call.in_flight_request is not None:
            self._signals.observe(
                call.in_flight_request, request.request_id, head, failure
            )
        if failure is not None:
            await read_error_body(connection)
            return failure
        call.wrote_since = self._clock.monotonic()
        match call.target:
            case EndpointTarget(place=Place() as place):
                place.record(PlaceEvent.ACCEPTED)
        if head.status >= 300:
            body = await read_error_body(connection)
            return ErrorResponse(
                head=head, body=body, runs=read_used_attempts(head) or 1
            )
        if request.route.streams:
            return await self._forward_stream(
                connection, head, call, request, progress, exchange, attempt
            )
        call.disarm_watchdog()
        return await self._forward_response(
            connection, head, call, request, exchange, attempt
        )

    async def _forward_response(
        self,
        connection: ClientConnection,
        head: ResponseHead,
        call: Call,
        request: ProxiedRequest,
        exchange: Exchange,
        attempt: Attempt,
    ) -> Outcome:
        body, whole = await read_buffered(connection)
        # Until now the caller has nothing, and another attempt may respond.
        self._claim_response(call, request, attempt)
        headers = self._responses.headers_for_caller(head)
        if whole:
            exchange.respond(head.status, headers, body)
            return Delivered(status=head.status)
        exchange.start(head.status, headers)
        exchange.write(body)
        try:
            while (chunk := await connection.read_part()) is not None:
                exchange.write(chunk)
                await self._drain(call, exchange)
        except ResponseLost as error:
            raise ResponseTruncated(
                str(error), CutCause.NOT_RESUMABLE
            ) from error
        exchange.finish()
        return Delivered(status=head.status)

    async def _forward_stream(
        self,
        connection: ClientConnection,
        head: ResponseHead,
        call: Call,
        request: ProxiedRequest,
        progress: RequestProgress,
        exchange: Exchange,
        attempt: Attempt,
    ) -> Outcome:
        splitter = ResumableEventSplitter(last_number=progress.last_event)
        has_events = False
        is_sound = False
        while (chunk := await connection.read_part()) is not None:
            if call.watchdog is not None:
                call.watchdog.record_chunk()
            if call.in_flight_request is not None:
                self._fleet.record_output(call.in_flight_request)
            events = splitter.feed(chunk)
            if events:
                writer: StreamOrigin | None = None
                if not has_events and request.is_resumable:
                    writer = self._find_writer(call, head, request, progress)
                self._claim_response(call, request, attempt)
                if writer is not None:
                    progress.origin = writer
                    self.on_stream(request, writer)
                elif not has_events:
                    # No other attempt can go on with the response.
                    call.disarm_watchdog()
                has_events = True
                progress.last_event = splitter.last_number
                now = self._clock.monotonic()
                progress.record_chunk(now)
                if not is_sound and now - call.wrote_since > SOUND_SECONDS:
                    is_sound = True
                    self._record_sound(request, call, is_complete=False)
                self._start_stream(exchange, head, request, progress)
                exchange.write(events)
                await self._drain(call, exchange)
        if splitter.has_partial_event:
            raise InvalidEventStream(
                "the stream ended in the middle of an event"
            )
        self._claim_response(call, request, attempt)
        self._start_stream(exchange, head, request, progress)
        exchange.finish()
        return Delivered(status=head.status)

    async def _drain(self, call: Call, exchange: Exchange) -> None:
        """Wait for a caller that reads slowly.

        The endpoint is not read meanwhile, so that it is not silent.
        """
        sent = call.in_flight_request
        if sent is not None:
            sent.unread_since = self._clock.monotonic()
        if call.watchdog is not None:
            call.watchdog.is_suspended = True
        try:
            await exchange.drain()
        finally:
            if call.watchdog is not None:
                call.watchdog.resume()
            if sent is not None:
                self._fleet.record_read_again(sent)

    def _find_writer(
        self,
        call: Call,
        head: ResponseHead,
        request: ProxiedRequest,
        progress: RequestProgress,
    ) -> StreamOrigin:
        """Return which software version writes the events of an attempt.

        The first one that writes any is the origin of the stream.

        :raises InvalidEventStream: if it isn't the origin
        """
        match call.target:
            case EndpointTarget(choice=choice):
                if self._fleet.has_changed_version(choice.endpoint):
                    raise InvalidEventStream(
                        "the endpoint changed its software version"
                    )
                version = choice.endpoint.software_version
                if self._fleet.is_version_in_doubt(choice.endpoint):
                    # No other endpoint goes on with the stream.
                    endpoint_id = choice.endpoint.endpoint_id
                    version = f"{version} or later, at {endpoint_id}"
            case RegionTarget():
                version = self._responses.read_version(head)
        writer = StreamOrigin(
            service=request.backend.name, software_version=version
        )
        origin = progress.origin
        if origin is not None and origin != writer:
            raise InvalidEventStream(
                f"software version {version!r} wrote the events, "
                f"{origin.software_version!r} began the stream"
            )
        return writer

    def _start_stream(
        self,
        exchange: Exchange,
        head: ResponseHead,
        request: ProxiedRequest,
        progress: RequestProgress,
    ) -> None:
        # Until the first event another endpoint can still provide the whole
        # response, its head included.
        if exchange.started:
            return
        headers = self._responses.headers_for_caller(head)
        if request.forwarded_from is not None and progress.origin is not None:
            version = progress.origin.software_version
            headers.append((HOP_VERSION, encode_version(version)))
        exchange.start(head.status, headers)

    def _seconds_left(self, request: ProxiedRequest) -> float:
        return request.deadline - self._clock.monotonic()

    def _record_outcome(
        self,
        health: EndpointHealth,
        outcome: Outcome | None,
        *,
        is_silent: bool,
        is_recorded: bool,
    ) -> None:
        """Record an outcome for the health of an endpoint.

        :param is_silent: whether it sent nothing to anyone meanwhile
        :param is_recorded: whether the loss of the attempt has been recorded
        """
        now = self._clock.monotonic()
        if isinstance(outcome, Delivered | ErrorResponse):
            health.record_reached(now)
        match outcome:
            case Delivered():
                health.record_success()
            case ErrorResponse(head=head) if head.status >= 500:
                health.record_error(now)
            case NotStarted(unconnected=True):
                health.record_unreachable(now)
            case Lost() if is_recorded:
                health.record_neutral()
            case Lost(timed_out=timed_out) if is_silent or not timed_out:
                # A busy endpoint lets a deadline pass, but responds to others.
                health.record_loss(now, is_silent=is_silent)
            case _:
                health.record_neutral()


def _withhold(reason: str, retry_after: float | None = None) -> NotStarted:
    """Return the outcome of an attempt that is not written."""
    return NotStarted(
        reason=reason, reached=False, withheld=True, retry_after=retry_after
    )


def _do_nothing(endpoint_id: str) -> None:
    """Ignore an unreachable endpoint; the default handler."""


def _ignore_stream(request: ProxiedRequest, origin: StreamOrigin) -> None:
    """Ignore a stream; the default handler."""


def _hop_charge(progress: RequestProgress) -> HopCharge | None:
    """Return how the other entry's retry budget counts a request."""
    if progress.has_arrived:
        return HopCharge.RETRY
    return None if progress.is_counted else HopCharge.REQUEST


def _end_superseded(attempt: Attempt) -> Outcome:
    """Return the outcome of an attempt beside which another one responded."""
    if attempt.is_stalled:
        return Lost(reason="received no data", is_broken=True)
    return Withdrawn()

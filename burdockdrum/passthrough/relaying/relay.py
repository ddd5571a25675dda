"""Forward requests, retrying until each has one response or a refusal.

A request is retried only as far as it is safe to repeat, and within its
deadline, its route's attempts and the retry budget.
"""

import asyncio
from dataclasses import replace

from burdockdrum.configuration import ConfigurationService
from burdockdrum.http1 import Exchange
from burdockdrum.logs import log_failure
from burdockdrum.metrics import Metrics
from burdockdrum.passthrough.brittle import Place
from burdockdrum.passthrough.brittle import PlaceBroker
from burdockdrum.passthrough.brittle import PlaceDenied
from burdockdrum.passthrough.protocol import Delivered
from burdockdrum.passthrough.protocol import EndpointTarget
from burdockdrum.passthrough.protocol import ErrorResponse
from burdockdrum.passthrough.protocol import HeaderNames
from burdockdrum.passthrough.protocol import HOP_CUT_OFF
from burdockdrum.passthrough.protocol import HOP_QUARANTINED
from burdockdrum.passthrough.protocol import HOP_REACHED
from burdockdrum.passthrough.protocol import HOP_USED_ATTEMPTS
from burdockdrum.passthrough.protocol import Lost
from burdockdrum.passthrough.protocol import MAYBE_RUN_STATUS
from burdockdrum.passthrough.protocol import NOT_RUN_STATUSES
from burdockdrum.passthrough.protocol import NotStarted
from burdockdrum.passthrough.protocol import Outcome
from burdockdrum.passthrough.protocol import ProxiedRequest
from burdockdrum.passthrough.protocol import RegionTarget
from burdockdrum.passthrough.protocol import RequestProgress
from burdockdrum.passthrough.protocol import RequestReader
from burdockdrum.passthrough.protocol import ResponseClassifier
from burdockdrum.passthrough.protocol import ResponseTruncated
from burdockdrum.passthrough.protocol import ResumableEventSplitter
from burdockdrum.passthrough.protocol import send_refusal
from burdockdrum.passthrough.protocol import status_of
from burdockdrum.passthrough.protocol import Target
from burdockdrum.passthrough.relaying.attempts import AttemptRunner
from burdockdrum.passthrough.relaying.attempts import forwarded_attempts
from burdockdrum.passthrough.relaying.crash_guard import CrashGuard
from burdockdrum.passthrough.relaying.place_outcomes import record_place
from burdockdrum.passthrough.relaying.request_log import log_attempt
from burdockdrum.passthrough.relaying.request_log import log_disconnect
from burdockdrum.passthrough.relaying.retry_charges import RetryCharges
from burdockdrum.passthrough.relaying.stream_resumption import StreamResumption
from burdockdrum.passthrough.selection import MIN_RETRY_AFTER_SECONDS
from burdockdrum.passthrough.selection import QueueTooLong
from burdockdrum.passthrough.selection import TargetSelector
from burdockdrum.passthrough.state import LimitPermits
from burdockdrum.passthrough.waiting import RequestHolder
from burdockdrum.ports import Clock
from burdockdrum.quotas import QuotaMeter
from burdockdrum.settings import MechanismSettings
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from burdockdrum.vms import Drain

# Limits the attempts at endpoints that are unreachable or refuse, which come
# on top of the route's attempts.
MAX_NOT_STARTED_ATTEMPTS = 4
# Endpoints that deny a request a place before it is refused.
MAX_PLACES_DENIED = 4


class Relay:
    """Forwards requests of callers and of entries in other regions."""

    def __init__(
        self,
        *,
        clock: Clock,
        names: HeaderNames,
        reader: RequestReader,
        selector: TargetSelector,
        runner: AttemptRunner,
        responses: ResponseClassifier,
        retries: RetryCharges,
        drain: Drain,
        configuration: ConfigurationService,
        metrics: Metrics,
        meter: QuotaMeter,
        permits: LimitPermits,
        places: PlaceBroker,
        holder: RequestHolder,
        crash_guard: CrashGuard,
        resumption: StreamResumption,
        mechanisms: MechanismSettings | None = None,
    ) -> None:
        """Create the service.

        :param mechanisms: the enabled parts of the policy; all by default
        """
        self._mechanisms = mechanisms or MechanismSettings()
        self._configuration = configuration
        self._meter = meter
        self._permits = permits
        self._places = places
        self._holder = holder
        self._crash_guard = crash_guard
        self._resumption = resumption
        self._drain = drain
        self._clock = clock
        self._names = names
        self._reader = reader
        self._selector = selector
        self._runner = runner
        self._responses = responses
        self._retries = retries
        self._requests_total = metrics.counter(
            "burdockdrum_passed_requests_total",
            "Proxied requests, by outcome.",
        )
        self._duration_seconds = metrics.histogram(
            "burdockdrum_passed_seconds",
            "Time from first byte of a request to the end of its response.",
        )
        self._limit_decisions_total = metrics.counter(
            "burdockdrum_endpoint_limit_decisions_total",
            "Attempts and refusals that the rate limits of endpoints decided.",
        )
        self._backoff_decisions_total = metrics.counter(
            "burdockdrum_endpoint_backoff_decisions_total",
            "Attempts and refusals that requested backoffs decided.",
        )
        self._estimate_errors = metrics.histogram(
            "burdockdrum_first_part_error_seconds",
            "Absolute error of the expected time to first byte of streams.",
        )

    async def serve_caller(self, exchange: Exchange) -> None:
        """Serve a request of a caller."""
        await self._serve(exchange, is_hop=False)

    async def serve_vm(self, exchange: Exchange) -> None:
        """Serve a request that another entry forwarded."""
        await self._serve(exchange, is_hop=True)

    async def _serve(self, exchange: Exchange, *, is_hop: bool) -> None:
        outcome = "left"
        try:
            with self._drain.count_request():
                outcome = await self._handle(exchange, is_hop=is_hop)
        finally:
            now = self._clock.monotonic()
            self._requests_total.increment(outcome=outcome)
            self._duration_seconds.record(
                now - exchange.request.received_at, outcome=outcome
            )

    async def _handle(self, exchange: Exchange, *, is_hop: bool) -> str:
        try:
            self._drain.check()
            await self._wait_for_configuration(exchange)
            request = self._reader.read(exchange.request, is_hop=is_hop)
        except Refusal as refusal:
            self._refuse(
                exchange, refusal, None, RequestProgress(), is_hop=is_hop
            )
            return "refused"
        progress = RequestProgress.begin(request)
        try:
            request = await self._resumption.take_up(request, progress)
            await self._run(request, progress, exchange)
        except Refusal as refusal:
            if request.quota_charge is not None and not progress.runs:
                self._meter.refund(request.quota_charge)
            self._refuse(exchange, refusal, request, progress, is_hop=is_hop)
            return "refused"
        except ResponseTruncated as error:
            log_failure(
                "request.cut",
                request_id=request.request_id,
                route=request.route.name,
                reason=str(error),
                runs=progress.runs,
            )
            return "cut"
        except asyncio.CancelledError:
            log_disconnect(request, progress, self._clock.monotonic())
            raise
        finally:
            self._retries.release(progress)
            self._resumption.end(request)
        return "answered"

    async def _wait_for_configuration(self, exchange: Exchange) -> None:
        """Delay a request until this VM has loaded its configuration.

        A VM loads it within seconds of its start, which is sooner than a
        refused caller would retry.
        """
        if not self._mechanisms.routes_awaited:
            return
        seconds = self._reader.max_hold_seconds(exchange.request)
        await self._configuration.wait_until_synced(seconds)

    async def _run(
        self,
        request: ProxiedRequest,
        progress: RequestProgress,
        exchange: Exchange,
    ) -> None:
        splitter = ResumableEventSplitter(last_number=request.last_event)
        while True:
            run = await self._crash_guard.begin_attempt(request)
            try:
                may_retry = await self._run_attempt(
                    request, progress, exchange, splitter
                )
            finally:
                self._crash_guard.end_attempt(run)
            if not may_retry:
                return

    async def _run_attempt(
        self,
        request: ProxiedRequest,
        progress: RequestProgress,
        exchange: Exchange,
        splitter: ResumableEventSplitter,
    ) -> bool:
        """Run one attempt; return whether another one should follow."""
        self._crash_guard.check(request, progress, exchange)
        try:
            target = await self._select(request, progress)
        except Refusal as refusal:
            if await self._ask_for_permit(request, progress):
                return True
            self._finish_without_target(request, progress, exchange, refusal)
            return False
        # The request may have waited in the line meanwhile.
        self._crash_guard.check(request, progress, exchange)
        found = await self._acquire_place(target, request, progress)
        if found is None:
            return True
        target = found
        progress.permit = None
        progress.target = target
        if isinstance(target, EndpointTarget):
            self._retries.record_request(request, progress)
        started_at = self._clock.monotonic()
        outcome: Outcome | None = None
        try:
            outcome = await self._runner.execute(
                target, request, progress, exchange, splitter
            )
        finally:
            record_place(target, outcome)
        progress.last_event = splitter.last_number
        self._report_attempt(target, request, progress, outcome, started_at)
        if isinstance(outcome, Delivered):
            return False
        self._record_outcome(target, request, progress, outcome)
        await self._crash_guard.check_outcome(
            request, progress, exchange, outcome
        )
        if await self._may_retry(request, progress, outcome):
            return True
        self._finish_failed(request, progress, exchange, outcome)
        return False

    async def _select(
        self, request: ProxiedRequest, progress: RequestProgress
    ) -> Target:
        """Select a target, after waiting for capacity if need be.

        :raises Refusal: if no target accepts the request in time
        """
        progress.may_wait = self._holder.may_wait(request)
        if not progress.sent:
            self._holder.check_return(request)
        try:
            return self._selector.select(request, progress)
        except QueueTooLong as refusal:
            if not self._holder.handles(request):
                raise
            return await self._holder.hold(request, progress, refusal)
        except Refusal as refusal:
            if not progress.sent:
                self._holder.record_refusal(request, refusal)
            raise

    async def _acquire_place(
        self,
        target: Target,
        request: ProxiedRequest,
        progress: RequestProgress,
    ) -> Target | None:
        """Acquire a place if the target is a brittle endpoint.

        :returns: the target with its place; None if another target should be
            selected
        :raises Refusal: if several endpoints have denied one
        """
        if not isinstance(target, EndpointTarget):
            return target
        place = await self._places.acquire(
            target.choice.endpoint, request.deadline - self._clock.monotonic()
        )
        match place:
            case None:
                return target
            case Place():
                return replace(target, place=place)
            case PlaceDenied():
                progress.record_denied_place(place.retry_after)
        if progress.places_denied % MAX_PLACES_DENIED:
            return None
        raise Refusal(
            code=RefusalCode.OVERLOADED,
            message=f"{request.backend.name}: {progress.places_denied} "
            "endpoints that tolerate few rejections had no place",
            verdict=progress.verdict,
            retry_after=max(
                MIN_RETRY_AFTER_SECONDS, progress.place_retry_after or 0.0
            ),
        )

    async def _ask_for_permit(
        self, request: ProxiedRequest, progress: RequestProgress
    ) -> bool:
        """Ask for a permit before a request is refused.

        :returns: whether it was asked for; then a target should be selected
            again, with the permit or with the time to come back
        """
        if progress.permit is not None:
            return False
        endpoint_ids = self._selector.list_at_limit(request, progress)
        if not endpoint_ids:
            return False
        progress.permit = await self._permits.acquire(
            endpoint_ids, request.deadline - self._clock.monotonic()
        )
        return True

    def _finish_without_target(
        self,
        request: ProxiedRequest,
        progress: RequestProgress,
        exchange: Exchange,
        refusal: Refusal,
    ) -> None:
        if exchange.started:
            raise ResponseTruncated(refusal.message)
        if progress.failure is None:
            raise refusal
        # The endpoint's error is more specific than the refusal.
        self._forward_failure(
            request, exchange, progress.failure, progress.runs
        )

    def _record_outcome(
        self,
        target: Target,
        request: ProxiedRequest,
        progress: RequestProgress,
        outcome: Outcome,
    ) -> None:
        match target:
            case EndpointTarget(choice=choice):
                progress.tried.add(choice.endpoint.endpoint_id)
                progress.unreached += _is_unreached(outcome)
            case RegionTarget(vm_id=vm_id, region=region):
                progress.tried.add(vm_id)
                if _has_answered(outcome):
                    progress.tried_regions.add(region)
                if isinstance(outcome, NotStarted):
                    progress.record_region_retry_after(outcome.retry_after)
                    if outcome.cut_off or _is_unreached(outcome):
                        self._selector.record_cut_off(
                            vm_id, request.backend.name
                        )
        if not isinstance(outcome, NotStarted) or outcome.reached:
            progress.has_arrived = True
        match outcome:
            case NotStarted(reason=reason):
                progress.last_reason = reason
            case Lost(reason=reason):
                progress.last_reason = reason
                progress.verdict = Verdict.MAY_HAVE_RUN
                progress.runs += _count_runs(
                    target, outcome, request, progress
                )
            case ErrorResponse(runs=runs):
                progress.runs += runs
                progress.verdict = Verdict.RAN
                progress.failure = outcome

    async def _may_retry(
        self,
        request: ProxiedRequest,
        progress: RequestProgress,
        outcome: Outcome,
    ) -> bool:
        if request.deadline <= self._clock.monotonic():
            return False
        if len(progress.tried) >= MAX_NOT_STARTED_ATTEMPTS + request.attempts:
            return False
        if isinstance(outcome, ErrorResponse) and outcome.head.status < 500:
            return False
        if progress.chunks_sent and not request.is_resumable:
            return False
        must_not_rerun = (
            not request.is_retryable or progress.runs >= request.attempts
        )
        if progress.runs and must_not_rerun:
            return False
        if not progress.has_arrived:
            return True
        return await self._retries.acquire(request, progress)

    def _finish_failed(
        self,
        request: ProxiedRequest,
        progress: RequestProgress,
        exchange: Exchange,
        outcome: Outcome,
    ) -> None:
        if exchange.started:
            raise ResponseTruncated(progress.last_reason)
        if progress.failure is not None:
            self._forward_failure(
                request, exchange, progress.failure, progress.runs
            )
            return
        timed_out = isinstance(outcome, Lost) and outcome.timed_out
        deadline_passed = request.deadline <= self._clock.monotonic()
        is_deadline = timed_out or deadline_passed
        raise Refusal(
            code=RefusalCode.DEADLINE
            if is_deadline
            else RefusalCode.ENDPOINT_LOST,
            message=f"{request.backend.name}: {progress.last_reason}",
            verdict=progress.verdict,
            retry_after=self._return_seconds(request, progress, outcome),
        )

    def _return_seconds(
        self,
        request: ProxiedRequest,
        progress: RequestProgress,
        outcome: Outcome,
    ) -> float | None:
        """Return when a rejected request should return, if known."""
        if not isinstance(outcome, NotStarted):
            return None
        if outcome.retry_after is not None:
            return outcome.retry_after
        return self._selector.seconds_until_backoffs_end(request, progress)

    def _forward_failure(
        self,
        request: ProxiedRequest,
        exchange: Exchange,
        failure: ErrorResponse,
        runs: int,
    ) -> None:
        headers = self._responses.headers_for_caller(failure.head)
        if request.forwarded_from is not None:
            headers.append((HOP_USED_ATTEMPTS, b"%d" % runs))
        status = failure.head.status
        if status in NOT_RUN_STATUSES:
            # These statuses promise that the request has not run, but it
            # has. The replaced status is not the endpoint's, so its
            # provenance header is removed.
            provenance = self._names.provenance
            headers = [h for h in headers if h[0].lower() != provenance]
            status = MAYBE_RUN_STATUS
        exchange.respond(status, headers, failure.body)

    def _refuse(
        self,
        exchange: Exchange,
        refusal: Refusal,
        request: ProxiedRequest | None,
        progress: RequestProgress,
        *,
        is_hop: bool,
    ) -> None:
        name = self._names.request_id
        given = exchange.request.find(name)
        identity = [(name, given)] if given is not None else []
        match refusal.code:
            case RefusalCode.ENDPOINT_LIMIT:
                self._limit_decisions_total.increment(decision="refused")
            case RefusalCode.ENDPOINT_BACKOFF:
                self._backoff_decisions_total.increment(decision="refused")
        log_failure(
            "request.refused",
            request_id=(given or b"").decode("latin-1"),
            route=request.route.name if request else None,
            generation=request.revision if request else None,
            team=request.team if request else None,
            code=refusal.code.value,
            verdict=refusal.verdict.value,
            status=status_of(refusal),
            reason=refusal.message,
            retry_after=None
            if refusal.retry_after is None
            else round(refusal.retry_after, 3),
            hop=is_hop,
        )
        if is_hop:
            identity.append((HOP_USED_ATTEMPTS, b"%d" % progress.runs))
            if progress.has_arrived:
                identity.append((HOP_REACHED, b"1"))
            if refusal.code is RefusalCode.NO_ENDPOINT:
                identity.append((HOP_CUT_OFF, b"1"))
            if refusal.code is RefusalCode.QUARANTINED:
                identity.append((HOP_QUARANTINED, b"1"))
        send_refusal(exchange, refusal, identity, to_vm=is_hop)

    def _report_attempt(
        self,
        target: Target,
        request: ProxiedRequest,
        progress: RequestProgress,
        outcome: Outcome,
        started_at: float,
    ) -> None:
        now = self._clock.monotonic()
        self._count_skipped(target)
        first_byte_seconds = None
        if progress.first_chunk_at is not None:
            first_byte_seconds = progress.first_chunk_at - started_at
            self._record_estimate_error(target, first_byte_seconds)
        log_attempt(
            target,
            request,
            progress,
            outcome,
            started_at=started_at,
            first_byte_seconds=first_byte_seconds,
            now=now,
        )

    def _count_skipped(self, target: Target) -> None:
        """Count an attempt for which endpoints were skipped."""
        if not isinstance(target, EndpointTarget):
            return
        if target.choice.skipped_at_limit:
            self._limit_decisions_total.increment(decision="skipped")
        if target.choice.skipped_in_backoff:
            self._backoff_decisions_total.increment(decision="skipped")

    def _record_estimate_error(
        self, target: Target, first_byte_seconds: float
    ) -> None:
        """Record the error of the estimate that an endpoint was chosen by."""
        if not isinstance(target, EndpointTarget):
            return
        wait = target.choice.wait
        error = first_byte_seconds - wait.queue - wait.service_time
        side = "later" if error > 0 else "sooner"
        self._estimate_errors.record(abs(error), side=side)


def _is_unreached(outcome: Outcome) -> bool:
    """Return whether the target of an attempt could not be connected to."""
    return isinstance(outcome, NotStarted) and outcome.unconnected


def _has_answered(outcome: Outcome) -> bool:
    """Return whether the entry that was asked spoke for its region.

    One that reaches no endpoint says nothing about the others there.
    """
    if not isinstance(outcome, NotStarted):
        return True
    return bool(outcome.retry_after) and not outcome.cut_off


def _count_runs(
    target: Target,
    lost: Lost,
    request: ProxiedRequest,
    progress: RequestProgress,
) -> int:
    """Return how many endpoints may have run a lost attempt.

    An entry of another region that does not report a number may have used
    every attempt that it was granted.
    """
    if isinstance(target, EndpointTarget):
        return 1
    if lost.runs is not None:
        return lost.runs
    return forwarded_attempts(request, progress)

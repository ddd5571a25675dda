"""Forward requests, retrying until each has one response or a refusal.

A request is retried only as far as it is safe to repeat, and within its
deadline, its route's attempts and the retry budget.
"""

import asyncio

from burdockdrum.configuration import ConfigurationService
from burdockdrum.http1 import Exchange
from burdockdrum.logs import log_failure
from burdockdrum.metrics import Metrics
from burdockdrum.passthrough.attempts import Attempts
from burdockdrum.passthrough.attempts import handed_attempts
from burdockdrum.passthrough.events import EventCutter
from burdockdrum.passthrough.limits import RetryBudget
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
from burdockdrum.passthrough.placing import Placing
from burdockdrum.passthrough.reading import RequestReader
from burdockdrum.passthrough.refusing import answer_refusal
from burdockdrum.passthrough.refusing import LOST_STATUS
from burdockdrum.passthrough.refusing import PROMISING_STATUSES
from burdockdrum.passthrough.refusing import status_of
from burdockdrum.passthrough.request_log import log_attempt
from burdockdrum.passthrough.request_log import log_disconnect
from burdockdrum.passthrough.responses import AnswerCut
from burdockdrum.passthrough.responses import ResponseReader
from burdockdrum.passthrough.vocabulary import HeaderNames
from burdockdrum.passthrough.vocabulary import HOP_USED_ATTEMPTS
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


class Relay:
    """Forwards requests of callers and of entries in other regions."""

    def __init__(
        self,
        *,
        clock: Clock,
        names: HeaderNames,
        reader: RequestReader,
        placing: Placing,
        attempts: Attempts,
        responses: ResponseReader,
        budget: RetryBudget,
        drain: Drain,
        configuration: ConfigurationService,
        metrics: Metrics,
        meter: QuotaMeter,
        mechanisms: MechanismSettings | None = None,
    ) -> None:
        """Create the service.

        :param mechanisms: the enabled parts of the policy; all by default
        """
        self._mechanisms = mechanisms or MechanismSettings()
        self._configuration = configuration
        self._meter = meter
        self._drain = drain
        self._clock = clock
        self._names = names
        self._reader = reader
        self._placing = placing
        self._attempts = attempts
        self._responses = responses
        self._budget = budget
        self._requests_total = metrics.counter(
            "burdockdrum_passed_requests_total",
            "Proxied requests, by outcome.",
        )
        self._duration_seconds = metrics.histogram(
            "burdockdrum_passed_seconds",
            "Time from first byte of a request to the end of its response.",
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
            self._refuse(exchange, refusal, None, is_hop=is_hop)
            return "refused"
        progress = Progress()
        try:
            await self._run(request, progress, exchange)
        except Refusal as refusal:
            if request.taken is not None and not progress.runs:
                self._meter.give_back(request.taken)
            self._refuse(
                exchange, refusal, request, is_hop=is_hop, runs=progress.runs
            )
            return "refused"
        except AnswerCut as error:
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
        return "answered"

    async def _wait_for_configuration(self, exchange: Exchange) -> None:
        """Delay a request until this VM has loaded its configuration.

        A VM loads it within seconds of its start, which is sooner than a
        refused caller would retry.
        """
        if not self._mechanisms.routes_awaited:
            return
        seconds = self._reader.max_hold_seconds(exchange.request)
        await self._configuration.wait_until_known(seconds)

    async def _run(
        self, request: PassedRequest, progress: Progress, exchange: Exchange
    ) -> None:
        if request.came_from is None:
            self._budget.note_request(request.backend.name)
        cutter = EventCutter(last_number=request.last_event)
        while True:
            try:
                place = self._placing.place(request, progress)
            except Refusal as refusal:
                self._finish_without_place(
                    request, progress, exchange, refusal
                )
                return
            progress.place = place
            started_at = self._clock.monotonic()
            outcome = await self._attempts.make(
                place, request, progress, exchange, cutter
            )
            progress.last_event = cutter.last_number
            self._report_attempt(place, request, progress, outcome, started_at)
            if isinstance(outcome, Delivered):
                return
            self._record_outcome(place, request, progress, outcome)
            if not self._may_retry(request, progress, outcome):
                self._finish_failed(request, progress, exchange, outcome)
                return

    def _finish_without_place(
        self,
        request: PassedRequest,
        progress: Progress,
        exchange: Exchange,
        refusal: Refusal,
    ) -> None:
        if exchange.started:
            raise AnswerCut(refusal.message)
        if progress.failure is None:
            raise refusal
        # The endpoint's error is more specific than the refusal.
        self._forward_failure(
            request, exchange, progress.failure, progress.runs
        )

    def _record_outcome(
        self,
        place: Place,
        request: PassedRequest,
        progress: Progress,
        outcome: Outcome,
    ) -> None:
        match place:
            case EndpointPlace(choice=choice):
                progress.tried.add(choice.endpoint.endpoint_id)
            case RegionPlace(vm_id=vm_id, region=region):
                progress.tried.add(vm_id)
                if not isinstance(outcome, NotStarted) or outcome.retry_after:
                    progress.tried_regions.add(region)
        match outcome:
            case NotStarted(reason=reason):
                progress.last_reason = reason
            case Lost(reason=reason):
                progress.last_reason = reason
                progress.verdict = Verdict.MAY_HAVE_RUN
                progress.runs += _count_runs(place, outcome, request, progress)
            case Answered(runs=runs):
                progress.runs += runs
                progress.verdict = Verdict.RAN
                progress.failure = outcome

    def _may_retry(
        self, request: PassedRequest, progress: Progress, outcome: Outcome
    ) -> bool:
        if request.deadline <= self._clock.monotonic():
            return False
        if len(progress.tried) >= MAX_NOT_STARTED_ATTEMPTS + request.attempts:
            return False
        if isinstance(outcome, Answered) and outcome.head.status < 500:
            return False
        must_not_rerun = (
            not request.may_repeat or progress.runs >= request.attempts
        )
        if progress.runs and must_not_rerun:
            return False
        reached = progress.sent > 0 and not (
            isinstance(outcome, NotStarted) and not outcome.reached
        )
        if not reached:
            return True
        if progress.has_paid_retry:
            progress.has_paid_retry = False
            return True
        return self._budget.take(request.backend.name)

    def _finish_failed(
        self,
        request: PassedRequest,
        progress: Progress,
        exchange: Exchange,
        outcome: Outcome,
    ) -> None:
        if exchange.started:
            raise AnswerCut(progress.last_reason)
        if progress.failure is not None:
            self._forward_failure(
                request, exchange, progress.failure, progress.runs
            )
            return
        timed_out = isinstance(outcome, Lost) and outcome.timed_out
        deadline_passed = request.deadline <= self._clock.monotonic()
        is_deadline = timed_out or deadline_passed
        retry_after = None
        if isinstance(outcome, NotStarted):
            retry_after = outcome.retry_after
        raise Refusal(
            code=RefusalCode.DEADLINE
            if is_deadline
            else RefusalCode.ENDPOINT_LOST,
            message=f"{request.backend.name}: {progress.last_reason}",
            verdict=progress.verdict,
            retry_after=retry_after,
        )

    def _forward_failure(
        self,
        request: PassedRequest,
        exchange: Exchange,
        failure: Answered,
        runs: int,
    ) -> None:
        headers = self._responses.headers_for_caller(failure.head)
        if request.came_from is not None:
            headers.append((HOP_USED_ATTEMPTS, b"%d" % runs))
        status = failure.head.status
        if status in PROMISING_STATUSES:
            # These statuses promise that the request has not run, but it
            # has. The replaced status is not the endpoint's, so its
            # provenance header is removed.
            provenance = self._names.provenance
            headers = [h for h in headers if h[0].lower() != provenance]
            status = LOST_STATUS
        exchange.answer(status, headers, failure.body)

    def _refuse(
        self,
        exchange: Exchange,
        refusal: Refusal,
        request: PassedRequest | None,
        *,
        is_hop: bool,
        runs: int = 0,
    ) -> None:
        name = self._names.request_id
        given = exchange.request.find(name)
        identity = [(name, given)] if given is not None else []
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
            hop=is_hop,
        )
        if is_hop:
            identity.append((HOP_USED_ATTEMPTS, b"%d" % runs))
        answer_refusal(exchange, refusal, identity, to_vm=is_hop)

    def _report_attempt(
        self,
        place: Place,
        request: PassedRequest,
        progress: Progress,
        outcome: Outcome,
        started_at: float,
    ) -> None:
        now = self._clock.monotonic()
        first_byte_seconds = None
        if progress.first_part_at is not None:
            first_byte_seconds = progress.first_part_at - started_at
            self._record_estimate_error(place, first_byte_seconds)
        log_attempt(
            place,
            request,
            progress,
            outcome,
            started_at=started_at,
            first_byte_seconds=first_byte_seconds,
            now=now,
        )

    def _record_estimate_error(
        self, place: Place, first_byte_seconds: float
    ) -> None:
        """Record the error of the estimate that an endpoint was chosen by."""
        if not isinstance(place, EndpointPlace):
            return
        wait = place.choice.wait
        error = first_byte_seconds - wait.queue - wait.own
        side = "later" if error > 0 else "sooner"
        self._estimate_errors.record(abs(error), side=side)


def _count_runs(
    place: Place, lost: Lost, request: PassedRequest, progress: Progress
) -> int:
    """Return how many endpoints may have run a lost attempt.

    An entry of another region that does not report a number may have used
    every attempt that it was granted.
    """
    if isinstance(place, EndpointPlace):
        return 1
    if lost.runs is not None:
        return lost.runs
    return handed_attempts(request, progress)

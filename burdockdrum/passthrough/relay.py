"""Give each request that is passed through one answer, or a refusal."""

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
from burdockdrum.passthrough.request_log import log_left
from burdockdrum.passthrough.responses import AnswerCut
from burdockdrum.passthrough.responses import ResponseReader
from burdockdrum.passthrough.vocabulary import HeaderNames
from burdockdrum.passthrough.vocabulary import HOP_RUNS
from burdockdrum.ports import Clock
from burdockdrum.quotas import QuotaMeter
from burdockdrum.settings import MechanismSettings
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from burdockdrum.vms import Drain

# Endpoints that can't be connected to or refuse are passed over so often;
# then the caller is told, who may have better luck later.
MAX_TRIES = 4


class Relay:
    """Serve requests from callers, and from entries of other regions."""

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

        :param mechanisms: the parts of the policy that are in use; all
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
        self._answers = metrics.counter(
            "burdockdrum_passed_requests_total",
            "Requests passed through, by outcome.",
        )
        self._seconds = metrics.histogram(
            "burdockdrum_passed_seconds",
            "Time from a request's first byte to the end of its answer.",
        )
        self._errors = metrics.histogram(
            "burdockdrum_first_part_error_seconds",
            "How far first parts of streams are from when they were expected.",
        )

    async def serve_caller(self, exchange: Exchange) -> None:
        """Answer a request of a caller."""
        await self._serve(exchange, is_hop=False)

    async def serve_vm(self, exchange: Exchange) -> None:
        """Answer a request that another entry passed on."""
        await self._serve(exchange, is_hop=True)

    async def _serve(self, exchange: Exchange, *, is_hop: bool) -> None:
        outcome = "left"
        try:
            with self._drain.count_request():
                outcome = await self._answer(exchange, is_hop=is_hop)
        finally:
            now = self._clock.monotonic()
            self._answers.increment(outcome=outcome)
            self._seconds.record(
                now - exchange.request.received_at, outcome=outcome
            )

    async def _answer(self, exchange: Exchange, *, is_hop: bool) -> str:
        try:
            self._drain.check()
            await self._wait_until_known(exchange)
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
            log_left(request, progress, self._clock.monotonic())
            raise
        return "answered"

    async def _wait_until_known(self, exchange: Exchange) -> None:
        """Hold a request while this VM learns what to serve by.

        A VM that has just started learns it within a second or two, and
        callers that are refused come back later than that.
        """
        if not self._mechanisms.routes_awaited:
            return
        seconds = self._reader.wait_seconds(exchange.request)
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
                self._end_without_place(request, progress, exchange, refusal)
                return
            progress.place = place
            began = self._clock.monotonic()
            outcome = await self._attempts.make(
                place, request, progress, exchange, cutter
            )
            progress.last_event = cutter.last_number
            self._note(place, request, progress, outcome, began)
            if isinstance(outcome, Delivered):
                return
            self._take_outcome(place, request, progress, outcome)
            if not self._may_go_on(request, progress, outcome):
                self._give_up(request, progress, exchange, outcome)
                return

    def _end_without_place(
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
        # An endpoint's own failure says more than that no other is left.
        self._pass_failure(request, exchange, progress.failure, progress.runs)

    def _take_outcome(
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

    def _may_go_on(
        self, request: PassedRequest, progress: Progress, outcome: Outcome
    ) -> bool:
        if request.deadline <= self._clock.monotonic():
            return False
        if len(progress.tried) >= MAX_TRIES + request.attempts:
            return False
        if isinstance(outcome, Answered) and outcome.head.status < 500:
            return False
        used_up = not request.may_repeat or progress.runs >= request.attempts
        if progress.runs and used_up:
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

    def _give_up(
        self,
        request: PassedRequest,
        progress: Progress,
        exchange: Exchange,
        outcome: Outcome,
    ) -> None:
        if exchange.started:
            raise AnswerCut(progress.last_reason)
        if progress.failure is not None:
            self._pass_failure(
                request, exchange, progress.failure, progress.runs
            )
            return
        timed_out = isinstance(outcome, Lost) and outcome.timed_out
        late = request.deadline <= self._clock.monotonic()
        is_deadline = timed_out or late
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

    def _pass_failure(
        self,
        request: PassedRequest,
        exchange: Exchange,
        failure: Answered,
        runs: int,
    ) -> None:
        headers = self._responses.headers_for_caller(failure.head)
        if request.came_from is not None:
            headers.append((HOP_RUNS, b"%d" % runs))
        status = failure.head.status
        if status in PROMISING_STATUSES:
            # It has run: the status would promise that it has not. Without
            # the endpoint's mark the answer is this VM's own.
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
            identity.append((HOP_RUNS, b"%d" % runs))
        answer_refusal(exchange, refusal, identity, to_vm=is_hop)

    def _note(
        self,
        place: Place,
        request: PassedRequest,
        progress: Progress,
        outcome: Outcome,
        began: float,
    ) -> None:
        now = self._clock.monotonic()
        first = None
        if progress.first_part_at is not None:
            first = progress.first_part_at - began
            self._note_error(place, first)
        log_attempt(
            place,
            request,
            progress,
            outcome,
            began=began,
            first=first,
            now=now,
        )

    def _note_error(self, place: Place, first: float) -> None:
        """Record how good the estimate was that an endpoint was chosen by."""
        if not isinstance(place, EndpointPlace):
            return
        wait = place.choice.wait
        error = first - wait.queue - wait.own
        side = "later" if error > 0 else "sooner"
        self._errors.record(abs(error), side=side)


def _count_runs(
    place: Place, lost: Lost, request: PassedRequest, progress: Progress
) -> int:
    """Return how many endpoints a lost attempt may have run at.

    An entry of another region may have used every attempt that it was
    given, unless it says how many.
    """
    if isinstance(place, EndpointPlace):
        return 1
    if lost.runs is not None:
        return lost.runs
    return handed_attempts(request, progress)

"""Run the attempts of a request until it has a response or a refusal.

A request is retried only as far as it is safe to repeat, and within its
deadline, its route's attempts and the retry budget.
"""

import asyncio

from loguru import logger

from burdockdrum.http1 import Exchange
from burdockdrum.passthrough.protocol import cause_of_refusal
from burdockdrum.passthrough.protocol import Delivered
from burdockdrum.passthrough.protocol import EndpointTarget
from burdockdrum.passthrough.protocol import ErrorResponse
from burdockdrum.passthrough.protocol import find_cut_cause
from burdockdrum.passthrough.protocol import forwarded_attempts
from burdockdrum.passthrough.protocol import granted_runs
from burdockdrum.passthrough.protocol import has_tried_enough
from burdockdrum.passthrough.protocol import HeaderNames
from burdockdrum.passthrough.protocol import HOP_USED_ATTEMPTS
from burdockdrum.passthrough.protocol import Lost
from burdockdrum.passthrough.protocol import MAYBE_RUN_STATUS
from burdockdrum.passthrough.protocol import must_return
from burdockdrum.passthrough.protocol import NOT_RUN_STATUSES
from burdockdrum.passthrough.protocol import NotStarted
from burdockdrum.passthrough.protocol import Outcome
from burdockdrum.passthrough.protocol import ProxiedRequest
from burdockdrum.passthrough.protocol import RegionTarget
from burdockdrum.passthrough.protocol import RequestProgress
from burdockdrum.passthrough.protocol import ResponseClassifier
from burdockdrum.passthrough.protocol import ResponseTruncated
from burdockdrum.passthrough.protocol import Target
from burdockdrum.passthrough.protocol import Withdrawn
from burdockdrum.passthrough.relaying.attempt_report import AttemptReporter
from burdockdrum.passthrough.relaying.attempts import AttemptRunner
from burdockdrum.passthrough.relaying.crash_guard import CrashGuard
from burdockdrum.passthrough.relaying.place_outcomes import record_place
from burdockdrum.passthrough.relaying.request_log import describe_attempt
from burdockdrum.passthrough.relaying.request_log import log_not_replaced
from burdockdrum.passthrough.relaying.retry_charges import RetryCharges
from burdockdrum.passthrough.relaying.running_attempts import Attempt
from burdockdrum.passthrough.relaying.running_attempts import RunningAttempts
from burdockdrum.passthrough.relaying.target_finder import TargetFinder
from burdockdrum.passthrough.selection import TargetSelector
from burdockdrum.ports import Clock
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from burdockdrum.verdicts import worst

FIRST_SERVER_ERROR_STATUS = 500


class RequestRunner:
    """Runs requests of callers and of entries in other regions."""

    def __init__(
        self,
        *,
        clock: Clock,
        names: HeaderNames,
        finder: TargetFinder,
        selector: TargetSelector,
        runner: AttemptRunner,
        responses: ResponseClassifier,
        retries: RetryCharges,
        crash_guard: CrashGuard,
        reporter: AttemptReporter,
    ) -> None:
        """Create it for an entry."""
        self._clock = clock
        self._names = names
        self._finder = finder
        self._selector = selector
        self._runner = runner
        self._responses = responses
        self._retries = retries
        self._crash_guard = crash_guard
        self._reporter = reporter

    async def run(
        self,
        request: ProxiedRequest,
        progress: RequestProgress,
        exchange: Exchange,
    ) -> None:
        """Run a request until its response is complete.

        :raises Refusal: if it gets none
        :raises ResponseTruncated: the same, if its response has begun
        """
        attempts = RunningAttempts()

        def start_attempt() -> None:
            attempts.start(
                lambda attempt: self._run_attempt(
                    attempt, request, progress, exchange
                )
            )

        start_attempt()
        try:
            # The owner of a response has ended once it has been reported.
            while attempts.has_owner or not exchange.finished:
                ended = await attempts.wait()
                if ended is None:
                    _count_stalled(attempts, request, progress)
                    start_attempt()
                    continue
                outcome = self._read_outcome(
                    ended, attempts, request, progress, exchange
                )
                if attempts.is_any_running:
                    # Without a target, the watchdog asks again in a while.
                    if outcome is not None:
                        attempts.ask_for_successor()
                elif outcome is not None and await self._should_retry(
                    outcome, request, progress, exchange
                ):
                    start_attempt()
        finally:
            at_work = list(attempts)
            for number, attempt in enumerate(at_work):
                self._reporter.report_overlaps(
                    request, attempt, at_work[number + 1 :]
                )
            progress.at_work = tuple(map(describe_attempt, at_work))
            _count_at_work(attempts, request, progress)
            await attempts.close()

    async def _run_attempt(
        self,
        attempt: Attempt,
        request: ProxiedRequest,
        progress: RequestProgress,
        exchange: Exchange,
    ) -> Outcome:
        """Find a target and run one attempt there.

        :raises Refusal: if no target accepts the request
        """
        while True:
            run = await self._crash_guard.begin_attempt(request)
            try:
                target = await self._find_target(request, progress, exchange)
                if target is not None:
                    outcome = await self._execute(
                        target, attempt, request, progress, exchange
                    )
                    # Copies that wait for this run must know its crash.
                    await self._crash_guard.settle(request, outcome)
                    return outcome
            finally:
                self._crash_guard.end_attempt(run)

    async def _find_target(
        self,
        request: ProxiedRequest,
        progress: RequestProgress,
        exchange: Exchange,
    ) -> Target | None:
        self._crash_guard.check(request, progress, exchange)
        target = await self._finder.find(request, progress)
        if target is None:
            return None
        # The request may have waited in the line meanwhile.
        self._crash_guard.check(request, progress, exchange)
        return await self._finder.acquire_place(target, request, progress)

    async def _execute(
        self,
        target: Target,
        attempt: Attempt,
        request: ProxiedRequest,
        progress: RequestProgress,
        exchange: Exchange,
    ) -> Outcome:
        progress.permit = None
        progress.target = attempt.target = target
        if isinstance(target, EndpointTarget):
            self._retries.record_request(request, progress)
            _count_return(target, progress)
        attempt.started_at = self._clock.monotonic()
        outcome: Outcome | None = None
        try:
            outcome = await self._runner.execute(
                target, request, progress, exchange, attempt
            )
        finally:
            record_place(target, outcome)
        return outcome

    def _read_outcome(
        self,
        attempt: Attempt,
        attempts: RunningAttempts,
        request: ProxiedRequest,
        progress: RequestProgress,
        exchange: Exchange,
    ) -> Outcome | None:
        """Record the outcome of an attempt that has ended.

        :returns: None if there was no target for it
        :raises Refusal: if there was none, and no other attempt runs
        :raises ResponseTruncated: the same, if the response has begun
        """
        progress.stalled_runs -= attempt.counted_runs
        self._reporter.report_overlaps(request, attempt, attempts)
        try:
            outcome = attempt.task.result()
        except asyncio.CancelledError:
            outcome = Withdrawn()
        except (Refusal, ResponseTruncated) as error:
            if attempts.is_any_running:
                log_not_replaced(request, str(error))
                return None
            if isinstance(error, ResponseTruncated):
                raise
            self._finish_without_target(request, progress, exchange, error)
            return None
        except Exception as error:
            if not attempts.is_any_running:
                raise
            # A fault of the code, which must not end the other attempts.
            logger.opt(exception=error).error("an attempt failed")
            log_not_replaced(request, repr(error))
            return None
        if attempt.target is None:
            return outcome
        self._reporter.report(
            attempt.target, request, progress, outcome, attempt
        )
        if isinstance(outcome, Delivered):
            return outcome
        if attempt.was_sent or not isinstance(outcome, Withdrawn):
            self._record_outcome(attempt.target, request, progress, outcome)
        if (
            attempts.is_any_running
            and isinstance(outcome, ErrorResponse)
            and not _is_server_error(outcome)
            and not exchange.started
        ):
            self._forward_failure(request, exchange, outcome, progress.runs)
        return outcome

    async def _should_retry(
        self,
        outcome: Outcome,
        request: ProxiedRequest,
        progress: RequestProgress,
        exchange: Exchange,
    ) -> bool:
        """Return whether another attempt should follow the last one.

        :raises Refusal: if it must not, and the request has failed
        :raises ResponseTruncated: the same, if the response has begun
        """
        if isinstance(outcome, Delivered):
            return False
        await self._crash_guard.check_outcome(
            request, progress, exchange, outcome
        )
        may_go_on = request.is_resumable or not exchange.started
        if may_go_on and await self._may_retry(request, progress, outcome):
            return True
        self._finish_failed(request, progress, exchange, outcome)
        return False

    def _finish_without_target(
        self,
        request: ProxiedRequest,
        progress: RequestProgress,
        exchange: Exchange,
        refusal: Refusal,
    ) -> None:
        if exchange.started:
            raise ResponseTruncated(refusal.message, cause_of_refusal(refusal))
        if progress.failure is None:
            # Its own may be older than the outcome of another attempt.
            raise refusal.with_verdict(
                worst(progress.verdict, refusal.verdict)
            )
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
            case Withdrawn():
                progress.verdict = Verdict.MAY_HAVE_RUN
                progress.runs += granted_runs(target, request, progress)
                match target:
                    case EndpointTarget(choice=choice):
                        progress.withdrawn.add(choice.endpoint.endpoint_id)
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
        if has_tried_enough(request, progress):
            return False
        if isinstance(outcome, ErrorResponse) and not _is_server_error(
            outcome
        ):
            return False
        is_used_up = progress.runs >= request.attempts
        if is_used_up and must_return(request, progress):
            is_used_up = False
        if progress.runs and (is_used_up or not request.is_retryable):
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
            cause = find_cut_cause(
                request, progress, outcome, self._clock.monotonic()
            )
            raise ResponseTruncated(progress.last_reason, cause)
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


def _count_return(target: EndpointTarget, progress: RequestProgress) -> None:
    """Count the run of an endpoint once, to which a request returns."""
    endpoint_id = target.choice.endpoint.endpoint_id
    if endpoint_id in progress.withdrawn:
        progress.withdrawn.discard(endpoint_id)
        progress.runs -= 1


def _count_stalled(
    attempts: RunningAttempts,
    request: ProxiedRequest,
    progress: RequestProgress,
) -> None:
    """Count the runs of attempts that have stalled, and avoid their targets.

    They have not ended, and may still run.
    """
    for attempt in attempts:
        if not attempt.is_stalled or attempt.counted_runs:
            continue
        match attempt.target:
            case EndpointTarget(choice=choice):
                progress.tried.add(choice.endpoint.endpoint_id)
            case RegionTarget(vm_id=vm_id, region=region):
                progress.tried.add(vm_id)
                progress.tried_regions.add(region)
            case None:
                continue
        attempt.counted_runs = granted_runs(attempt.target, request, progress)
        progress.stalled_runs += attempt.counted_runs
        progress.has_arrived = True


def _count_at_work(
    attempts: RunningAttempts,
    request: ProxiedRequest,
    progress: RequestProgress,
) -> None:
    """Count the attempts that end with the request, which may have run."""
    runs = progress.stalled_runs
    for attempt in attempts:
        if not attempt.was_sent or attempt.counted_runs:
            continue
        if attempt.target is not None:
            runs += granted_runs(attempt.target, request, progress)
    if not runs:
        return
    progress.stalled_runs = 0
    progress.runs += runs
    progress.verdict = worst(progress.verdict, Verdict.MAY_HAVE_RUN)


def _is_server_error(outcome: ErrorResponse) -> bool:
    """Return whether another endpoint may answer otherwise."""
    return outcome.head.status >= FIRST_SERVER_ERROR_STATUS


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
    every attempt that it was granted. One that reports none says only that
    none has ended.
    """
    if isinstance(target, EndpointTarget):
        return 1
    if lost.runs is not None:
        return max(1, lost.runs)
    return forwarded_attempts(request, progress)

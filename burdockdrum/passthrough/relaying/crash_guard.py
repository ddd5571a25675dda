"""Rejects requests that crash endpoints, and keeps suspects apart."""

from burdockdrum.crashes import Standing
from burdockdrum.http1 import Exchange
from burdockdrum.logs import log_decision
from burdockdrum.metrics import Metrics
from burdockdrum.passthrough.protocol import CutCause
from burdockdrum.passthrough.protocol import Lost
from burdockdrum.passthrough.protocol import NotStarted
from burdockdrum.passthrough.protocol import Outcome
from burdockdrum.passthrough.protocol import ProxiedRequest
from burdockdrum.passthrough.protocol import RequestProgress
from burdockdrum.passthrough.protocol import ResponseTruncated
from burdockdrum.passthrough.relaying.crash_detector import CrashDetector
from burdockdrum.passthrough.relaying.running_copies import Run
from burdockdrum.passthrough.relaying.running_copies import RunningCopies
from burdockdrum.ports import Clock
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode

# Crashes after which a request should run where no other suspect does.
MIN_CRASHES_APART = 2
# When a request returns that waits for another suspect's run to end.
APART_RETRY_AFTER_SECONDS = 0.5


class CrashGuard:
    """Decides whether and beside which others a request may run."""

    def __init__(
        self, *, clock: Clock, detector: CrashDetector, metrics: Metrics
    ) -> None:
        """Create it for the crashes that an entry knows."""
        self._clock = clock
        self._copies = RunningCopies(clock=clock)
        self._detector = detector
        self._decisions_total = metrics.counter(
            "burdockdrum_crash_decisions_total",
            "Requests rejected or kept apart because endpoints crashed.",
        )

    async def begin_attempt(self, request: ProxiedRequest) -> Run:
        """Begin an attempt, after the copies of suspects that run.

        ``end_attempt`` must follow.
        """
        detector = self._detector

        def list_apart() -> frozenset[str]:
            return detector.list_apart(lambda: request.suspects)

        began = self._clock.monotonic()
        pause = detector.seconds_until_evidence(lambda: request.suspects)
        if pause > 0:
            await self._clock.sleep(pause)
        if await self._copies.wait(request.deadline - began, list_apart):
            self._decisions_total.increment(decision="delayed")
            log_decision(
                "request.delayed",
                request_id=request.request_id,
                fingerprint=request.fingerprint,
                reason="another request ran that may crash endpoints alike",
                seconds=round(self._clock.monotonic() - began, 4),
            )
            await detector.settle(request.suspects)
        return self._copies.begin(lambda: request.suspects)

    def end_attempt(self, run: Run) -> None:
        """End an attempt that ``begin_attempt`` began."""
        self._copies.end(run)

    def check(
        self,
        request: ProxiedRequest,
        progress: RequestProgress,
        exchange: Exchange,
    ) -> None:
        """Check a request before its next attempt.

        :raises Refusal: if it must not run, or not now
        :raises ResponseTruncated: the same, if its response has begun
        """
        progress.avoided, progress.must_avoid = frozenset(), False
        assessment = self._detector.assess(lambda: request.suspects)
        if assessment is None or assessment.standing is Standing.CLEAR:
            return
        if assessment.standing is Standing.QUARANTINED:
            self._reject(progress, exchange, assessment.describe())
        if len(assessment.crashes) < MIN_CRASHES_APART:
            return
        suspects = request.suspects
        progress.avoided = frozenset(self._detector.list_shared(suspects))
        progress.must_avoid = assessment.standing is Standing.CONTESTED
        if progress.must_avoid and self._detector.is_contested_running(
            suspects
        ):
            self._decisions_total.increment(decision="postponed")
            self._raise(
                exchange,
                Refusal(
                    code=RefusalCode.OVERLOADED,
                    message=f"{request.fingerprint} runs apart from another "
                    "request that may crash endpoints",
                    verdict=progress.verdict,
                    retry_after=APART_RETRY_AFTER_SECONDS,
                ),
            )

    async def settle(self, request: ProxiedRequest, outcome: Outcome) -> None:
        """Wait until it is known whether an attempt crashed its endpoint."""
        match outcome:
            case Lost(is_broken=True):
                await self._detector.settle(request.suspects)

    async def check_outcome(
        self,
        request: ProxiedRequest,
        progress: RequestProgress,
        exchange: Exchange,
        outcome: Outcome,
    ) -> None:
        """Check a request after an attempt that failed.

        :raises Refusal: if it must not run again
        :raises ResponseTruncated: the same, if its response has begun
        """
        match outcome:
            case NotStarted(quarantined=True):
                self._reject(
                    progress, exchange, "another region rejects the request"
                )
            case Lost(is_broken=True):
                self.check(request, progress, exchange)

    def _reject(
        self, progress: RequestProgress, exchange: Exchange, reason: str
    ) -> None:
        self._decisions_total.increment(decision="rejected")
        refusal = Refusal(
            code=RefusalCode.QUARANTINED,
            message=reason,
            verdict=progress.verdict,
        )
        self._raise(exchange, refusal)

    def _raise(self, exchange: Exchange, refusal: Refusal) -> None:
        if exchange.started:
            raise ResponseTruncated(refusal.message, CutCause.QUARANTINED)
        raise refusal

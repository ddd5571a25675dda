"""Logs and metrics of the attempts of requests."""

from collections.abc import Iterable

from burdockdrum.metrics import Metrics
from burdockdrum.passthrough.protocol import EndpointTarget
from burdockdrum.passthrough.protocol import NotStarted
from burdockdrum.passthrough.protocol import Outcome
from burdockdrum.passthrough.protocol import ProxiedRequest
from burdockdrum.passthrough.protocol import RequestProgress
from burdockdrum.passthrough.protocol import Target
from burdockdrum.passthrough.relaying.request_log import log_attempt
from burdockdrum.passthrough.relaying.request_log import log_overlap
from burdockdrum.passthrough.relaying.running_attempts import Attempt
from burdockdrum.ports import Clock
from burdockdrum.verdicts import RefusalCode


class AttemptReporter:
    """Reports each attempt, and the refusals that endpoints decided."""

    def __init__(self, *, clock: Clock, metrics: Metrics) -> None:
        """Create it with its metrics."""
        self._clock = clock
        self._limit_decisions_total = metrics.counter(
            "burdockdrum_endpoint_limit_decisions_total",
            "Attempts and refusals that the rate limits of endpoints decided.",
        )
        self._backoff_decisions_total = metrics.counter(
            "burdockdrum_endpoint_backoff_decisions_total",
            "Attempts and refusals that requested backoffs decided.",
        )
        self._not_run_total = metrics.counter(
            "burdockdrum_not_run_attempts_total",
            "Attempts that did not run, by what said so.",
        )
        self._estimate_errors = metrics.histogram(
            "burdockdrum_first_part_error_seconds",
            "Absolute error of the expected time to first byte of streams.",
        )
        self._overlaps = metrics.histogram(
            "burdockdrum_overlapping_attempts_seconds",
            "For how long two attempts of a request ran beside each other.",
        )

    def count_refusal(self, code: RefusalCode) -> None:
        """Count a refusal that a limit or a backoff decided."""
        match code:
            case RefusalCode.ENDPOINT_LIMIT:
                self._limit_decisions_total.increment(decision="refused")
            case RefusalCode.ENDPOINT_BACKOFF:
                self._backoff_decisions_total.increment(decision="refused")

    def report(
        self,
        target: Target,
        request: ProxiedRequest,
        progress: RequestProgress,
        outcome: Outcome,
        attempt: Attempt,
    ) -> None:
        """Log an attempt that has ended and record its estimates."""
        now = self._clock.monotonic()
        self._count_skipped(target)
        if isinstance(outcome, NotStarted):
            self._not_run_total.increment(evidence=_evidence(target, outcome))
        first_byte_seconds = None
        if progress.first_chunk_at is not None:
            first_byte_seconds = progress.first_chunk_at - attempt.started_at
            self._record_estimate_error(target, first_byte_seconds)
        log_attempt(
            target,
            request,
            progress,
            outcome,
            started_at=attempt.started_at,
            sent_at=attempt.sent_at if attempt.was_sent else None,
            first_byte_seconds=first_byte_seconds,
            now=now,
        )

    def report_overlaps(
        self,
        request: ProxiedRequest,
        ended: Attempt,
        others: Iterable[Attempt],
    ) -> None:
        """Record for how long an attempt ran beside others."""
        if not ended.was_sent:
            return
        now = self._clock.monotonic()
        for other in others:
            if other is ended or not other.was_sent:
                continue
            seconds = now - max(ended.sent_at, other.sent_at)
            self._overlaps.record(seconds)
            log_overlap(request, ended, other, seconds)

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


def _evidence(target: Target, outcome: NotStarted) -> str:
    """Return what said that an attempt did not run."""
    if outcome.status is None:
        return "withheld" if outcome.withheld else "unconnected"
    if isinstance(target, EndpointTarget):
        return f"endpoint {outcome.status}"
    return "entry"

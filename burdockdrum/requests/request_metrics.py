"""Metrics of the requests that an entry VM handles."""

from burdockdrum.metrics import Metrics
from burdockdrum.ports import Clock
from burdockdrum.verdicts import Refusal

NO_PRIORITY_CLASS = "none"


class RequestMetrics:
    """Counters and latency histograms of requests.

    A forwarded request is counted by both entry VMs. The label ``way`` is
    "caller" for requests of callers and "forward" for forwarded ones.
    """

    def __init__(self, *, metrics: Metrics) -> None:
        """Register the metrics."""
        self._answers = metrics.counter(
            "burdockdrum_answers_total", "Whole answers, by way."
        )
        self._refusals = metrics.counter(
            "burdockdrum_refusals_total", "Refusals, by code and verdict."
        )
        self._incomplete_streams = metrics.counter(
            "burdockdrum_streams_cut_total",
            "Streams that ended without being whole, the caller's going "
            "included.",
        )
        self._failures = metrics.counter(
            "burdockdrum_attempt_failures_total",
            "Attempts that gave no whole answer, by code.",
        )
        self._forwards = metrics.counter(
            "burdockdrum_forwards_total",
            "Requests passed on, by data centre.",
        )
        self._first_part_seconds = metrics.histogram(
            "burdockdrum_first_part_seconds",
            "Until the first part of an answer, by priority class.",
        )
        self._answer_seconds = metrics.histogram(
            "burdockdrum_answer_seconds",
            "Until the end of an answer, by priority class.",
        )

    def record_first_part(self, priority_class: str, seconds: float) -> None:
        """Record the first part of an answer."""
        self._first_part_seconds.record(seconds, priority_class=priority_class)

    def record_answer(
        self, priority_class: str, seconds: float, *, forwarded: bool
    ) -> None:
        """Record a complete answer."""
        self._answer_seconds.record(seconds, priority_class=priority_class)
        self._answers.increment(way="forward" if forwarded else "caller")

    def record_refusal(self, refusal: Refusal) -> None:
        """Record a refused request."""
        self._refusals.increment(
            code=refusal.code.value, verdict=refusal.verdict.value
        )

    def record_incomplete_stream(self) -> None:
        """Record a stream that ended before it was complete."""
        self._incomplete_streams.increment()

    def record_failure(self, refusal: Refusal) -> None:
        """Record a failed attempt."""
        self._failures.increment(code=refusal.code.value)

    def record_forward(self, data_centre: str) -> None:
        """Record a request forwarded to another data centre."""
        self._forwards.increment(data_centre=data_centre)


class AnswerTimer:
    """Measures the duration of one answer."""

    def __init__(
        self,
        *,
        metrics: RequestMetrics,
        clock: Clock,
        received_at: float,
        priority_class: str,
        forwarded: bool,
    ) -> None:
        """Record the first part of the answer.

        :param received_at: arrival of the request, on the clock
        """
        self._metrics = metrics
        self._clock = clock
        self._received_at = received_at
        self._priority_class = priority_class
        self._forwarded = forwarded
        seconds = clock.monotonic() - received_at
        metrics.record_first_part(priority_class, seconds)

    def end(self, *, complete: bool) -> None:
        """Record the end of the answer, which may be incomplete."""
        if not complete:
            self._metrics.record_incomplete_stream()
            return
        self._metrics.record_answer(
            self._priority_class,
            self._clock.monotonic() - self._received_at,
            forwarded=self._forwarded,
        )

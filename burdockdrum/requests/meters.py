"""What an entry VM counts of the requests it serves."""

from burdockdrum.metrics import Metrics
from burdockdrum.ports import Clock
from burdockdrum.verdicts import Refusal

UNCLASSED = "none"


class RequestMeters:
    """The counters and latencies that operators watch.

    A request that was passed on is counted by both entry VMs: the label
    ``way`` tells those of callers from those of other entry VMs.
    """

    def __init__(self, *, metrics: Metrics) -> None:
        """Name the metrics."""
        self._answers = metrics.counter(
            "burdockdrum_answers_total", "Whole answers, by way."
        )
        self._refusals = metrics.counter(
            "burdockdrum_refusals_total", "Refusals, by code and verdict."
        )
        self._cut = metrics.counter(
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
        self._first = metrics.histogram(
            "burdockdrum_first_part_seconds",
            "Until the first part of an answer, by priority class.",
        )
        self._whole = metrics.histogram(
            "burdockdrum_answer_seconds",
            "Until the end of an answer, by priority class.",
        )

    def note_first_part(self, priority_class: str, seconds: float) -> None:
        """Note that an answer has begun."""
        self._first.record(seconds, priority_class=priority_class)

    def note_answer(
        self, priority_class: str, seconds: float, *, forwarded: bool
    ) -> None:
        """Note a whole answer."""
        self._whole.record(seconds, priority_class=priority_class)
        self._answers.increment(way="forward" if forwarded else "caller")

    def note_refusal(self, refusal: Refusal) -> None:
        """Note a request that got a refusal in place of an answer."""
        self._refusals.increment(
            code=refusal.code.value, verdict=refusal.verdict.value
        )

    def note_cut(self) -> None:
        """Note a stream that ended before it was whole."""
        self._cut.increment()

    def note_failure(self, refusal: Refusal) -> None:
        """Note an attempt that failed."""
        self._failures.increment(code=refusal.code.value)

    def note_forward(self, data_centre: str) -> None:
        """Note a request that another data centre is asked to serve."""
        self._forwards.increment(data_centre=data_centre)


class AnswerMeter:
    """The time that one answer takes."""

    def __init__(
        self,
        *,
        meters: RequestMeters,
        clock: Clock,
        received_at: float,
        priority_class: str,
        forwarded: bool,
    ) -> None:
        """Note that the answer has begun.

        :param received_at: when its request came, on the clock
        """
        self._meters = meters
        self._clock = clock
        self._received_at = received_at
        self._priority_class = priority_class
        self._forwarded = forwarded
        seconds = clock.monotonic() - received_at
        meters.note_first_part(priority_class, seconds)

    def end(self, *, whole: bool) -> None:
        """Note the end of the answer, which may have come too early."""
        if not whole:
            self._meters.note_cut()
            return
        self._meters.note_answer(
            self._priority_class,
            self._clock.monotonic() - self._received_at,
            forwarded=self._forwarded,
        )

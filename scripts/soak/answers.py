"""Checks how answers ended against what endpoints did for them.

An answer that ends without a response from its endpoint and without a refusal
needs a reason. An endpoint that falls silent and goes on is none.
"""

import collections
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
import enum
import itertools
import re

from scripts.soak.invariants import NOT_RUN_STATUSES
from scripts.soak.receiving import Received

# The users' bound on two runs of a request at the same time.
MAX_OVERLAP_SECONDS = 0.4
# Endpoints notice the end of a connection within this time, on a busy host.
NOTICE_SECONDS = 0.7
# How much sooner than its time a request may count as over.
TIME_SLACK_SECONDS = 0.1
# After a signal to stop, an entry may end what still runs in the last sixth of
# the time that a process has for it, if it was sent soon after the signal.
GRACE_SECONDS = 8.0
MAY_END_SECONDS = GRACE_SECONDS * 5 / 6
MAY_BE_SENT_SECONDS = 3.0
_EVENT = re.compile(rb"id: (\d+)\ndata: (\w+)\n\n")


class RunEnd(enum.Enum):
    """How the run of a request at an endpoint ended."""

    OPEN = "still runs"
    WHOLE = "responded"
    FAILED = "failed by itself"
    CUT = "was cut off"


@dataclass(kw_only=True)
class Run:
    """A run of a request at an endpoint, by monotonic time.

    ``wrote_at`` is when its response began, ``last_wrote_at`` when it last
    went on.
    """

    request_id: str
    endpoint_id: str
    began_at: float
    wrote_at: float = float("inf")
    last_wrote_at: float = 0.0
    end: RunEnd = RunEnd.OPEN
    ended_at: float = float("inf")

    @property
    def is_sound(self) -> bool:
        """Return whether it would have responded."""
        return self.end is not RunEnd.FAILED


@dataclass(frozen=True, kw_only=True)
class Answer:
    """What a caller got, by monotonic time.

    ``due_at`` is when the request's time was over at the earliest.
    """

    request_id: str
    route: str
    entry: str
    sent_at: float
    due_at: float
    ended_at: float
    received: Received

    @property
    def is_nothing(self) -> bool:
        """Return whether the connection ended before a whole response."""
        return self.received.is_connected and not self.received.is_whole


@dataclass(frozen=True, kw_only=True)
class Stop:
    """A signal that ended an entry, at a monotonic time."""

    at: float
    entry: str
    is_kill: bool


@dataclass(frozen=True, kw_only=True)
class RouteRule:
    """What holds for the requests of a route."""

    attempts: int
    is_stream: bool = False
    is_repeatable: bool = False


@dataclass(kw_only=True)
class AnswerHistory:
    """What callers got and what endpoints ran."""

    rules: dict[str, RouteRule]
    events: int
    answers: list[Answer] = field(default_factory=list)
    runs_by_id: dict[str, list[Run]] = field(
        default_factory=lambda: collections.defaultdict(list)
    )
    # Requests that endpoints rejected, which are no runs.
    rejected_by_id: dict[str, list[Run]] = field(
        default_factory=lambda: collections.defaultdict(list)
    )
    stops: list[Stop] = field(default_factory=list)

    def count_nothing(self) -> dict[str, int]:
        """Return how many answers ended with nothing, by reason."""
        return collections.Counter(
            self.find_reason(answer) or "no reason"
            for answer in self.answers
            if answer.is_nothing
        )

    def list_overlaps(self) -> list[float]:
        """Return for how many seconds each two runs of a request overlapped.

        Longer than in truth by how long endpoints take to notice the end of a
        connection. Those that fail by themselves don't notice it.
        """
        return [
            seconds
            for runs in self.runs_by_id.values()
            for first, second in itertools.combinations(runs, 2)
            if first.is_sound
            and second.is_sound
            and (
                seconds := min(first.ended_at, second.ended_at)
                - max(first.began_at, second.began_at)
            )
            > 0
        ]

    def check(self) -> list[str]:
        """Return what was violated."""
        return [
            f"{answer.request_id} ({answer.route}) at {answer.entry}, status "
            f"{answer.received.status}, sent {answer.sent_at:.2f}, "
            f"{answer.ended_at - answer.sent_at:.2f} s: {violation}; "
            + self._describe_runs(answer.request_id)
            for answer in self.answers
            for violation in self._check_answer(answer)
        ]

    def find_reason(self, answer: Answer) -> str | None:
        """Return why an answer could not be whole, None if it could."""
        runs = self.runs_by_id[answer.request_id]
        if answer.ended_at >= answer.due_at - TIME_SLACK_SECONDS:
            return "time"
        for stop in self.stops:
            if stop.entry == answer.entry:
                reason = _find_reason_of_stop(stop, answer, bool(runs))
                if reason is not None:
                    return reason
        sound = [run for run in runs if run.is_sound]
        if not runs and self._was_any_killed(answer.ended_at):
            return "killed on the way"
        if runs and not sound:
            return "endpoints failed"
        has_begun = answer.received.status == 200
        failed = [*runs, *self.rejected_by_id[answer.request_id]]
        if sound and all(
            _was_withdrawn(run, failed)
            and not (has_begun and run.wrote_at < float("inf"))
            for run in sound
        ):
            return "withdrawn beside one that failed"
        # One that the caller has no part of can still be another attempt's.
        if sound and all(
            (has_begun and self._was_replaced(run, runs))
            or self._was_any_killed(run.ended_at)
            for run in sound
        ):
            return "replaced or killed"
        return None

    def _was_replaced(self, run: Run, runs: list[Run]) -> bool:
        """Return whether the response was taken over from a run, and failed.

        Others may have taken it over in between.
        """
        return any(
            not other.is_sound and other.wrote_at < float("inf")
            for other in runs
        ) and any(
            other.wrote_at <= run.ended_at + NOTICE_SECONDS
            and max(other.wrote_at, other.last_wrote_at) > run.began_at
            and other.ended_at >= run.ended_at - NOTICE_SECONDS
            for other in runs
            if other is not run
        )

    def _was_any_killed(self, at: float) -> bool:
        """Return whether an entry, perhaps on the way, was killed then."""
        return any(
            stop.is_kill and abs(stop.at - at) < NOTICE_SECONDS
            for stop in self.stops
        )

    def _check_answer(self, answer: Answer) -> Iterator[str]:
        rule = self.rules[answer.route]
        runs = self.runs_by_id[answer.request_id]
        status, is_whole = answer.received.status, answer.received.is_whole
        if not rule.is_repeatable and len(runs) > 1:
            yield f"ran {len(runs)} times, but must not be repeated"
        endpoints = {run.endpoint_id for run in runs}
        if len(endpoints) > rule.attempts:
            yield f"ran at {len(endpoints)} endpoints, not {rule.attempts}"
        if is_whole and status in NOT_RUN_STATUSES:
            if runs:
                yield "was refused as not run, but ran"
        elif is_whole and status == 200:
            yield from self._check_body(answer, rule)
        elif answer.received.is_connected:
            if rule.is_stream and status == 200:
                yield from self._check_body(answer, rule)
            if self.find_reason(answer) is None:
                ending = "a failure" if is_whole else "nothing"
                yield f"ended with {ending} without a reason"

    def _check_body(self, answer: Answer, rule: RouteRule) -> Iterator[str]:
        body, name = answer.received.body, answer.request_id.encode()
        if not rule.is_stream:
            if body.replace(name + b".", b""):
                yield f"got the wrong body: {body[:60]!r}"
            return
        events = [(int(number), data) for number, data in _EVENT.findall(body)]
        last = self.events if answer.received.is_whole else len(events)
        if events != [(number, name) for number in range(1, last + 1)]:
            yield f"got the events {[number for number, _ in events]}"

    def _describe_runs(self, request_id: str) -> str:
        runs = self.runs_by_id[request_id]
        return "runs: " + ", ".join(
            f"{run.endpoint_id} from {run.began_at:.2f}, wrote at "
            f"{run.wrote_at:.2f}, {run.end.value} at {run.ended_at:.2f}"
            for run in runs
        )


def _was_withdrawn(run: Run, runs: list[Run]) -> bool:
    """Return whether a run had to end, as another one had begun before it.

    Two must not be at work for longer. That one failed later, by itself.
    """
    seconds = run.ended_at - run.began_at
    return (
        run.end is RunEnd.CUT
        and seconds <= MAX_OVERLAP_SECONDS + NOTICE_SECONDS
        and any(
            other.began_at < run.began_at
            and other.ended_at > run.ended_at
            and not other.is_sound
            for other in runs
        )
    )


def _find_reason_of_stop(
    stop: Stop, answer: Answer, has_run: bool
) -> str | None:
    """Return why the end of an answer's entry explains it, if it does."""
    seconds = answer.ended_at - stop.at
    since_sent = answer.sent_at - stop.at
    if stop.is_kill:
        is_meanwhile = (
            seconds > -NOTICE_SECONDS and since_sent < NOTICE_SECONDS
        )
        return "entry killed" if is_meanwhile else None
    if seconds > GRACE_SECONDS + NOTICE_SECONDS:
        return None
    if seconds > MAY_END_SECONDS and since_sent <= MAY_BE_SENT_SECONDS:
        return "time to stop"
    if seconds > 0 and not has_run and not answer.received.status:
        return "not read by an entry that ends"
    return None

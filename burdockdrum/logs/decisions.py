"""Rate-limited logging of decisions and failures.

An event is named by a noun and a past participle, such as
``request.refused``. Each event has a limit of lines per second; dropped lines
are counted, and the count is logged. Failures have a limit of their own, so
that a flood of successes never hides them.
"""

import collections
import time

from loguru import logger

# Lines of one event; above these limits a sample is enough.
MAX_DECISIONS_PER_SECOND = 40
MAX_FAILURES_PER_SECOND = 80
# Far above what an entry can serve: such lines are left out only in a flood.
MAX_RECORDS_PER_SECOND = 1000

Value = str | int | float | bool | None


class _RateLimiter:
    """A limit on the lines of each event in each second."""

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._second = 0
        self._counts_by_event: collections.Counter[str] = collections.Counter()

    def admit(self, event: str) -> bool:
        """Count a line and return whether it may be written."""
        second = int(time.monotonic())
        if second != self._second:
            self._start_second(second)
        self._counts_by_event[event] += 1
        return self._counts_by_event[event] <= self._limit

    def _start_second(self, second: int) -> None:
        counts, self._counts_by_event = (
            self._counts_by_event,
            collections.Counter(),
        )
        self._second = second
        for event, count in counts.items():
            if count > self._limit:
                dropped = count - self._limit
                logger.bind(of=event, count=dropped).info("log.left_out")


_decision_limiter = _RateLimiter(limit=MAX_DECISIONS_PER_SECOND)
_failure_limiter = _RateLimiter(limit=MAX_FAILURES_PER_SECOND)
_record_limiter = _RateLimiter(limit=MAX_RECORDS_PER_SECOND)


def log_decision(event: str, **fields: Value) -> None:
    """Log a decision with the values that it was based on."""
    if _decision_limiter.admit(event):
        logger.bind(**fields).info(event)


def log_failure(event: str, **fields: Value) -> None:
    """Log a failure or a refusal with its reason."""
    if _failure_limiter.admit(event):
        logger.bind(**fields).warning(event)


def log_record(event: str, *, is_failure: bool, **fields: Value) -> None:
    """Log what must not be sampled, such as the runs of a request."""
    if _record_limiter.admit(event):
        write = logger.bind(**fields)
        write.log("WARNING" if is_failure else "INFO", event)

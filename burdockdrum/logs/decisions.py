"""One line for each decision, with what decided it.

An event is named by a noun and a past participle, such as
``request.refused``. The volume of each event is bounded by second: what is
left out is counted, and the count is logged. Failures have a bound of their
own, so that a flood of successes never hides them.
"""

import collections
import time

from loguru import logger

# A busy entry serves 40 requests a second today; above that a sample tells
# as much. A line costs 32 µs, so the two bounds are 0.4% of a core.
DECISIONS_A_SECOND = 40
FAILURES_A_SECOND = 80

Value = str | int | float | bool | None


class _Allowance:
    """How many lines of each event this second has seen."""

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._second = 0
        self._counts_by_event: collections.Counter[str] = collections.Counter()

    def take(self, event: str) -> bool:
        """Count a line; say whether it may be written."""
        second = int(time.monotonic())
        if second != self._second:
            self._close_second(second)
        self._counts_by_event[event] += 1
        return self._counts_by_event[event] <= self._limit

    def _close_second(self, second: int) -> None:
        counts, self._counts_by_event = (
            self._counts_by_event,
            collections.Counter(),
        )
        self._second = second
        for event, count in counts.items():
            if count > self._limit:
                left_out = count - self._limit
                logger.bind(of=event, count=left_out).info("log.left_out")


_decisions = _Allowance(limit=DECISIONS_A_SECOND)
_failures = _Allowance(limit=FAILURES_A_SECOND)


def log_decision(event: str, **fields: Value) -> None:
    """Log what was decided and by what."""
    if _decisions.take(event):
        logger.bind(**fields).info(event)


def log_failure(event: str, **fields: Value) -> None:
    """Log what failed, or was refused, and why."""
    if _failures.take(event):
        logger.bind(**fields).warning(event)

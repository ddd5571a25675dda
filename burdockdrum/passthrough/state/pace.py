"""Observe the pace of running responses, which tells an endpoint's speed.

The time between two events depends on whether the engine prefills prompts and
how many responses it writes. Events are therefore only compared with those
under the same conditions, and only while the conditions hold.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from burdockdrum.registrations import Load

# Weight of a second of observed pace, relative to a time to first token.
# While an engine prefills, the length of its steps varies with the prompts.
CLEAR_WEIGHT_PER_SECOND = 10.0
PREFILL_WEIGHT_PER_SECOND = 3.0
# A response whose next event is this many times later than expected counts
# as observed before the event comes.
OVERDUE_FACTOR = 2.0


@dataclass(frozen=True, kw_only=True)
class PaceSample:
    """The mean time between events, and the weight of the observation."""

    source: str
    seconds: float
    weight: float


@dataclass(kw_only=True, slots=True)
class PaceWindow:
    """The events of all responses of an endpoint since the last sample.

    ``source`` names the conditions, ``holds_since`` from when they hold.
    """

    source: str = ""
    holds_since: float = float("inf")
    opened_at: float = 0.0
    gap_seconds: float = 0.0
    events: int = 0

    def record_event(self, previous_at: float, now: float) -> None:
        """Record an event whose predecessor came at a time."""
        if previous_at >= self.holds_since:
            self.gap_seconds += now - previous_at
            self.events += 1

    def close(
        self,
        source: str,
        last_output_times: Iterable[float],
        expected_seconds: float | None,
        now: float,
    ) -> PaceSample | None:
        """Return the sample of this window, and open the next one.

        :param source: the present conditions
        :param last_output_times: of the running responses
        :param expected_seconds: expected time between events, None if unknown
        """
        sample = None
        if source == self.source:
            self._count_overdue(last_output_times, expected_seconds, now)
            sample = self._sample(now)
        else:
            self.source, self.holds_since = source, now
        self.opened_at, self.gap_seconds, self.events = now, 0.0, 0
        return sample

    def _count_overdue(
        self,
        last_output_times: Iterable[float],
        expected_seconds: float | None,
        now: float,
    ) -> None:
        if expected_seconds is None:
            return
        limit = expected_seconds * OVERDUE_FACTOR
        for last_output_at in last_output_times:
            gap = now - last_output_at
            if last_output_at >= self.holds_since and gap > limit:
                self.gap_seconds += gap
                self.events += 1

    def _sample(self, now: float) -> PaceSample | None:
        if not self.events or self.gap_seconds <= 0:
            return None
        per_second = (
            PREFILL_WEIGHT_PER_SECOND
            if self.source.startswith(_PREFILL)
            else CLEAR_WEIGHT_PER_SECOND
        )
        observed = min(now - self.opened_at, self.gap_seconds)
        return PaceSample(
            source=self.source,
            seconds=self.gap_seconds / self.events,
            weight=observed * per_second,
        )


_PREFILL = "pace with prefill"
_CLEAR = "pace"


def pace_source(load: Load) -> str:
    """Return the conditions under which an endpoint writes its responses.

    :param load: of all entries at the endpoint
    """
    size = int(load.requests).bit_length()
    waiting = any(part.waiting for part in load.sums_by_rank.values())
    return f"{_PREFILL if waiting else _CLEAR} {size}"

"""Measure for how long this process could have heard anything.

A process that was stopped, or got no processor time, finds its timers expired
before it reads what arrived meanwhile. Whoever takes a peer's silence for a
failure must count only the time in which this process ran.
"""

import collections
from dataclasses import dataclass

from burdockdrum.logs import log_decision
from burdockdrum.metrics import Metrics
from burdockdrum.ports import Clock

TICK_INTERVAL_SECONDS = 0.1
# Of the time between two ticks, how much counts; the rest was a pause.
MAX_TICK_SECONDS = 0.15
# None of a time between two ticks counts that is longer than this. What
# arrived in it has not been read when the timers run that expired in it.
MIN_LONG_PAUSE_SECONDS = 0.5
# Shorter pauses are only counted, as there are many beside load.
MIN_LOGGED_PAUSE_SECONDS = 0.25
MAX_PAUSES = 100


@dataclass(frozen=True, kw_only=True)
class _Pause:
    """A time in which this process heard nothing; times are monotonic."""

    began_at: float
    ended_at: float

    def seconds_since(self, at: float) -> float:
        """Return how much of the pause was after a time."""
        return max(0.0, self.ended_at - max(self.began_at, at))


class PauseDetector:
    """Detects pauses of this process by a timer that is late.

    Before ``run`` has started no time counts as a pause.
    """

    def __init__(self, *, clock: Clock, metrics: Metrics) -> None:
        """Create a detector; ``run`` starts it."""
        self._clock = clock
        self._ticked_at: float | None = None
        # The oldest one first.
        self._pauses: collections.deque[_Pause] = collections.deque(
            maxlen=MAX_PAUSES
        )
        self._paused_seconds_total = metrics.counter(
            "burdockdrum_paused_seconds_total",
            "Time in which this process got no processor time.",
        )

    async def run(self) -> None:
        """Detect pauses until cancelled."""
        self._ticked_at = self._clock.monotonic()
        try:
            while True:
                await self._clock.sleep(TICK_INTERVAL_SECONDS)
                self._tick()
        finally:
            self._ticked_at = None

    def monotonic(self) -> float:
        """Return the monotonic time in seconds."""
        return self._clock.monotonic()

    def awake_seconds_since(self, at: float) -> float:
        """Return for how long this process has run since a monotonic time."""
        now = self._clock.monotonic()
        return max(0.0, now - at - self._paused_seconds_since(at, now))

    def before(self, at: float, seconds: float) -> float:
        """Return the latest time from which this process has run so long.

        :param at: the monotonic time until which it has
        :param seconds: for how long it has run between the two
        """
        current = self._current_pause(self._clock.monotonic())
        pauses = [*self._pauses, *([current] if current is not None else [])]
        left, end = seconds, at
        for pause in reversed(pauses):
            if pause.began_at >= end:
                continue
            awake = max(0.0, end - pause.ended_at)
            if awake >= left:
                break
            left -= awake
            end = pause.began_at
        return end - left

    def _paused_seconds_since(self, at: float, now: float) -> float:
        current = self._current_pause(now)
        seconds = current.seconds_since(at) if current is not None else 0.0
        for pause in reversed(self._pauses):
            if pause.ended_at <= at:
                break
            seconds += pause.seconds_since(at)
        return seconds

    def _current_pause(self, now: float) -> _Pause | None:
        """Return the pause since the last tick, if there was one."""
        if self._ticked_at is None:
            return None
        seconds = now - self._ticked_at
        if seconds <= MAX_TICK_SECONDS:
            return None
        is_long = seconds > MIN_LONG_PAUSE_SECONDS
        counted = 0.0 if is_long else MAX_TICK_SECONDS
        return _Pause(began_at=self._ticked_at + counted, ended_at=now)

    def _tick(self) -> None:
        now = self._clock.monotonic()
        pause = self._current_pause(now)
        self._ticked_at = now
        if pause is None:
            return
        self._pauses.append(pause)
        seconds = pause.ended_at - pause.began_at
        self._paused_seconds_total.increment(seconds)
        if seconds >= MIN_LOGGED_PAUSE_SECONDS:
            log_decision("process.paused", seconds=round(seconds, 3))

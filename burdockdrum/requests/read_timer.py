"""A timer of an attempt's waits that is cheap for many short ones.

A stream waits once per token, and ``asyncio.timeout`` would set and cancel a
timer each time. Here one timer is reused: if it fires after there has been
progress, it is set again.
"""

import asyncio
from collections.abc import Callable
import math

# How often a wait that is silent is reported again.
RECHECK_INTERVAL_SECONDS = 1.0
# A timer that fires later says that this process was paused. What has arrived
# meanwhile is not read yet, so that the wait is no silence of the other side.
MAX_LATENESS_SECONDS = 0.25


class ReadTimer:
    """Reports waits that are silent, and cancels those past the deadline."""

    def __init__(self, *, report_silence: Callable[[], None]) -> None:
        """Create an inactive timer.

        :param report_silence: called once a wait is silent for too long, and
            again at intervals until it ends
        """
        self._loop = asyncio.get_running_loop()
        self._report_silence = report_silence
        self._waiting: asyncio.Task | None = None
        self._expires_at = math.inf
        self._silent_at = math.inf
        self._expired = False
        self._timer: asyncio.TimerHandle | None = None

    def begin(self, seconds: float, silent_seconds: float) -> None:
        """Start a wait of the current task.

        :param seconds: after which it is cancelled, or infinity
        :param silent_seconds: after which it is reported, or infinity
        """
        now = self._loop.time()
        self._expires_at = now + seconds
        self._silent_at = now + silent_seconds
        self._waiting = asyncio.current_task(self._loop)
        self._expired = False
        timer = self._timer
        if timer is None or timer.when() > self._next_at():
            self._set()

    def end(self) -> None:
        """End the wait."""
        self._waiting = None

    def ask(self) -> None:
        """Report a silence now, if the attempt waits."""
        if self._waiting is not None:
            self._report_silence()

    def abort(self) -> None:
        """Cancel the wait, as if the deadline had passed."""
        if self._waiting is not None:
            self._expired = True
            self._waiting.cancel()

    def absorb(self) -> bool:
        """Undo this timer's cancellation of the task.

        :returns: False if the task was also cancelled by someone else, or
            not by this timer
        """
        if not self._expired or self._waiting is None:
            return False
        self._expired = False
        return self._waiting.uncancel() == 0

    def stop(self) -> None:
        """Cancel the timer."""
        self._waiting = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _next_at(self) -> float:
        return min(self._expires_at, self._silent_at)

    def _set(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        at = self._next_at()
        if at < math.inf:
            self._timer = self._loop.call_at(at, self._check, at)

    def _check(self, due_at: float) -> None:
        self._timer = None
        if self._waiting is None:
            return
        now = self._loop.time()
        if now >= self._expires_at:
            self.abort()
            return
        if now >= self._silent_at:
            self._silent_at = now + RECHECK_INTERVAL_SECONDS
            if now - due_at <= MAX_LATENESS_SECONDS:
                self._report_silence()
        if not self._expired:
            self._set()

"""An idle timeout that is cheap for many short waits.

A stream waits once per token, and ``asyncio.timeout`` would set and cancel a
timer each time. Here one timer is reused: if it fires after there has been
progress, it is set again.
"""

import asyncio


class IdleTimer:
    """Cancels a waiting task when its wait exceeds the timeout."""

    def __init__(self) -> None:
        """Create an inactive timer."""
        self._loop = asyncio.get_running_loop()
        self._waiting: asyncio.Task | None = None
        self._expires_at = 0.0
        self._expired = False
        self._timer: asyncio.TimerHandle | None = None

    def begin(self, seconds: float) -> None:
        """Start a wait of the current task."""
        self._expires_at = self._loop.time() + seconds
        self._waiting = asyncio.current_task(self._loop)
        self._expired = False
        timer = self._timer
        if timer is None or timer.when() > self._expires_at:
            self._set()

    def end(self) -> None:
        """End the wait."""
        self._waiting = None

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

    def _set(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(self._expires_at, self._check)

    def _check(self) -> None:
        self._timer = None
        if self._waiting is None:
            return
        if self._loop.time() < self._expires_at:
            self._set()
            return
        self._expired = True
        self._waiting.cancel()

"""End a wait that takes too long, cheaply for many short waits.

``asyncio.timeout`` sets and cancels a timer each time, 10 µs of processor
time; a stream waits once a token. Here one timer is set and, when it goes
off while there has been progress, set again.
"""

import asyncio


class SilenceTimer:
    """Cancel the task that waits when its wait is over the limit."""

    def __init__(self) -> None:
        """Create a timer that is not set."""
        self._loop = asyncio.get_running_loop()
        self._waiting: asyncio.Task | None = None
        self._until = 0.0
        self._expired = False
        self._timer: asyncio.TimerHandle | None = None

    def begin(self, seconds: float) -> None:
        """Note that the current task begins to wait."""
        self._until = self._loop.time() + seconds
        self._waiting = asyncio.current_task(self._loop)
        self._expired = False
        timer = self._timer
        if timer is None or timer.when() > self._until:
            self._set()

    def end(self) -> None:
        """Note that the wait is over."""
        self._waiting = None

    def absorb(self) -> bool:
        """Say whether a cancellation is this timer's alone, and undo it."""
        if not self._expired or self._waiting is None:
            return False
        self._expired = False
        return self._waiting.uncancel() == 0

    def stop(self) -> None:
        """Take the timer back."""
        self._waiting = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _set(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(self._until, self._check)

    def _check(self) -> None:
        self._timer = None
        if self._waiting is None:
            return
        if self._loop.time() < self._until:
            self._set()
            return
        self._expired = True
        self._waiting.cancel()

"""Signals that wake all tasks waiting for the next change."""

import asyncio

from burdockdrum.ports import Clock

_MIN_SLEEP_SECONDS = 0.0001


class Signal:
    """Wakes all waiting tasks when something has changed.

    Unlike an event it has no state to clear, so a waiter can't miss a change
    because of another one. A waiter checks its condition before it waits.
    """

    def __init__(self) -> None:
        """Create a signal without waiters."""
        # A dict keeps the order, for reproducible runs under virtual time.
        self._waiters: dict[asyncio.Future[None], None] = {}

    def fire(self) -> None:
        """Wake all waiters."""
        waiters = self._waiters
        self._waiters = {}
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait(self) -> None:
        """Wait for the next change."""
        await wait_for_any(self)

    def subscribe(self) -> asyncio.Future[None]:
        """Return a future that completes with the next change."""
        waiter: asyncio.Future[None] = asyncio.Future()
        self._waiters[waiter] = None
        return waiter

    def unsubscribe(self, waiter: asyncio.Future[None]) -> None:
        """Remove a future returned by ``subscribe``."""
        self._waiters.pop(waiter, None)


async def wait_for_any(*signals: Signal) -> None:
    """Wait for the next change of any signal."""
    waiters = [signal.subscribe() for signal in signals]
    try:
        await asyncio.wait(waiters, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for signal, waiter in zip(signals, waiters, strict=True):
            signal.unsubscribe(waiter)


async def wait_until(clock: Clock, deadline: float, *signals: Signal) -> bool:
    """Wait for the next change of any signal, or for a deadline.

    :param deadline: by the clock's monotonic time
    :returns: whether a signal fired
    """
    seconds = deadline - clock.monotonic()
    if seconds <= 0:
        return False
    # A sleep too short to advance the clock would make the caller spin.
    seconds = max(seconds, _MIN_SLEEP_SECONDS)
    sleep_task = asyncio.ensure_future(clock.sleep(seconds))
    waiters = [signal.subscribe() for signal in signals]
    try:
        await asyncio.wait(
            [sleep_task, *waiters], return_when=asyncio.FIRST_COMPLETED
        )
        return any(waiter.done() for waiter in waiters)
    finally:
        sleep_task.cancel()
        for signal, waiter in zip(signals, waiters, strict=True):
            signal.unsubscribe(waiter)

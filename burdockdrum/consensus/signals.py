"""A way to wait for the next change of something."""

import asyncio

from burdockdrum.ports import Clock

_SHORTEST_SECONDS = 0.0001


class Signal:
    """Wakes every task that waits when something changed.

    Unlike an event it has no state to clear, so two waiters can't take a
    change from each other. A waiter checks its condition first.
    """

    def __init__(self) -> None:
        """Create a signal that nobody waits for."""
        # A dict keeps the order, so that a run under virtual time repeats.
        self._waiters: dict[asyncio.Future[None], None] = {}

    def fire(self) -> None:
        """Wake all who wait."""
        waiters = self._waiters
        self._waiters = {}
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait(self) -> None:
        """Wait for the next change."""
        await wait_for_any(self)

    def subscribe(self) -> asyncio.Future[None]:
        """Return a future that is done with the next change from now on."""
        waiter: asyncio.Future[None] = asyncio.Future()
        self._waiters[waiter] = None
        return waiter

    def unsubscribe(self, waiter: asyncio.Future[None]) -> None:
        """Forget a future that nobody waits for any more."""
        self._waiters.pop(waiter, None)


async def wait_for_any(*signals: Signal) -> None:
    """Wait for the next change of any of these."""
    waiters = [signal.subscribe() for signal in signals]
    try:
        await asyncio.wait(waiters, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for signal, waiter in zip(signals, waiters, strict=True):
            signal.unsubscribe(waiter)


async def wait_until(clock: Clock, deadline: float, *signals: Signal) -> bool:
    """Wait for the next change, at most until the clock says so.

    :returns: whether a change came
    """
    seconds = deadline - clock.monotonic()
    if seconds <= 0:
        return False
    # A rest too small to move the clock on would make its caller spin.
    seconds = max(seconds, _SHORTEST_SECONDS)
    sleeping = asyncio.ensure_future(clock.sleep(seconds))
    waiters = [signal.subscribe() for signal in signals]
    try:
        await asyncio.wait(
            [sleeping, *waiters], return_when=asyncio.FIRST_COMPLETED
        )
        return any(waiter.done() for waiter in waiters)
    finally:
        sleeping.cancel()
        for signal, waiter in zip(signals, waiters, strict=True):
            signal.unsubscribe(waiter)

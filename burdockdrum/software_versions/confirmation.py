"""Lets an entry wait until a quorum of control VMs has told all it knows."""

import asyncio
from collections.abc import Callable
from collections.abc import Collection
from dataclasses import dataclass
from dataclasses import field

from burdockdrum.ports import Clock

# Requests that arrive within this time share a poll.
BATCH_SECONDS = 0.002
# As polls may get lost, they are repeated while someone waits.
POLL_SECONDS = 0.06


@dataclass(kw_only=True, eq=False)
class _Waiter:
    """Waits for replies to polls sent after ``since_ms``."""

    since_ms: int
    vm_ids: set[str] = field(default_factory=set)
    confirmed: asyncio.Event = field(default_factory=asyncio.Event)


class VersionConfirmation:
    """Polls control VMs, and waits for a majority of them.

    What each of them said before may be older than what the waiter asks
    about, however recently it was heard.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        read_control_ids: Callable[[], Collection[str]],
        poll: Callable[[], None],
    ) -> None:
        """Create it.

        :param poll: polls all control VMs
        """
        self._clock = clock
        self._read_control_ids = read_control_ids
        self._poll = poll
        self._waiters: set[_Waiter] = set()
        self._is_wanted = asyncio.Event()

    async def confirm(self, seconds: float) -> bool:
        """Wait until a majority has replied to a poll sent from now on.

        :param seconds: how long at most
        :returns: whether it has
        """
        waiter = _Waiter(since_ms=int(self._clock.monotonic() * 1000))
        self._waiters.add(waiter)
        self._is_wanted.set()
        try:
            async with asyncio.timeout(seconds):
                await waiter.confirmed.wait()
        except TimeoutError:
            return False
        finally:
            self._waiters.discard(waiter)
        return True

    def record(self, vm_id: str, polled_at_ms: int) -> None:
        """Record the reply of a control VM that has forgotten nothing.

        :param polled_at_ms: when the poll was sent, by the own clock
        """
        for waiter in self._waiters:
            if polled_at_ms > waiter.since_ms:
                waiter.vm_ids.add(vm_id)
                current = set(self._read_control_ids())
                if len(waiter.vm_ids & current) * 2 > len(current):
                    waiter.confirmed.set()

    async def run(self) -> None:
        """Poll while someone waits, until cancelled."""
        while True:
            await self._is_wanted.wait()
            await self._clock.sleep(BATCH_SECONDS)
            self._is_wanted.clear()
            while self._waiters and not self._is_wanted.is_set():
                self._poll()
                await self._clock.sleep(POLL_SECONDS)

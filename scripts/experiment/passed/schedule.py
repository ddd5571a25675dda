"""A discrete-event scheduler with a virtual clock."""

from collections.abc import Callable
import heapq
import itertools


class Schedule:
    """Runs callbacks in order of time; also serves as the clock."""

    def __init__(self) -> None:
        """Create an empty schedule at 0 s."""
        self.now = 0.0
        self._calls: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def monotonic(self) -> float:
        """Return the time in seconds."""
        return self.now

    def wall(self) -> float:
        """Return the wall time, which equals the monotonic time."""
        return self.now

    async def sleep(self, seconds: float) -> None:
        """Raise NotImplementedError: simulated components do not sleep."""
        raise NotImplementedError

    def at(self, moment: float, call: Callable[[], None]) -> None:
        """Schedule a callback at a time."""
        heapq.heappush(self._calls, (moment, next(self._order), call))

    def after(self, seconds: float, call: Callable[[], None]) -> None:
        """Schedule a callback after a delay."""
        self.at(self.now + seconds, call)

    def repeat_every(self, seconds: float, call: Callable[[], None]) -> None:
        """Call repeatedly, for the first time after one interval."""

        def repeat() -> None:
            call()
            self.after(seconds, repeat)

        self.after(seconds, repeat)

    def run(self, until: float) -> None:
        """Run all callbacks that are due up to a time."""
        while self._calls and self._calls[0][0] <= until:
            self.now, _, call = heapq.heappop(self._calls)
            call()
        self.now = until

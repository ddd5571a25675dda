"""The attempts of one request that run at the same time.

An attempt that stalls may still succeed, and so may fail the one that is to
replace it. Both run until either responds, which then owns the response.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterator
from typing import Generic
from typing import TypeVar

TargetT = TypeVar("TargetT")
OutcomeT = TypeVar("OutcomeT")


class Superseded(Exception):
    """Another attempt has begun to respond."""


class Attempt(Generic[TargetT, OutcomeT]):
    """An attempt of a request, in a task of its own.

    ``target`` is None while it is selected, ``started_at`` is when that was
    done, in monotonic time. ``was_sent`` says whether the request has been
    sent to it, and ``sent_at`` when. ``is_stalled`` says that it has been
    silent for too long, and ``counted_runs`` are the runs that were counted
    when it first was.
    """

    def __init__(self, *, group: "RunningAttempts[TargetT, OutcomeT]") -> None:
        """Create an attempt; ``RunningAttempts`` starts it."""
        self._group = group
        self.target: TargetT | None = None
        self.started_at = 0.0
        self.was_sent = False
        self.sent_at = 0.0
        self.is_stalled = False
        self.counted_runs = 0
        self.task: asyncio.Task[OutcomeT]
        # Ends a call that has been sent, with the reason.
        self.abort: Callable[[str], None] = _ignore
        # Asks at once whether a stalled attempt may have a successor.
        self.expire: Callable[[], None] = _do_nothing
        # Returns whether the target can be reached now.
        self.reach: Callable[[], Awaitable[bool]] = _reach_nothing

    @property
    def may_have_successor(self) -> bool:
        """Return whether no other attempt runs that has not stalled."""
        return self._group.are_others_stalled(self)

    @property
    def is_alone(self) -> bool:
        """Return whether no other attempt runs."""
        return all(other is self for other in self._group)

    @property
    def owns_response(self) -> bool:
        """Return whether the response is this attempt's."""
        return self._group.is_owner(self)

    def list_others_at_work(self) -> "list[Attempt[TargetT, OutcomeT]]":
        """Return the other attempts that were sent and have not ended."""
        return [
            other
            for other in self._group
            if other is not self and other.was_sent and not other.task.done()
        ]

    def withdraw(self) -> None:
        """End the attempt; the others go on."""
        self.task.cancel()

    def stall(self) -> None:
        """Record that the attempt is silent and may have a successor."""
        self.is_stalled = True
        self._group.record_stall(self)

    def claim_response(self) -> None:
        """Own the response from now on, which ends the other attempts.

        :raises Superseded: if another attempt owns it and has not stalled
        """
        self._group.claim_response(self)


class RunningAttempts(Generic[TargetT, OutcomeT]):
    """The attempts of one request that run now."""

    def __init__(self) -> None:
        """Create it for a request without attempts."""
        self._attempts: list[Attempt[TargetT, OutcomeT]] = []
        # Those that were ended for the owner of the response.
        self._ending: list[Attempt[TargetT, OutcomeT]] = []
        self._owner: Attempt[TargetT, OutcomeT] | None = None
        self._has_new_stall = False
        self._changed = asyncio.Event()

    def __iter__(self) -> Iterator[Attempt[TargetT, OutcomeT]]:
        """Iterate over the attempts that run."""
        return iter(self._attempts)

    @property
    def has_owner(self) -> bool:
        """Return whether an attempt owns the response and has not ended.

        One that has not been returned by ``wait`` has not ended.
        """
        return self._owner is not None

    @property
    def is_any_running(self) -> bool:
        """Return whether any attempt runs."""
        return bool(self._attempts)

    def start(
        self,
        run: Callable[
            [Attempt[TargetT, OutcomeT]], Coroutine[None, None, OutcomeT]
        ],
    ) -> None:
        """Start an attempt.

        :param run: runs it and returns its outcome
        """
        attempt: Attempt[TargetT, OutcomeT] = Attempt(group=self)
        attempt.task = asyncio.create_task(run(attempt))
        attempt.task.add_done_callback(lambda task: self._changed.set())
        self._attempts.append(attempt)

    async def wait(self) -> Attempt[TargetT, OutcomeT] | None:
        """Wait until an attempt ends, or one stalls that needs a successor.

        :returns: the attempt that has ended, None if one has stalled
        """
        while True:
            # Those that were ended first: else the last one to be returned
            # might not be the one that decides.
            attempts = self._ending or self._attempts
            for attempt in attempts:
                if attempt.task.done():
                    attempts.remove(attempt)
                    if self._owner is attempt:
                        self._owner = None
                    return attempt
            if self._has_new_stall:
                self._has_new_stall = False
                if all(attempt.is_stalled for attempt in self._attempts):
                    return None
            self._changed.clear()
            await self._changed.wait()

    def ask_for_successor(self) -> None:
        """Ask at once whether a stalled attempt may have a successor."""
        for attempt in self._attempts:
            if attempt.is_stalled:
                attempt.expire()
                return

    def are_others_stalled(self, attempt: Attempt[TargetT, OutcomeT]) -> bool:
        """Return whether all attempts but one have stalled."""
        return all(a is attempt or a.is_stalled for a in self._attempts)

    def is_owner(self, attempt: Attempt[TargetT, OutcomeT]) -> bool:
        """Return whether an attempt owns the response."""
        return self._owner is attempt

    def record_stall(self, attempt: Attempt[TargetT, OutcomeT]) -> None:
        """Record that an attempt needs a successor."""
        self._has_new_stall = True
        self._changed.set()

    def claim_response(self, attempt: Attempt[TargetT, OutcomeT]) -> None:
        """Let an attempt own the response and end the others.

        :raises Superseded: if another one owns it and has not stalled
        """
        owner = self._owner
        if owner is not None and not owner.is_stalled:
            if owner is attempt:
                return
            raise Superseded
        self._owner = attempt
        attempt.is_stalled = False
        self._has_new_stall = False
        self._ending += [a for a in self._attempts if a is not attempt]
        self._attempts = [attempt]
        for other in self._ending:
            if other.is_stalled:
                other.abort("received no data")
            else:
                other.task.cancel()

    async def close(self) -> None:
        """End all attempts."""
        tasks = [attempt.task for attempt in self._attempts + self._ending]
        for task in tasks:
            task.cancel()
        self._attempts, self._ending = [], []
        await asyncio.gather(*tasks, return_exceptions=True)


def _ignore(reason: str) -> None:
    """Abort nothing, as nothing has been sent."""


def _do_nothing() -> None:
    """Ask nothing, as nothing has been sent."""


async def _reach_nothing() -> bool:
    """Reach nothing, as nothing has been sent."""
    return False

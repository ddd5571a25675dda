"""How long an attempt is waited for before another is made.

Where another attempt is allowed, one that gives nothing for far longer than
usual is given up; its connection is closed, so that a slow endpoint stops
working on it.

Under load every endpoint is slow, and what waits in a queue would lose its
place there for none elsewhere: an attempt is only given up once another
place would take the request at that moment, and a retry is paid for.
"""

import asyncio
from collections.abc import Callable

from burdockdrum.passthrough.fleet import Fleet
from burdockdrum.passthrough.limits import RetryBudget
from burdockdrum.passthrough.model import EndpointPlace
from burdockdrum.passthrough.model import PassedRequest
from burdockdrum.passthrough.model import Place
from burdockdrum.passthrough.model import Progress
from burdockdrum.settings import MechanismSettings

# Of the wait that was expected.
EXPECTED_TIMES = 3
# Between two parts of a stream that may go on elsewhere. Callers leave after
# two seconds or more; a step takes 27 ms at the most.
BETWEEN_PARTS_SECONDS = 1.5
# There and back to another region, twice for a connection.
HOP_EXTRA_SECONDS = 0.3
# A silent attempt that has nowhere to go is looked at again so often.
LOOK_AGAIN_SECONDS = 0.25

HasOther = Callable[[PassedRequest, Progress, Place], bool]


class SilenceWatch:
    """Give an attempt up once it has given nothing for too long."""

    def __init__(
        self,
        *,
        seconds: float,
        seconds_between: float,
        may_leave: Callable[[], bool],
        give_up: Callable[[str], None],
    ) -> None:
        """Watch from now on; a loop must be running.

        :param seconds: until the first part of the answer
        :param seconds_between: between two parts
        :param may_leave: whether there is another way at that moment
        :param give_up: ends the attempt, with the reason
        """
        self._loop = asyncio.get_running_loop()
        self._between = seconds_between
        self._may_leave = may_leave
        self._give_up = give_up
        self._limit_at = self._loop.time() + seconds
        self._timer = self._loop.call_at(self._limit_at, self._look)

    def note_part(self) -> None:
        """Take note that a part has come."""
        self._limit_at = self._loop.time() + self._between

    def stop(self) -> None:
        """Watch no longer."""
        self._timer.cancel()

    def _look(self) -> None:
        now = self._loop.time()
        next_at = self._limit_at
        if now >= self._limit_at:
            if self._may_leave():
                self._give_up("gave nothing")
                return
            next_at = now + LOOK_AGAIN_SECONDS
        self._timer = self._loop.call_at(next_at, self._look)


class Patience:
    """Say how long to wait for an attempt."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        budget: RetryBudget,
        has_other: HasOther,
        mechanisms: MechanismSettings | None = None,
    ) -> None:
        """Create it over what is usual and what is allowed.

        :param has_other: says whether another place would take a request
        :param mechanisms: the parts of the policy that are in use; all
        """
        self._mechanisms = mechanisms or MechanismSettings()
        self._fleet = fleet
        self._budget = budget
        self._has_other = has_other

    def watch(
        self,
        place: Place,
        request: PassedRequest,
        progress: Progress,
        give_up: Callable[[str], None],
    ) -> SilenceWatch | None:
        """Watch an attempt, if another one may follow it."""
        if not self._mechanisms.silence_given_up:
            return None
        if not request.may_repeat or progress.runs + 1 >= request.attempts:
            return None
        return SilenceWatch(
            seconds=self.until_first_part(place, request),
            seconds_between=BETWEEN_PARTS_SECONDS,
            may_leave=lambda: self._may_leave(place, request, progress),
            give_up=give_up,
        )

    def until_first_part(self, place: Place, request: PassedRequest) -> float:
        """Return after how many seconds an attempt counts as silent."""
        usual = self._fleet.mute_seconds(request.backend.name)
        if isinstance(place, EndpointPlace):
            wait = place.choice.wait
            expected = wait.queue + wait.own
            return max(usual, expected * EXPECTED_TIMES)
        expected = place.wait_seconds * EXPECTED_TIMES
        return max(usual, expected) + HOP_EXTRA_SECONDS

    def _may_leave(
        self, place: Place, request: PassedRequest, progress: Progress
    ) -> bool:
        if not self._has_other(request, progress, place):
            return False
        progress.has_paid_retry = self._budget.take(request.backend.name)
        return progress.has_paid_retry

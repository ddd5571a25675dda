"""Whether an endpoint answers well, by its answers alone.

A status check says little: an endpoint may pass it and fail every request,
or fail it and serve. What counts here is what became of the requests.
"""

from dataclasses import dataclass

# What one outcome counts. With a tenth, a service that fails one request in
# seven by its nature stays four standard deviations below the limit, and an
# endpoint that fails all is set aside after six; a connection that breaks
# is no answer of any service and counts double.
_FAILURE_WEIGHT = 0.1
_LOSS_WEIGHT = 0.2
SET_ASIDE_SCORE = 0.45
# First and longest time that it gets nothing; then one request tries it.
FIRST_PAUSE_SECONDS = 1.0
MAX_PAUSE_SECONDS = 8.0
# How long after a failed connect it is passed over: a restart takes seconds.
UNREACHABLE_SECONDS = 1.0


@dataclass(kw_only=True)
class EndpointHealth:
    """The recent failures of one endpoint, on the monotonic clock.

    One that is ``unreachable`` gets nothing. One that is set aside for its
    failures is used where there is no better one: a service that fails
    everywhere is not helped by having its endpoints set aside.
    ``back_since`` is when it was reached again after it had not been, None
    while it is as it always was.
    """

    score: float = 0.0
    paused_until: float = 0.0
    unreachable_until: float = 0.0
    pause: float = 0.0
    on_trial: bool = False
    was_unreachable: bool = False
    back_since: float | None = None

    def is_reachable(self, now: float) -> bool:
        """Say whether a connection may come about."""
        return now >= self.unreachable_until

    def may_have_restarted(self, now: float, cold_seconds: float) -> bool:
        """Say whether it may have started again, and be cold still.

        It may be back under the same id before its first check-in. From the
        first answer after a failed connect it counts as cold for as long as a
        start makes it so.
        """
        if not self.was_unreachable:
            return False
        since = self.back_since
        return since is None or now - since < cold_seconds

    def is_set_aside(self, now: float) -> bool:
        """Say whether others are to be used first."""
        return now < self.paused_until or self.on_trial

    def begin(self, now: float) -> None:
        """Take note of a request that is sent; one at a time on trial."""
        if self.pause and now >= self.paused_until:
            self.on_trial = True

    def note_reached(self, now: float) -> None:
        """Take note of a sign of life."""
        if self.was_unreachable and self.back_since is None:
            self.back_since = now

    def note_success(self) -> None:
        """Take note of a good answer."""
        self.score *= 1 - _FAILURE_WEIGHT
        self.on_trial = False
        if self.score < SET_ASIDE_SCORE:
            self.pause = 0.0
            self.paused_until = 0.0

    def note_failure(self, now: float) -> None:
        """Take note of a failure that the endpoint answered."""
        self._note(now, _FAILURE_WEIGHT)

    def note_loss(self, now: float) -> None:
        """Take note of an answer that was cut, wrong or never came."""
        self._note(now, _LOSS_WEIGHT)

    def note_unreachable(self, now: float) -> None:
        """Take note that no connection came about."""
        self.on_trial = False
        self.unreachable_until = now + UNREACHABLE_SECONDS
        self.was_unreachable = True
        self.back_since = None

    def note_neutral(self) -> None:
        """Take note of an end that says nothing, as when a caller left."""
        self.on_trial = False

    def _note(self, now: float, weight: float) -> None:
        self.score = self.score * (1 - weight) + weight
        self.on_trial = False
        if self.score < SET_ASIDE_SCORE:
            return
        self.pause = min(
            MAX_PAUSE_SECONDS, max(FIRST_PAUSE_SECONDS, self.pause * 2)
        )
        self.paused_until = now + self.pause
        # What it did before the pause is not held against its next try.
        self.score = SET_ASIDE_SCORE

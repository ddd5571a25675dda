"""Whether an endpoint answers well, by its answers alone.

A status check says little: an endpoint may pass it and fail every request,
or fail it and serve. What counts here is what became of the requests.
"""

from dataclasses import dataclass

# With 0.8 an endpoint is set aside after three failures in a row, or when
# over half of its answers fail for a while; one failure changes nothing.
_KEPT = 0.8
SET_ASIDE_SCORE = 0.45
# First and longest time that it gets nothing; then a trickle tries it.
FIRST_PAUSE_SECONDS = 1.0
MAX_PAUSE_SECONDS = 8.0
# How long after a failed connect it is passed over: a restart takes seconds.
UNREACHABLE_SECONDS = 1.0


@dataclass(kw_only=True)
class EndpointHealth:
    """The recent failures of one endpoint, on the monotonic clock."""

    score: float = 0.0
    paused_until: float = 0.0
    pause: float = 0.0
    on_trial: bool = False

    def is_usable(self, now: float) -> bool:
        """Say whether it may get a request."""
        return now >= self.paused_until and not self.on_trial

    def begin(self, now: float) -> None:
        """Take note of a request that is sent; one at a time on trial."""
        if self.pause and now >= self.paused_until:
            self.on_trial = True

    def note_success(self) -> None:
        """Take note of a good answer."""
        self.score *= _KEPT
        self.on_trial = False
        if self.score < SET_ASIDE_SCORE:
            self.pause = 0.0

    def note_failure(self, now: float) -> None:
        """Take note of a failed, lost or wrong answer."""
        self.score = self.score * _KEPT + (1 - _KEPT)
        self.on_trial = False
        if self.score >= SET_ASIDE_SCORE or self.pause:
            self._set_aside(now)

    def note_unreachable(self, now: float) -> None:
        """Take note that no connection came about."""
        self.on_trial = False
        self.score = max(self.score, SET_ASIDE_SCORE)
        self.paused_until = max(self.paused_until, now + UNREACHABLE_SECONDS)
        self.pause = max(self.pause, UNREACHABLE_SECONDS)

    def note_neutral(self) -> None:
        """Take note of an end that says nothing, as when a caller left."""
        self.on_trial = False

    def _set_aside(self, now: float) -> None:
        self.pause = min(
            MAX_PAUSE_SECONDS, max(FIRST_PAUSE_SECONDS, self.pause * 2)
        )
        self.paused_until = now + self.pause
        # What it did before the pause is not held against its next try.
        self.score = SET_ASIDE_SCORE

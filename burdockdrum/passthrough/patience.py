"""How long an attempt is waited for before another is made.

Failure: an endpoint goes dark with requests on its connections. Symptom: a
request that could run elsewhere in a few milliseconds waits for its
deadline. Where another attempt is allowed, one that gives nothing for far
longer than usual is given up; its connection is closed, so that a slow
endpoint stops working on it.
"""

from burdockdrum.passthrough.fleet import Fleet
from burdockdrum.passthrough.limits import RetryBudget
from burdockdrum.passthrough.model import EndpointPlace
from burdockdrum.passthrough.model import PassedRequest
from burdockdrum.passthrough.model import Place
from burdockdrum.passthrough.model import Progress

# Of the wait that was expected.
EXPECTED_TIMES = 3
# Between two parts of a stream that may go on elsewhere. Callers leave after
# two seconds or more; a step takes 27 ms at the most.
BETWEEN_PARTS_SECONDS = 1.5
# There and back to another region, twice for a connection.
HOP_EXTRA_SECONDS = 0.3


class Patience:
    """Say how long to wait for an attempt."""

    def __init__(self, *, fleet: Fleet, budget: RetryBudget) -> None:
        """Create it over what is usual and what is allowed."""
        self._fleet = fleet
        self._budget = budget

    def until_first_part(
        self, place: Place, request: PassedRequest, progress: Progress
    ) -> float | None:
        """Return the seconds until an attempt is given up, None for never."""
        if not self._may_try_again(request, progress):
            return None
        service = request.backend.name
        usual = self._fleet.mute_seconds(service)
        if isinstance(place, EndpointPlace):
            wait = place.choice.wait
            expected = wait.queue + wait.own
            return max(usual, expected * EXPECTED_TIMES)
        expected = place.wait_seconds * EXPECTED_TIMES
        return max(usual, expected) + HOP_EXTRA_SECONDS

    def between_parts(
        self, request: PassedRequest, progress: Progress
    ) -> float | None:
        """Return the seconds between two parts, None for any time."""
        if not self._may_try_again(request, progress):
            return None
        return BETWEEN_PARTS_SECONDS

    def _may_try_again(
        self, request: PassedRequest, progress: Progress
    ) -> bool:
        return (
            request.may_repeat
            and progress.runs + 1 < request.attempts
            and self._budget.has(request.backend.name)
        )

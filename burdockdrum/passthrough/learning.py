"""Learn from the requests of this entry how long things take."""

from burdockdrum.passthrough.engines import Engines
from burdockdrum.passthrough.estimate_errors import EstimateErrors
from burdockdrum.passthrough.tracks import Placement
from burdockdrum.resources import Backend

# Before a request of a service has been timed.
FIRST_RUN_SECONDS = 0.5
# What an average keeps with each new time: it follows the last twenty or so.
_KEPT = 0.95
# A first part tells how fast an endpoint reads if no more than this part of
# its prompt's tokens was before it.
ALONE_PART = 0.1
# No first part comes sooner: what seems to is a clock that stands.
MIN_FIRST_SECONDS = 0.001


class Learning:
    """What is learned of runs, of reading, writing and fetching."""

    def __init__(self, *, engines: Engines) -> None:
        """Have learned nothing yet.

        :param engines: is told how fast engines read, write and fetch
        """
        self._engines = engines
        self._run_seconds_by_service: dict[str, float] = {}
        self._errors_by_service: dict[str, EstimateErrors] = {}

    def errors_of(self, service: str) -> EstimateErrors:
        """Return how far the estimates of a service were wrong."""
        return self._errors_by_service.setdefault(service, EstimateErrors())

    def run_seconds(self, service: str) -> float:
        """Return how long a request of a service takes, on average."""
        return self._run_seconds_by_service.get(service, FIRST_RUN_SECONDS)

    def note_run(self, service: str, seconds: float) -> None:
        """Take note of how long a request has held a slot."""
        known = self.run_seconds(service)
        self._run_seconds_by_service[service] = known * _KEPT + seconds * (
            1 - _KEPT
        )

    def note_first_part(self, placement: Placement, now: float) -> None:
        """Take note of the first output of a request."""
        choice = placement.choice
        wait = choice.wait
        self.errors_of(choice.endpoint.service).note(
            placement.rank,
            choice.busy,
            now - placement.began_at - wait.queue - wait.own,
        )
        unread = choice.unread_tokens
        if choice.ahead_tokens > unread * ALONE_PART:
            return
        service = choice.endpoint.service
        seconds = max(MIN_FIRST_SECONDS, now - placement.began_at)
        if choice.fetch is None:
            self._engines.note_first_part(
                service,
                choice.endpoint.endpoint_id,
                placement.prompt,
                unread,
                seconds,
            )
            return
        fetching = self._engines.fetch_seconds(service, choice.fetch)
        rest = wait.own - fetching
        self._engines.note_fetch(
            service,
            choice.fetch,
            max(MIN_FIRST_SECONDS, seconds - rest),
        )

    def note_whole(
        self, placement: Placement, backend: Backend, now: float
    ) -> None:
        """Take note of a request that was answered to its end."""
        # What it waited in the endpoint's queue held no slot.
        began = placement.began_at
        if placement.read_at is not None:
            began = max(began, placement.read_at - placement.choice.wait.own)
        self.note_run(placement.endpoint.service, now - began)
        self._note_writing(placement, backend)

    def _note_writing(self, placement: Placement, backend: Backend) -> None:
        first, last = placement.read_at, placement.last_at
        engine = backend.engine
        if engine is None or first is None or last is None:
            return
        tokens = (placement.parts - 1) * engine.tokens_an_event
        if tokens > 0 and last > first:
            self._engines.note_writing(
                placement.endpoint.service,
                (last - first) / tokens,
                placement.choice.busy,
            )

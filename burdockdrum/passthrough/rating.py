"""Rate an endpoint for a request."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from burdockdrum.passthrough.beginnings import Beginning
from burdockdrum.passthrough.beginnings import Fetch
from burdockdrum.passthrough.beginnings import link_seconds
from burdockdrum.passthrough.engines import Engines
from burdockdrum.passthrough.estimate_errors import EstimateErrors
from burdockdrum.passthrough.prompts import Prompt
from burdockdrum.passthrough.tracks import Choice
from burdockdrum.passthrough.tracks import Track
from burdockdrum.passthrough.waiting import estimate_queue
from burdockdrum.passthrough.waiting import preemption_seconds
from burdockdrum.passthrough.waiting import RECENT_SECONDS
from burdockdrum.passthrough.waiting import Wait
from burdockdrum.passthrough.waiting import writing_risk
from burdockdrum.registrations import Load
from burdockdrum.registrations import RegisteredEndpoint
from burdockdrum.resources import Backend
from burdockdrum.resources import Route
from burdockdrum.settings import MechanismSettings

# What an endpoint must be better by than the one that a beginning belongs
# to, while nobody is known to hold it: entries that don't know of each
# other's choice make the same one, and it is read once and not several times.
HOME_SECONDS = 0.1
# How many times as long a transfer takes between data centres.
FAR_TIMES = 2.0
_BYTES_A_MEGABYTE = 1_000_000
# The headers of a request and of its answer, and a short body of the latter.
EXCHANGE_BYTES = 2000
# A silent endpoint is tried where no other one is as good by far.
SILENT_PENALTY_SECONDS = 1.0
# So is one that fails: another region is nearer than that.
SET_ASIDE_PENALTY_SECONDS = 1.0


@dataclass(frozen=True, kw_only=True)
class Wanted:
    """What an endpoint is wanted for.

    ``seconds_left`` is how long the caller will wait, ``run_seconds`` what a
    request of the service takes. ``body_bytes`` are sent to the endpoint.
    Most endpoints hold the same of a prompt, or nothing: what is worked out
    for one is kept in ``reading_seconds_by_unread``.
    """

    route: Route
    backend: Backend
    prompt: Prompt
    seconds_left: float
    beginning: Beginning
    run_seconds: float
    errors: EstimateErrors
    body_bytes: int = 0
    reading_seconds_by_unread: dict[int, float] = field(default_factory=dict)


class Rater:
    """Estimate a request's wait at an endpoint by what is known of it."""

    def __init__(
        self,
        *,
        engines: Engines,
        read_load: Callable[[str], Load],
        read_unheard: Callable[[], int],
        read_region: Callable[[str], str | None],
        mechanisms: MechanismSettings,
        data_centre: str | None = None,
        crossing_seconds: float = 0.0,
    ) -> None:
        """Create it.

        :param read_load: returns what other entries have at an endpoint
        :param read_unheard: returns how many entries tell nothing
        :param read_region: returns the region of a data centre
        :param data_centre: where this entry is, None if it doesn't matter
        :param crossing_seconds: how much sooner an answer must come for each
            megabyte that is sent to another data centre
        """
        self._data_centre = data_centre
        self._crossing_seconds = crossing_seconds
        self._engines = engines
        self._read_load = read_load
        self._read_unheard = read_unheard
        self._read_region = read_region
        self._mechanisms = mechanisms

    def rate(
        self,
        endpoint: RegisteredEndpoint,
        track: Track,
        wanted: Wanted,
        held_tokens: int,
        now: float,
        *,
        is_doubtful: bool,
    ) -> Choice:
        """Return what a request would meet at an endpoint.

        :param held_tokens: what the endpoint holds of the prompt
        :param is_doubtful: whether its answers fail or fail to come
        """
        load = self._load(endpoint, track, now)
        fetch = self._find_fetch(endpoint, wanted, held_tokens)
        unread = wanted.prompt.tokens - held_tokens
        if fetch is not None:
            unread -= fetch.tokens
        pace = self._pace(wanted.backend.name, endpoint, load)
        return Choice(
            endpoint=endpoint,
            wait=Wait(
                queue=self._queue(endpoint, load, wanted),
                own=self._own(endpoint, wanted, unread, fetch),
                penalty=self._penalty(endpoint, wanted, is_doubtful)
                + self._preemption(endpoint, load, wanted)
                + self._writing_risk(wanted, pace)
                + self._crossing(endpoint, wanted),
                usual_error=self._usual_error(wanted, pace),
            ),
            unread_tokens=unread,
            fetch=fetch,
            pace=pace,
            ahead_tokens=load.unread_tokens,
            busy=min(1.0, pace),
        )

    def _load(
        self, endpoint: RegisteredEndpoint, track: Track, now: float
    ) -> Load:
        token_seconds = self._engines.token_seconds(endpoint.service)
        load = track.load(
            now,
            token_seconds,
            counts_progress=self._mechanisms.reading_progress,
        )
        if not self._mechanisms.shared_loads:
            return load
        unheard = self._read_unheard()
        if unheard:
            load = load.times(unheard + 1)
        load.merge(self._read_load(endpoint.endpoint_id))
        return load

    def _queue(
        self, endpoint: RegisteredEndpoint, load: Load, wanted: Wanted
    ) -> float:
        service = wanted.backend.name
        factor = self._engines.factor(service, endpoint.endpoint_id)
        queue = estimate_queue(
            load,
            rank=wanted.route.rank,
            slots=endpoint.slots,
            run_seconds=wanted.run_seconds,
            token_seconds=self._engines.token_seconds(service),
            counts_coming=self._mechanisms.urgent_share,
        )
        # Between endpoints with room the emptier one answers sooner.
        filled = load.requests / endpoint.slots
        return queue * factor + filled * wanted.run_seconds / endpoint.slots

    def _own(
        self,
        endpoint: RegisteredEndpoint,
        wanted: Wanted,
        unread: int,
        fetch: Fetch | None,
    ) -> float:
        backend = wanted.backend
        if backend.engine is None:
            return 0.0
        engines = self._engines
        reading = self._reading_seconds(wanted, unread)
        reading += engines.first_seconds(backend.name)
        factor = engines.factor(backend.name, endpoint.endpoint_id)
        fetching = engines.fetch_seconds(backend.name, fetch)
        return reading * factor + fetching

    def _reading_seconds(self, wanted: Wanted, unread: int) -> float:
        known = wanted.reading_seconds_by_unread.get(unread)
        if known is None:
            known = self._engines.reading_seconds(
                wanted.backend.name, wanted.prompt, unread
            )
            wanted.reading_seconds_by_unread[unread] = known
        return known

    def reading_tokens(self, wanted: Wanted, unread: int) -> float:
        """Return what reading a prompt counts in an endpoint's load.

        Pairs of tokens add to the time of a long prompt; this counts them as
        tokens that take as long.
        """
        service = wanted.backend.name
        if wanted.backend.engine is None:
            return 0.0
        if not self._mechanisms.long_prompt_cost:
            return float(unread)
        seconds = self._reading_seconds(wanted, unread)
        return seconds / self._engines.token_seconds(service)

    def _find_fetch(
        self, endpoint: RegisteredEndpoint, wanted: Wanted, held_tokens: int
    ) -> Fetch | None:
        """Return what an endpoint should fetch of a prompt, if anything."""
        holder = wanted.beginning.holder
        tokens = wanted.beginning.fetchable(endpoint.endpoint_id, held_tokens)
        if holder is None or not tokens:
            return None
        seconds = link_seconds(wanted.backend, tokens)
        if holder.data_centre != endpoint.data_centre:
            seconds *= FAR_TIMES
        here, there = endpoint.data_centre, holder.data_centre
        return Fetch(
            address=holder.address,
            tokens=tokens,
            link_seconds=seconds,
            is_far=self._read_region(here) != self._read_region(there),
        )

    def _pace(
        self, service: str, endpoint: RegisteredEndpoint, load: Load
    ) -> float:
        """Return how much reading is sent to an endpoint in a second."""
        seconds = load.recent_tokens * self._engines.token_seconds(service)
        factor = self._engines.factor(service, endpoint.endpoint_id)
        return seconds * factor / RECENT_SECONDS

    def _writing_risk(self, wanted: Wanted, busy: float) -> float:
        is_on = self._mechanisms.writing_risk
        if wanted.backend.engine is None or not is_on:
            return 0.0
        step = self._engines.step_seconds(wanted.backend.name, busy)
        return writing_risk(wanted.prompt, step, wanted.seconds_left)

    def _preemption(
        self, endpoint: RegisteredEndpoint, load: Load, wanted: Wanted
    ) -> float:
        if wanted.backend.engine is None or not self._mechanisms.full_slots:
            return 0.0
        return preemption_seconds(
            load,
            rank=wanted.route.rank,
            slots=endpoint.slots,
            run_seconds=wanted.run_seconds,
        )

    def _usual_error(self, wanted: Wanted, busy: float) -> float:
        if wanted.backend.engine is None or not self._mechanisms.late_parts:
            return 0.0
        return wanted.errors.expect(wanted.route.rank, busy)

    def _crossing(self, endpoint: RegisteredEndpoint, wanted: Wanted) -> float:
        """Return what an endpoint is worse by for being farther away.

        The endpoint beside is better while it answers about as soon: what
        crosses is paid for.
        """
        if self._data_centre in (None, endpoint.data_centre):
            return 0.0
        return crossing_seconds(wanted.body_bytes, self._crossing_seconds)

    def _penalty(
        self, endpoint: RegisteredEndpoint, wanted: Wanted, is_doubtful: bool
    ) -> float:
        penalty = 0.0
        if endpoint.silent:
            penalty += SILENT_PENALTY_SECONDS
        if is_doubtful:
            penalty += SET_ASIDE_PENALTY_SECONDS
        if wanted.beginning.home_id not in (None, endpoint.endpoint_id):
            penalty += HOME_SECONDS
        return penalty


def crossing_seconds(body_bytes: int, seconds_a_megabyte: float) -> float:
    """Return how much sooner an answer from elsewhere must come."""
    sent = body_bytes + EXCHANGE_BYTES
    return sent / _BYTES_A_MEGABYTE * seconds_a_megabyte

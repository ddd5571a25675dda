"""Choose an endpoint of this region for a request."""

from collections.abc import Callable
from dataclasses import replace
import random

from burdockdrum.holdings import HoldingsLedger
from burdockdrum.passthrough.engines import Engines
from burdockdrum.passthrough.finding import BeginningFinder
from burdockdrum.passthrough.health import EndpointHealth
from burdockdrum.passthrough.learning import Learning
from burdockdrum.passthrough.limits import ColdGate
from burdockdrum.passthrough.prompts import Prompt
from burdockdrum.passthrough.rating import Rater
from burdockdrum.passthrough.rating import Wanted
from burdockdrum.passthrough.stale import draw
from burdockdrum.passthrough.stale import find_level
from burdockdrum.passthrough.tracks import Choice
from burdockdrum.passthrough.tracks import Placement
from burdockdrum.passthrough.tracks import Track
from burdockdrum.passthrough.warmth import Warmth
from burdockdrum.ports import Clock
from burdockdrum.registrations import Load
from burdockdrum.registrations import RankLoad
from burdockdrum.registrations import RegisteredEndpoint
from burdockdrum.registrations import UNKNOWN_START
from burdockdrum.resources import Backend
from burdockdrum.resources import Route
from burdockdrum.settings import MechanismSettings

# An endpoint with work gives something within so many usual runs, and at
# the latest within the time that it takes to read the longest prompt.
MUTE_RUNS = 8
MIN_MUTE_SECONDS = 0.4
MAX_MUTE_SECONDS = 1.5
# Estimates that differ by less are as good as the same: the work that is
# taken to come at least, so that equal endpoints take turns.
TIE_SECONDS = 0.002


class Fleet:
    """The endpoints of this region, and what this entry has there."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        read_endpoints: Callable[[], dict[str, RegisteredEndpoint]],
        read_load: Callable[[str], Load],
        read_unheard: Callable[[], int] = int,
        read_lag: Callable[[], float] = float,
        drop_endpoint: Callable[[str], None] = lambda endpoint_id: None,
        ledger: HoldingsLedger | None = None,
        note_shared: Callable[[str], None] = lambda part_id: None,
        read_region: Callable[[str], str | None] = lambda name: None,
        mechanisms: MechanismSettings | None = None,
        data_centre: str | None = None,
        crossing_seconds: float = 0.0,
    ) -> None:
        """Create a fleet.

        :param read_endpoints: returns the registered endpoints by id
        :param read_load: returns what other entries have at an endpoint
        :param read_unheard: returns how many entries tell nothing
        :param read_lag: returns how many seconds ago the others were heard
        :param drop_endpoint: forgets an endpoint, by its id
        :param ledger: what endpoints have said that they hold
        :param note_shared: is told of parts that prompts share
        :param read_region: returns the region of a data centre
        :param mechanisms: the parts of the policy that are in use; all
        :param data_centre: where this entry is
        :param crossing_seconds: what a megabyte to another data centre
            counts against seconds of waiting
        """
        self._mechanisms = mechanisms or MechanismSettings()
        self.entries = 1
        self.warmth = Warmth(
            read_now=clock.monotonic, ledger=ledger, note_shared=note_shared
        )
        self.engines = Engines(mechanisms=self._mechanisms)
        self._learning = Learning(engines=self.engines)
        self.beginnings = BeginningFinder(
            warmth=self.warmth,
            engines=self.engines,
            list_sources=self._list_sources,
            read_region=read_region,
            read_lag=read_lag,
            mechanisms=self._mechanisms,
        )
        self._clock = clock
        self._rng = rng
        self._read_endpoints = read_endpoints
        self._rater = Rater(
            engines=self.engines,
            read_load=read_load,
            read_unheard=read_unheard,
            read_region=read_region,
            mechanisms=self._mechanisms,
            data_centre=data_centre,
            crossing_seconds=crossing_seconds,
        )
        self._data_centre = data_centre
        self._prefers_near = crossing_seconds > 0
        self._read_lag = read_lag
        self._drop_endpoint = drop_endpoint
        self._tracks_by_id: dict[str, Track] = {}
        self._cold_gate = ColdGate(clock=clock, rng=rng)

    def choose(
        self,
        *,
        route: Route,
        backend: Backend,
        prompt: Prompt,
        seconds_left: float,
        tried: frozenset[str],
        closed_data_centres: frozenset[str],
        body_bytes: int = 0,
    ) -> Choice | None:
        """Return the endpoint that should answer first, None if none may.

        :param seconds_left: until the caller's deadline
        :param tried: ids of endpoints that are not to be chosen again
        :param closed_data_centres: whose endpoints get no new work
        :param body_bytes: what is sent with it
        """
        candidates = [
            endpoint
            for endpoint in self._live(backend.name)
            if endpoint.endpoint_id not in tried
            and endpoint.data_centre not in closed_data_centres
            and self._may_take(endpoint, backend)
        ]
        if not candidates:
            return None
        wanted = Wanted(
            route=route,
            backend=backend,
            prompt=prompt,
            seconds_left=seconds_left,
            beginning=self.beginnings.find(
                backend, prompt, candidates, route.homes
            ),
            run_seconds=self.run_seconds(backend.name),
            errors=self._learning.errors_of(backend.name),
            body_bytes=body_bytes,
        )
        choices = [self._rate(endpoint, wanted) for endpoint in candidates]
        pace = sum(choice.pace for choice in choices)
        coming = TIE_SECONDS
        if self._mechanisms.stale_spread:
            coming = max(pace * self._read_lag(), TIE_SECONDS)
        if self._prefers_near:
            choices = self._keep_near(choices, coming)
        waits = [choice.wait.total for choice in choices]
        chosen = choices[draw(waits, coming, self._rng)]
        reading_tokens = self._rater.reading_tokens(
            wanted, chosen.unread_tokens
        )
        return replace(chosen, reading_tokens=reading_tokens)

    def _keep_near(self, choices: list[Choice], coming: float) -> list[Choice]:
        """Leave out what is farther away, where something near will do.

        An endpoint of this data centre that would get some of what comes gets
        it all: crossings between data centres are paid for.

        :param coming: seconds of work that come until loads are heard again
        """
        waits = [choice.wait.total for choice in choices]
        level = find_level(waits, coming)
        near = [
            choice
            for choice in choices
            if choice.endpoint.data_centre == self._data_centre
            and choice.wait.total < level
        ]
        return near or choices

    def count_live(self, service: str) -> int:
        """Return how many endpoints of a service take work here."""
        return sum(1 for _ in self._live(service))

    def begin(
        self, choice: Choice, backend: Backend, prompt: Prompt, rank: int
    ) -> Placement:
        """Count a request that is sent to an endpoint."""
        endpoint = choice.endpoint
        now = self._clock.monotonic()
        track = self._track(endpoint)
        track.add_recent(now, rank, choice.reading_tokens)
        track.health.begin(now)
        if not track.placements:
            track.silent_since = now
        if backend.engine is not None:
            memory = backend.engine.memory_tokens
            self.warmth.note_sent(endpoint.endpoint_id, prompt, memory)
        if self._is_cold(endpoint, backend):
            self._cold_gate.pass_one(
                endpoint.endpoint_id,
                backend.cold_requests_per_second,
                self.entries,
            )
        placement = Placement(
            choice=choice,
            prompt=prompt,
            rank=rank,
            began_at=now,
        )
        track.placements.add(placement)
        return placement

    def note_output(self, placement: Placement) -> None:
        """Take note that something came, for the first time or again."""
        now = self._clock.monotonic()
        track = self._tracks_by_id.get(placement.endpoint.endpoint_id)
        if track is not None:
            track.silent_since = now
        placement.last_at = now
        placement.parts += 1
        if placement.read_at is None:
            placement.read_at = now
            if track is not None:
                track.first_at = now
            self._learning.note_first_part(placement, now)

    def end(
        self, placement: Placement, backend: Backend, *, whole: bool
    ) -> None:
        """Take note that nothing is under way any more."""
        now = self._clock.monotonic()
        if whole:
            self._learning.note_whole(placement, backend, now)
        track = self._tracks_by_id.get(placement.endpoint.endpoint_id)
        if track is not None:
            track.placements.discard(placement)
            if whole:
                track.silent_since = now

    def drop(self, endpoint: RegisteredEndpoint) -> None:
        """Forget a start of an endpoint that another has taken the place of.

        Its own end may never be told; each request sent to it is refused,
        and counts as one more that was sent.
        """
        self._drop_endpoint(endpoint.endpoint_id)

    def health_of(self, endpoint: RegisteredEndpoint) -> EndpointHealth:
        """Return what became of the requests at an endpoint."""
        track = self._tracks_by_id.get(endpoint.endpoint_id)
        return track.health if track is not None else EndpointHealth()

    def note_run(self, service: str, seconds: float) -> None:
        """Take note of how long a request has held a slot elsewhere."""
        self._learning.note_run(service, seconds)

    def expect_error(self, service: str, rank: int, busy: float) -> float:
        """Return how much later than estimated a first part will come."""
        if not self._mechanisms.late_parts:
            return 0.0
        return self._learning.errors_of(service).expect(rank, busy)

    def run_seconds(self, service: str) -> float:
        """Return how long a request of a service takes, on average."""
        return self._learning.run_seconds(service)

    def read_own_load(self) -> dict[str, list[RankLoad]]:
        """Return what this entry has under way, by endpoint."""
        now = self._clock.monotonic()
        ranks_by_id = {}
        for endpoint_id, track in self._tracks_by_id.items():
            token_seconds = self.engines.token_seconds(track.service)
            load = track.load(
                now,
                token_seconds,
                counts_progress=self._mechanisms.reading_progress,
            )
            ranks = load.ranks()
            if ranks:
                ranks_by_id[endpoint_id] = ranks
        return ranks_by_id

    def forget_ended(self) -> None:
        """Drop what is known of endpoints that are gone."""
        live = self._read_endpoints()
        for endpoint_id, track in list(self._tracks_by_id.items()):
            if endpoint_id not in live and not track.placements:
                del self._tracks_by_id[endpoint_id]
                self.engines.forget(endpoint_id)
        self.warmth.keep_only(live)

    def _live(self, service: str) -> list[RegisteredEndpoint]:
        now = self._clock.monotonic()
        return [
            endpoint
            for endpoint in self._read_endpoints().values()
            if endpoint.service == service
            and not endpoint.leaving
            and (endpoint.ends_at is None or endpoint.ends_at > now)
        ]

    def _may_take(
        self, endpoint: RegisteredEndpoint, backend: Backend
    ) -> bool:
        now = self._clock.monotonic()
        track = self._tracks_by_id.get(endpoint.endpoint_id)
        if track is not None and not track.health.is_reachable(now):
            return False
        if self._is_cold(endpoint, backend):
            return self._cold_gate.is_open(
                endpoint.endpoint_id,
                backend.cold_requests_per_second,
                self.entries,
            )
        return True

    def _is_cold(self, endpoint: RegisteredEndpoint, backend: Backend) -> bool:
        now = self._clock.monotonic()
        if endpoint.cold_until > now:
            return True
        if endpoint.born == UNKNOWN_START or not backend.cold_seconds:
            # Another start has another id, and refuses what is for this one.
            return False
        health = self.health_of(endpoint)
        return health.may_have_restarted(now, backend.cold_seconds)

    def _list_sources(self, service: str) -> list[RegisteredEndpoint]:
        """Return the endpoints here that others may fetch from."""
        return [e for e in self._live(service) if self._answers(e)]

    def _answers(self, endpoint: RegisteredEndpoint) -> bool:
        """Say whether others may fetch from an endpoint, as seen here."""
        track = self._tracks_by_id.get(endpoint.endpoint_id)
        if endpoint.silent or track is None:
            return not endpoint.silent
        now = self._clock.monotonic()
        is_reachable = track.health.is_reachable(now)
        return is_reachable and not self._is_doubtful(track, endpoint, now)

    def _rate(self, endpoint: RegisteredEndpoint, wanted: Wanted) -> Choice:
        now = self._clock.monotonic()
        track = self._track(endpoint)
        return self._rater.rate(
            endpoint,
            track,
            wanted,
            self.warmth.held_tokens(endpoint.endpoint_id, wanted.prompt),
            now,
            is_doubtful=self._is_doubtful(track, endpoint, now),
        )

    def _is_doubtful(
        self, track: Track, endpoint: RegisteredEndpoint, now: float
    ) -> bool:
        if self._mechanisms.failing_set_aside and track.health.is_set_aside(
            now
        ):
            return True
        return self._mechanisms.mute_avoided and self._is_mute(track, endpoint)

    def _is_mute(self, track: Track, endpoint: RegisteredEndpoint) -> bool:
        """Say whether an endpoint has work and gives nothing.

        Its connections may take requests for seconds after it has lost its
        power, until the kernel ends them.
        """
        if not track.placements:
            return False
        silence = self._clock.monotonic() - track.silent_since
        return silence > self.mute_seconds(endpoint.service)

    def mute_seconds(self, service: str) -> float:
        """Return how long an endpoint with work may give nothing."""
        usual = self.run_seconds(service) * MUTE_RUNS
        return min(MAX_MUTE_SECONDS, max(MIN_MUTE_SECONDS, usual))

    def _track(self, endpoint: RegisteredEndpoint) -> Track:
        return self._tracks_by_id.setdefault(
            endpoint.endpoint_id, Track(service=endpoint.service)
        )

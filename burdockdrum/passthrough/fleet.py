"""Choose an endpoint of this region for a request."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import random

from burdockdrum.passthrough.health import EndpointHealth
from burdockdrum.passthrough.limits import ColdGate
from burdockdrum.passthrough.prompts import Prompt
from burdockdrum.passthrough.warmth import HeldParts
from burdockdrum.passthrough.warmth import rank_by_hash
from burdockdrum.ports import Clock
from burdockdrum.registrations import EndpointLoad
from burdockdrum.registrations import RegisteredEndpoint
from burdockdrum.registrations.messages import Load
from burdockdrum.resources import Backend

# A mid-size model on one server reads some 80 tokens of prompt a
# millisecond; the estimate only ranks endpoints and prices waiting.
PREFILL_TOKENS_A_SECOND = 80_000.0
# Before a request of a service has been timed.
FIRST_RUN_SECONDS = 0.5
_KEPT = 0.9
# Of the endpoints of a region so many are meant for a shared beginning: one
# would be a hot spot, and more read it more often than they use it.
HOMES_OF_A_PART = 2
# What a hash alone is worth: the part may have been sent there by others.
HOPED_PART = 0.5
# Estimates that differ by less are as good as the same.
TIE_SECONDS = 0.002
# A silent endpoint is tried where no other one is as good by far.
SILENT_PENALTY_SECONDS = 1.0


@dataclass(kw_only=True)
class _Track:
    """What this entry knows of an endpoint beside its registration."""

    held: HeldParts
    health: EndpointHealth = field(default_factory=EndpointHealth)
    requests: int = 0
    tokens: int = 0


@dataclass(frozen=True, kw_only=True)
class Choice:
    """An endpoint, and when its first output is to be expected."""

    endpoint: RegisteredEndpoint
    wait_seconds: float
    unread_tokens: int


@dataclass(kw_only=True)
class Placement:
    """A request under way at an endpoint."""

    endpoint: RegisteredEndpoint
    unread_tokens: int
    began_at: float
    reading: bool = True


class Fleet:
    """The endpoints of this region, and what this entry has there."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        read_endpoints: Callable[[], dict[str, RegisteredEndpoint]],
        read_load: Callable[[str], EndpointLoad],
    ) -> None:
        """Create a fleet.

        :param read_endpoints: returns the registered endpoints by id
        :param read_load: returns what other entries have at an endpoint
        """
        self.entries = 1
        self._clock = clock
        self._rng = rng
        self._read_endpoints = read_endpoints
        self._read_load = read_load
        self._tracks_by_id: dict[str, _Track] = {}
        self._run_seconds_by_service: dict[str, float] = {}
        self._cold_gate = ColdGate(clock=clock)

    def choose(
        self,
        *,
        backend: Backend,
        prompt: Prompt,
        tried: frozenset[str],
        closed_data_centres: frozenset[str],
    ) -> Choice | None:
        """Return the endpoint that should answer first, None if none may.

        :param tried: ids of endpoints that are not to be chosen again
        :param closed_data_centres: whose endpoints get no new work
        """
        candidates = [
            endpoint
            for endpoint in self._live(backend.name)
            if endpoint.endpoint_id not in tried
            and endpoint.data_centre not in closed_data_centres
            and self._may_take(endpoint)
        ]
        if not candidates:
            return None
        homes = self._homes(prompt, candidates)
        choices = [self._rate(e, backend, prompt, homes) for e in candidates]
        best = min(choice.wait_seconds for choice in choices)
        near = [c for c in choices if c.wait_seconds <= best + TIE_SECONDS]
        return self._rng.choice(near)

    def count_live(self, service: str) -> int:
        """Return how many endpoints of a service take work here."""
        return sum(1 for _ in self._live(service))

    def begin(
        self, choice: Choice, backend: Backend, prompt: Prompt
    ) -> Placement:
        """Count a request that is sent to an endpoint."""
        endpoint = choice.endpoint
        now = self._clock.monotonic()
        track = self._track(endpoint, backend)
        track.requests += 1
        track.tokens += choice.unread_tokens
        track.health.begin(now)
        track.held.note(prompt)
        if endpoint.cold_until > now:
            self._cold_gate.pass_one(
                endpoint.endpoint_id,
                backend.cold_requests_per_second,
                self.entries,
            )
        return Placement(
            endpoint=endpoint,
            unread_tokens=choice.unread_tokens,
            began_at=now,
        )

    def note_output(self, placement: Placement) -> None:
        """Take note that a prompt has been read."""
        track = self._tracks_by_id.get(placement.endpoint.endpoint_id)
        if placement.reading and track is not None:
            track.tokens -= placement.unread_tokens
        placement.reading = False

    def end(self, placement: Placement, *, whole: bool) -> None:
        """Take note that nothing is under way any more."""
        self.note_output(placement)
        endpoint = placement.endpoint
        track = self._tracks_by_id.get(endpoint.endpoint_id)
        if track is not None:
            track.requests -= 1
        if whole:
            seconds = self._clock.monotonic() - placement.began_at
            known = self.run_seconds(endpoint.service)
            self._run_seconds_by_service[endpoint.service] = (
                known * _KEPT + seconds * (1 - _KEPT)
            )

    def health_of(self, endpoint: RegisteredEndpoint) -> EndpointHealth:
        """Return what became of the requests at an endpoint."""
        track = self._tracks_by_id.get(endpoint.endpoint_id)
        return track.health if track is not None else EndpointHealth()

    def run_seconds(self, service: str) -> float:
        """Return how long a request of a service takes, on average."""
        return self._run_seconds_by_service.get(service, FIRST_RUN_SECONDS)

    def read_own_load(self) -> dict[str, Load]:
        """Return what this entry has under way, by endpoint."""
        return {
            endpoint_id: Load(track.requests, track.tokens)
            for endpoint_id, track in self._tracks_by_id.items()
            if track.requests
        }

    def forget_ended(self) -> None:
        """Drop what is known of endpoints that are gone."""
        live = self._read_endpoints()
        for endpoint_id, track in list(self._tracks_by_id.items()):
            if endpoint_id not in live and not track.requests:
                del self._tracks_by_id[endpoint_id]

    def _live(self, service: str) -> list[RegisteredEndpoint]:
        now = self._clock.monotonic()
        return [
            endpoint
            for endpoint in self._read_endpoints().values()
            if endpoint.service == service
            and not endpoint.leaving
            and (endpoint.ends_at is None or endpoint.ends_at > now)
        ]

    def _may_take(self, endpoint: RegisteredEndpoint) -> bool:
        now = self._clock.monotonic()
        track = self._tracks_by_id.get(endpoint.endpoint_id)
        if track is not None and not track.health.is_usable(now):
            return False
        if endpoint.cold_until > now:
            return self._cold_gate.is_open(endpoint.endpoint_id)
        return True

    def _homes(
        self, prompt: Prompt, candidates: list[RegisteredEndpoint]
    ) -> frozenset[str]:
        key = prompt.affinity_key
        if key is None:
            return frozenset()
        ids = [endpoint.endpoint_id for endpoint in candidates]
        ids.sort(key=lambda name: rank_by_hash(key, name))
        return frozenset(ids[:HOMES_OF_A_PART])

    def _rate(
        self,
        endpoint: RegisteredEndpoint,
        backend: Backend,
        prompt: Prompt,
        homes: frozenset[str],
    ) -> Choice:
        track = self._track(endpoint, backend)
        others = self._read_load(endpoint.endpoint_id)
        requests = track.requests + others.requests
        unread = prompt.tokens - track.held.held_tokens(prompt)
        if endpoint.endpoint_id in homes:
            shared = sum(part.tokens for part in prompt.parts[:-1])
            hoped = prompt.tokens - int(shared * HOPED_PART)
            unread = min(unread, hoped)
        waiting_tokens = track.tokens + others.tokens + unread
        wait = waiting_tokens / PREFILL_TOKENS_A_SECOND
        run_seconds = self.run_seconds(backend.name)
        over = requests + 1 - endpoint.slots
        if over > 0:
            wait += over / endpoint.slots * run_seconds
        # Between endpoints with room the emptier one answers sooner.
        wait += requests / endpoint.slots * run_seconds / endpoint.slots
        if endpoint.silent:
            wait += SILENT_PENALTY_SECONDS
        return Choice(
            endpoint=endpoint, wait_seconds=wait, unread_tokens=unread
        )

    def _track(self, endpoint: RegisteredEndpoint, backend: Backend) -> _Track:
        track = self._tracks_by_id.get(endpoint.endpoint_id)
        if track is None:
            memory = backend.engine.memory_tokens if backend.engine else 0
            track = _Track(held=HeldParts(memory_tokens=memory))
            self._tracks_by_id[endpoint.endpoint_id] = track
        return track

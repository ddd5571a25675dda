"""Fakes and builders shared by the tests of request proxying."""

import random

from burdockdrum.holdings import PrefixCacheTable
from burdockdrum.passthrough.selection.fleet import Fleet
from burdockdrum.passthrough.state.prompts import Prompt
from burdockdrum.passthrough.state.prompts import PromptPart
from burdockdrum.registrations import Load
from burdockdrum.registrations import RegisteredEndpoint
from burdockdrum.registrations import RegistrationState
from burdockdrum.resources import Backend
from burdockdrum.resources import Engine
from burdockdrum.resources import Route
from burdockdrum.resources import WeightedService

MODEL = Backend(
    name="model",
    cold_requests_per_second=3.3,
    engine=Engine(
        slots=8,
        memory_tokens=400_000,
        bytes_a_token=327_680,
        link_megabits=350_000.0,
    ),
)
PLAIN = Backend(name="plain")


class ManualClock:
    """A clock that a test advances by hand."""

    def __init__(self):
        """Start at 100 s."""
        self.now = 100.0
        # Of the wall clock, which a suspension or an operator changes.
        self.wall_offset = 0.0

    def monotonic(self):
        """Return the current time."""
        return self.now

    def wall(self):
        """Return the time of the wall clock."""
        return self.now + self.wall_offset

    async def sleep(self, seconds):
        """Advance the time."""
        self.now += seconds


def make_endpoint(endpoint_id, **fields):
    """Return an endpoint with 8 slots that accepts requests."""
    defaults = {
        "service": "model",
        "address": f"{endpoint_id}:80",
        "data_centre": "dc",
        "slots": 8,
        "sequence": 1,
        "state": RegistrationState.READY,
        "slow_start_until": 0.0,
        "ends_at": None,
    }
    return RegisteredEndpoint(
        endpoint_id=endpoint_id, **{**defaults, **fields}
    )


def make_prompt(tokens, *shared):
    """Return a prompt of some shared parts and an unshared last one."""
    parts = [PromptPart(part_id=n, tokens=t) for n, t in shared]
    own = tokens - sum(part.tokens for part in parts)
    parts.append(PromptPart(part_id=f"own-{tokens}", tokens=own))
    return Prompt(tokens=tokens, max_output_tokens=100, parts=tuple(parts))


def make_route(**fields):
    """Return a route of the model service."""
    defaults = {
        "name": "r",
        "host": "h",
        "path_prefix": "/p/",
        "services": [WeightedService(service="model")],
        "idempotent": True,
        "attempts": 2,
        "timeout_seconds": 3.0,
        "objective_seconds": 1.0,
    }
    return Route(**{**defaults, **fields})


class FleetHarness:
    """A fleet with endpoints and reported loads that a test sets."""

    def __init__(self, *ids, seed=1, crossing_seconds=0.0):
        """Create idle endpoints with some ids."""
        self.clock = ManualClock()
        self.endpoints = {name: make_endpoint(name) for name in ids}
        self.others = {}
        self.unreported_entries = 0
        self.load_age_seconds = 0.0
        self.prefix_cache_table = PrefixCacheTable()
        self.fleet = Fleet(
            clock=self.clock,
            rng=random.Random(seed),
            read_endpoints=lambda: self.endpoints,
            read_load=lambda name: self.others.get(name, Load()),
            read_unreported_entries=lambda: self.unreported_entries,
            read_load_age=lambda: self.load_age_seconds,
            prefix_cache_table=self.prefix_cache_table,
            read_region={
                "dc": "here",
                "beside": "here",
                "there": "over",
            }.get,
            data_centre="dc",
            crossing_seconds=crossing_seconds,
        )

    def choose(
        self,
        prompt,
        *,
        rank=0,
        backend=MODEL,
        tried=(),
        closed=(),
        homes=(),
        body_bytes=0,
    ):
        """Choose an endpoint for a request."""
        return self.fleet.choose(
            route=make_route(rank=rank, homes=list(homes)),
            backend=backend,
            prompt=prompt,
            seconds_left=10.0,
            tried=frozenset(tried),
            closed_data_centres=frozenset(closed),
            body_bytes=body_bytes,
        )

    def send_to(self, name, prompt):
        """Record a request at one endpoint."""
        choice = self.choose(
            prompt, tried=[other for other in self.endpoints if other != name]
        )
        return self.fleet.record_sent(choice, MODEL, prompt, 0)

    def send(self, prompt, *, rank=0, backend=MODEL):
        """Choose an endpoint and record the request there."""
        choice = self.choose(prompt, rank=rank, backend=backend)
        return self.fleet.record_sent(choice, backend, prompt, rank)


class FakeShares:
    """Shares of limits, as a test sets them; by default the whole limit."""

    def __init__(self, fraction=1.0):
        """Create shares of a fraction of each limit."""
        self.fraction = fraction
        self.entry_count = 1
        self.age_seconds = 0.0

    def share_of(self, key, limit):
        """Return the part of a limit that this entry may use."""
        return self.fraction * limit

"""Fakes and factories for tests of callers and their limits."""

import random

from burdockdrum.callers import CallerFinder
from burdockdrum.metrics import Metrics
from burdockdrum.quotas import QuotaMeter
from burdockdrum.quotas.sums import NO_USAGE
from burdockdrum.resources import Backend
from burdockdrum.resources import Configuration
from burdockdrum.resources import hash_token
from burdockdrum.resources import ListenerLimits
from burdockdrum.resources import Resource
from burdockdrum.resources import RouteTableSpec
from burdockdrum.resources import RouteTeam
from burdockdrum.settings.model import CallerSettings

CERTAIN_SECONDS = CallerSettings().certain_seconds


class FakeConfiguration:
    """A configuration service whose age the test sets."""

    def __init__(self, *, teams=None, routes=(), age=0.1):
        """Create a service with one route table."""
        self.age = age
        self.is_synced = True
        self.listeners = []
        self.apply(teams=teams, routes=routes)

    def apply(
        self,
        *,
        teams=None,
        routes=(),
        generation=1,
        backends=None,
        limits=None,
    ):
        """Replace the current route table."""
        table = RouteTableSpec(
            generation=generation,
            routes=list(routes),
            backends=backends
            or [Backend(name="model"), Backend(name="other")],
            teams=teams,
            limits=limits or ListenerLimits(),
        )
        resource = Resource(
            kind="route_table", name="main", version=generation, spec=table
        )
        self.current = Configuration.from_resources(generation, [resource])
        for listener in self.listeners:
            listener(self.current)

    def add_listener(self, listener):
        """Call a function with the current configuration and each new one."""
        self.listeners.append(listener)
        listener(self.current)

    async def wait_until_synced(self, seconds):
        """Return at once."""
        return True


class FakeUsageSharing:
    """Usage of other entries, as the test sets it."""

    def __init__(self):
        """Create a fake without usage at other entries."""
        self.usage_by_team = {}
        self.reserved = 0.0
        self.age = None

    def others(self, team):
        """Return the usage that the test has set."""
        return self.usage_by_team.get(team, NO_USAGE)

    def reserved_fraction(self, team):
        """Return the reserved fraction that the test has set."""
        return self.reserved


def make_team(name, *tokens, **fields):
    """Return a team that authenticates with the given tokens."""
    hashes = [hash_token(token) for token in tokens]
    return RouteTeam(name=name, token_hashes=hashes, **fields)


def make_finder(configuration, **fields):
    """Return a caller finder with the default maximum age."""
    return CallerFinder(
        configuration=configuration,
        certain_seconds=CERTAIN_SECONDS,
        **fields,
    )


def make_meter(clock, finder, sharing=None):
    """Return a meter; by default there is no usage at other entries."""
    return QuotaMeter(
        clock=clock,
        rng=random.Random(1),
        callers=finder,
        sharing=sharing or FakeUsageSharing(),
        metrics=Metrics(),
    )

"""Measure how long a route table holds up the entry that takes it up.

Usage: applying_routes [--tables=COUNT]

Each table has so many routes and teams, and comes as a message of another
VM. It is decoded and applied between two turns of the event loop; the callers
are indexed with the first request after it.

Options:
  --tables=COUNT  Tables to take up at each size [default: 20].
"""

from collections.abc import Callable
import statistics
import time
from typing import cast

from docopt import docopt
import msgspec

from burdockdrum.callers import CallerFinder
from burdockdrum.configuration import ConfigurationService
from burdockdrum.configuration.history import History
from burdockdrum.passthrough.protocol import ActiveRoutes
from burdockdrum.resources import Backend
from burdockdrum.resources import Configuration
from burdockdrum.resources import hash_token
from burdockdrum.resources import Resource
from burdockdrum.resources import ResourceRevision
from burdockdrum.resources import Route
from burdockdrum.resources import RouteTableSpec
from burdockdrum.resources import RouteTeam
from burdockdrum.resources import WeightedService
from burdockdrum.system_ports import SystemClock

SIZES = (100, 500, 2000)
_MILLISECONDS_PER_SECOND = 1000


class _AppliedConfiguration:
    """The configuration of an entry, without the other VMs."""

    is_synced = True

    def __init__(self) -> None:
        self.history = History()

    @property
    def current(self) -> Configuration:
        """Return the configuration in force."""
        return self.history.current

    def add_listener(self, listener: Callable[[Configuration], None]) -> None:
        """Call a function with each new configuration."""
        self.history.listeners.append(listener)


def measure(size: int, tables: int) -> None:
    """Take up tables of one size and print its line."""
    applied = _AppliedConfiguration()
    configuration = cast(ConfigurationService, applied)
    ActiveRoutes(clock=SystemClock(), configuration=configuration)
    callers = CallerFinder(configuration=configuration)
    milliseconds = []
    for revision in range(1, tables + 1):
        message = msgspec.msgpack.encode(_make_change(size, revision))
        begun = time.perf_counter()
        change = msgspec.msgpack.decode(message, type=ResourceRevision)
        applied.history.advance([change])
        _ = callers.callers_by_team
        seconds = time.perf_counter() - begun
        milliseconds.append(seconds * _MILLISECONDS_PER_SECOND)
    print(
        f"{size} routes and teams, {len(message)} bytes: "
        f"p50 {statistics.median(milliseconds):.1f} ms, "
        f"longest {max(milliseconds):.1f} ms"
    )


def _make_change(size: int, revision: int) -> ResourceRevision:
    services = [WeightedService(service="model")]
    table = RouteTableSpec(
        generation=revision,
        routes=[
            Route(
                name=f"route-{number}",
                host=f"host-{number % 50}",
                path_prefix=f"/{number}/",
                services=services,
                idempotent=True,
                timeout_seconds=10.0,
                rank=number % 5,
                homes=["one", "two"],
            )
            for number in range(size)
        ],
        backends=[Backend(name="model")],
        teams=[
            RouteTeam(
                name=f"team-{number}",
                token_hashes=[hash_token(f"token-{number}")],
                rank=number % 7,
            )
            for number in range(size)
        ],
    )
    resource = Resource(
        kind="route_table", name="main", version=revision, spec=table
    )
    return ResourceRevision(
        revision=revision,
        kind=resource.kind,
        name=resource.name,
        resource=resource,
    )


def main() -> None:
    """Print a line for each size."""
    arguments = docopt(__doc__)
    for size in SIZES:
        measure(size, int(arguments["--tables"]))


if __name__ == "__main__":
    main()

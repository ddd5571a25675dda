"""Measure what teams and their limits cost, by how many teams there are.

Usage:
  team_limits [--requests N] [--entries N] [COUNT ...]
  team_limits -h | --help

Options:
  --requests N  So many requests are counted [default: 4000].
  --entries N   So many entries tell one keeper [default: 16].
  -h --help     Show this text.

For each count: finding the caller of a token and binding its route,
counting a request against a limit, a keeper's answer to one entry, and the
size of what keepers tell each other. Processor time of one process.
"""

import asyncio
import random
import sys
import time

from docopt import docopt
import msgspec

from burdockdrum.callers import CallerFinder
from burdockdrum.callers import RankOrder
from burdockdrum.callers import route_for
from burdockdrum.metrics import Metrics
from burdockdrum.peers import Peers
from burdockdrum.peers import Seal
from burdockdrum.peers import Sender
from burdockdrum.peers import VmIdentity
from burdockdrum.quotas.messages import DataCentreUsage
from burdockdrum.quotas.messages import TeamUsage
from burdockdrum.quotas.messages import UsageReport
from burdockdrum.quotas.meter import QuotaMeter
from burdockdrum.quotas.sharing import UsageSharing
from burdockdrum.resources import Backend
from burdockdrum.resources import Configuration
from burdockdrum.resources import hash_token
from burdockdrum.resources import RateLimit
from burdockdrum.resources import Resource
from burdockdrum.resources import Route
from burdockdrum.resources import RouteTableSpec
from burdockdrum.resources import RouteTeam
from burdockdrum.resources import WeightedService
from burdockdrum.system_ports import SystemClock
from burdockdrum.testing import FakeNetwork
from burdockdrum.timeline import HybridClock

DEFAULT_COUNTS = ("16", "64", "260")
ANSWERS = 200
MICROSECONDS = 1e6
ROUTE = Route(
    name="r",
    host="h",
    path_prefix="/p/",
    services=[WeightedService(service="model")],
    idempotent=True,
    timeout_seconds=8.0,
)


class FixedConfiguration:
    """A configuration that does not change."""

    age = 0.1

    def __init__(self, *, teams: int) -> None:
        """Hold a table with so many teams."""
        limit = RateLimit(unit="tokens", per_second=1e6, burst=1e6)
        table = RouteTableSpec(
            generation=1,
            routes=[ROUTE],
            backends=[Backend(name="model")],
            teams=[
                RouteTeam(
                    name=f"team-{number}",
                    token_hashes=[hash_token(f"token-{number}")],
                    rank=number % 3,
                    limit=limit,
                )
                for number in range(teams)
            ],
        )
        resource = Resource(
            kind="route_table", name="main", version=1, spec=table
        )
        self.current = Configuration.of(1, [resource])


class Bed:
    """A keeper with its meter, in memory."""

    def __init__(self, *, teams: int) -> None:
        """Create a keeper that does not run."""
        self.teams = teams
        self.configuration = FixedConfiguration(teams=teams)
        self.finder = CallerFinder(
            configuration=self.configuration  # type: ignore[arg-type]
        )
        self.rng = random.Random(1)
        self.clock = SystemClock()

    async def open(self) -> None:
        """Build what needs an event loop."""
        network = FakeNetwork(rng=self.rng)
        identity = VmIdentity(
            vm_id="vm",
            incarnation=1,
            region="r",
            data_centre="d",
            control_address="tcp://vm:1",
            http_address="http://vm:2",
        )
        peers = Peers(
            identity=identity,
            mailbox=await network.host("vm").open("tcp://vm:1"),
            clock=self.clock,
            hybrid_clock=HybridClock(clock=self.clock),
            rng=self.rng,
            seal=Seal(secret=b"s"),
            metrics=Metrics(),
        )
        self.sharing = UsageSharing(
            peers=peers, clock=self.clock, read_entries=list
        )
        self.meter = QuotaMeter(
            clock=self.clock,
            rng=self.rng,
            callers=self.finder,
            sharing=self.sharing,
            metrics=Metrics(),
        )

    def find(self, requests: int) -> float:
        """Return the seconds that finding a caller takes."""
        table = self.configuration.current.route_table
        assert table is not None
        ranks = RankOrder(teams=table.teams or (), routes=[ROUTE])
        tokens = self._draw(requests)
        began = time.process_time()
        for token in tokens:
            route_for(self.finder.find(token), ROUTE, ranks)
        return (time.process_time() - began) / requests

    def count(self, requests: int) -> float:
        """Return the seconds that counting a request takes."""
        callers = [self.finder.find(token) for token in self._draw(requests)]
        began = time.process_time()
        for caller in callers:
            self.meter.acquire(caller, 100)
        return (time.process_time() - began) / requests

    async def answer(self, entries: int) -> float:
        """Return the seconds that a keeper's answer to one entry takes."""
        report = UsageReport(uses=self._uses())
        began = time.process_time()
        for number in range(ANSWERS):
            sender = Sender(
                vm_id=f"vm-{number % entries}",
                address="tcp://other:1",
                incarnation=1,
            )
            await self.sharing._receive_report(sender, report)
        return (time.process_time() - began) / ANSWERS

    def message_bytes(self) -> int:
        """Return the size of what a keeper tells another."""
        message = DataCentreUsage(
            data_centre="d", aggregator="tcp://vm:1", uses=self._uses()
        )
        return len(msgspec.msgpack.encode(message))

    def _draw(self, requests: int) -> list[bytes]:
        return [
            b"token-%d" % self.rng.randrange(self.teams)
            for _ in range(requests)
        ]

    def _uses(self) -> list[TeamUsage]:
        return [
            TeamUsage(f"team-{number}", 12_345.6, 23_456.7)
            for number in range(self.teams)
        ]


async def measure(teams: int, requests: int, entries: int) -> None:
    """Print what so many teams cost."""
    bed = Bed(teams=teams)
    await bed.open()
    print(
        f"{teams} teams: {bed.find(requests) * MICROSECONDS:.1f} us to find "
        f"a caller, {bed.count(requests) * MICROSECONDS:.1f} us to count, "
        f"{await bed.answer(entries) * MICROSECONDS:.0f} us a keeper's "
        f"answer, {bed.message_bytes()} bytes between keepers"
    )


def main(argv: list[str]) -> int:
    """Print a line for each count.

    :returns: the exit code
    """
    arguments = docopt(__doc__, argv)
    for count in arguments["COUNT"] or DEFAULT_COUNTS:
        requests = int(arguments["--requests"])
        entries = int(arguments["--entries"])
        asyncio.run(measure(int(count), requests, entries))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

"""Measure what it costs to choose an endpoint, by how many there are.

Usage:
  choosing [--requests N] [--repeats N] [COUNT ...]
  choosing -h | --help

Options:
  --requests N  So many requests are placed [default: 400].
  --repeats N   So many times; the least time is shown [default: 5].
  -h --help     Show this text.

Each endpoint has work of a dozen other entries in three ranks and reports
its prefix cache; prompts have three parts, and one in ten is long and shares
its beginning with others. Processor time, one line a count.
"""

import random
import sys
import time

from docopt import docopt

from burdockdrum.holdings import PrefixCacheChange
from burdockdrum.holdings import PrefixCacheTable
from burdockdrum.passthrough.selection import Fleet
from burdockdrum.passthrough.state import InFlightRequest
from burdockdrum.passthrough.state import Prompt
from burdockdrum.passthrough.state import PromptPart
from burdockdrum.registrations.load_sums import LoadSums
from burdockdrum.registrations.loads import RankLoad
from burdockdrum.registrations.messages import RegistrationState
from burdockdrum.registrations.model import RegisteredEndpoint
from burdockdrum.resources import Backend
from burdockdrum.resources import Engine
from burdockdrum.resources import Route
from burdockdrum.resources import WeightedService
from burdockdrum.system_ports import SystemClock

DEFAULT_COUNTS = ("7", "14", "28", "56")
OTHER_ENTRIES = 12
UNDER_WAY = 20
LONG_PART = 0.1
SERVICE = "model"
BACKEND = Backend(
    name=SERVICE,
    engine=Engine(
        slots=32,
        memory_tokens=400_000,
        bytes_a_token=18_000,
        link_megabits=88_000.0,
    ),
)
ROUTE = Route(
    name="r",
    host="h",
    path_prefix="/p/",
    services=[WeightedService(service=SERVICE)],
    idempotent=True,
    attempts=2,
    timeout_seconds=8.0,
    objective_seconds=0.8,
)


def make_endpoints(count: int) -> dict[str, RegisteredEndpoint]:
    """Return so many endpoints in two data centres."""
    return {
        f"e{number}": RegisteredEndpoint(
            endpoint_id=f"e{number}",
            service=SERVICE,
            address=f"127.0.0.1:{20_000 + number}",
            data_centre=f"dc{number % 2}",
            slots=32,
            sequence=1,
            state=RegistrationState.READY,
            slow_start_until=0.0,
            ends_at=None,
        )
        for number in range(count)
    }


def make_fleet(count: int, rng: random.Random) -> Fleet:
    """Return a fleet whose endpoints have work of other entries."""
    endpoints = make_endpoints(count)
    sums = LoadSums()
    ranks = [
        RankLoad(0, 3, 300, 20_000, 1),
        RankLoad(1, 1, 2000, 30_000, 1),
        RankLoad(2, 1, 1000, 10_000, 1),
    ]
    table = PrefixCacheTable()
    for number, endpoint in enumerate(endpoints.values()):
        table.apply(
            PrefixCacheChange(
                endpoint_id=endpoint.endpoint_id,
                address=endpoint.address,
                data_centre=endpoint.data_centre,
                epoch=1,
                number=1,
                tokens_by_part={f"file{number % 50}": 13_300},
                is_snapshot=True,
            ),
            0.0,
        )
    for number in range(OTHER_ENTRIES):
        sums.put(f"vm{number}", dict.fromkeys(endpoints, ranks), 0.0)
    return Fleet(
        clock=SystemClock(),
        rng=rng,
        read_endpoints=lambda: endpoints,
        read_load=sums.load_of,
        prefix_cache_table=table,
        data_centre="dc0",
        crossing_seconds=4.0,
    )


def make_prompt(rng: random.Random) -> Prompt:
    """Return a prompt as callers send it."""
    if rng.random() < LONG_PART:
        shared = PromptPart(part_id=f"file{rng.randrange(50)}", tokens=13_300)
        own = PromptPart(part_id="own", tokens=3700)
        session = PromptPart(part_id=f"part{rng.randrange(500)}", tokens=400)
    else:
        shared = PromptPart(part_id=f"head{rng.randrange(50)}", tokens=60)
        own = PromptPart(part_id="own", tokens=320)
        session = PromptPart(part_id=f"part{rng.randrange(500)}", tokens=90)
    return Prompt(
        tokens=shared.tokens + session.tokens + own.tokens,
        max_output_tokens=60,
        parts=(shared, session, own),
    )


def measure(count: int, requests: int) -> float:
    """Return the processor seconds that placing a request takes."""
    rng = random.Random(1)
    fleet = make_fleet(count, rng)
    prompts = [make_prompt(rng) for _ in range(requests)]
    under_way: list[InFlightRequest] = []
    began = time.process_time()
    for prompt in prompts:
        choice = fleet.choose(
            route=ROUTE,
            backend=BACKEND,
            prompt=prompt,
            seconds_left=8.0,
            tried=frozenset(),
            closed_data_centres=frozenset(),
            body_bytes=prompt.tokens,
        )
        assert choice is not None
        under_way.append(
            fleet.record_sent(choice, BACKEND, prompt, ROUTE.rank)
        )
        fleet.record_output(under_way[-1])
        if len(under_way) > UNDER_WAY:
            fleet.record_end(under_way.pop(0), BACKEND, whole=True)
    return (time.process_time() - began) / requests


def main(argv: list[str]) -> int:
    """Print a line for each count.

    :returns: the exit code
    """
    arguments = docopt(__doc__, argv)
    for count in arguments["COUNT"] or DEFAULT_COUNTS:
        seconds = min(
            measure(int(count), int(arguments["--requests"]))
            for _ in range(int(arguments["--repeats"]))
        )
        print(f"{count} endpoints: {seconds * 1e6:.0f} us a request")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

"""Measure what a choice of the router costs.

Usage: python -m scripts.bench.routing

One VM of a data centre with 3 to 160 endpoints:
choose, begin, first token and finish of 300 requests, in processor time.
"""

import asyncio
import random
import time
import types

from burdockdrum.endpoints import Announcement
from burdockdrum.endpoints import EndpointRegistry
from burdockdrum.peers import VmIdentity
from burdockdrum.routing import AttemptOutcome
from burdockdrum.routing import Router
from burdockdrum.routing import RoutingRequest
from burdockdrum.routing import ToEndpoint
from burdockdrum.system_ports import SystemClock
from burdockdrum.timeline import HybridClock
from burdockdrum.timeline import Timeline
from burdockdrum.vms import VmView

SIZES = (3, 10, 40, 160)
REQUESTS = 300
DOCUMENTS = 50
BLOCKS = 16


def make_router(endpoints: int) -> Router:
    """Return the router of a VM before so many endpoints."""
    clock = SystemClock()
    identity = VmIdentity(
        vm_id="a",
        incarnation=1,
        region="north",
        data_centre="north",
        control_address="a",
        http_address="a",
    )
    view = VmView(
        identity=identity,
        draining=False,
        revision=1,
        services=(),
        heard_at=0.0,
    )
    vms = types.SimpleNamespace(identity=identity, live_vms=lambda: [view])
    timeline = Timeline(
        process="a", incarnation=1, clock=HybridClock(clock=clock)
    )
    registry = EndpointRegistry(clock=clock, timeline=timeline)
    for number in range(endpoints):
        registry.announce(
            Announcement(
                endpoint_id=f"e{number}",
                incarnation=1,
                url=f"http://e{number}",
                service="planner",
                slots=8,
            )
        )
    return Router(
        clock=clock,
        rng=random.Random(1),
        endpoints=registry,
        vms=vms,  # type: ignore[arg-type]
    )


def measure(endpoints: int) -> float:
    """Return the seconds that a request costs."""
    router = make_router(endpoints)
    rng = random.Random(1)
    requests = [
        RoutingRequest(
            service="planner",
            regions=frozenset({"north"}),
            deadline=router.now() + 60,
            prompt_tokens=2000,
            max_tokens=100,
            prefix_hashes=tuple(
                document * 1000 + block for block in range(BLOCKS)
            ),
        )
        for document in rng.choices(range(DOCUMENTS), k=REQUESTS)
    ]
    began = time.process_time()
    for request in requests:
        choice = router.choose(request)
        assert isinstance(choice, ToEndpoint)
        attempt = router.begin(choice.endpoint, request)
        attempt.record_first_token()
        attempt.finish(AttemptOutcome.COMPLETED, tokens=100)
    return (time.process_time() - began) / REQUESTS


async def main() -> None:
    """Print the cost for each size."""
    for size in SIZES:
        print(f"{size:4d} endpoints: {measure(size) * 1e6:6.0f} µs a request")


if __name__ == "__main__":
    asyncio.run(main())

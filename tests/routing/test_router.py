"""The choice among many endpoints."""

import random
import types
import unittest

from burdockdrum.endpoints import Announcement
from burdockdrum.endpoints import EndpointRegistry
from burdockdrum.routing import AttemptOutcome
from burdockdrum.routing import Demand
from burdockdrum.routing import Nowhere
from burdockdrum.routing import Router
from burdockdrum.testing import run_virtual
from burdockdrum.testing import VirtualClock
from burdockdrum.timeline import HybridClock
from burdockdrum.timeline import Timeline

ENDPOINTS = 100


def make_router(*, adapters_of=lambda number: [], role="both") -> Router:
    clock = VirtualClock()
    identity = types.SimpleNamespace(
        vm_id="a", region="north", data_centre="north"
    )
    own = types.SimpleNamespace(identity=identity, draining=False)
    vms = types.SimpleNamespace(identity=identity, live_vms=lambda: [own])
    timeline = Timeline(
        process="a", incarnation=1, clock=HybridClock(clock=clock)
    )
    registry = EndpointRegistry(clock=clock, timeline=timeline)
    for number in range(ENDPOINTS):
        registry.announce(
            Announcement(
                endpoint_id=f"e{number}",
                incarnation=1,
                url=f"http://e{number}",
                service="planner",
                slots=8,
                adapters=adapters_of(number),
                role=role,
            )
        )
    return Router(
        clock=clock, rng=random.Random(1), endpoints=registry, vms=vms
    )


def make_demand(prefix: int = 0, **changes) -> Demand:
    return Demand(
        service="planner",
        regions=frozenset({"north"}),
        deadline=1e6,
        prompt_tokens=2000,
        max_tokens=100,
        prefix_hashes=tuple(prefix * 100 + block for block in range(10)),
        **changes,
    )


class RouterTest(unittest.TestCase):
    """A hundred endpoints of which only some are weighed."""

    def test_prompt_goes_where_its_prefix_was_sent(self):
        async def main():
            router = make_router()
            homes = {}
            for prefix in range(20):
                chosen = router.choose(make_demand(prefix)).endpoint
                homes[prefix] = chosen.endpoint_id
                attempt = router.begin(chosen, make_demand(prefix))
                attempt.note_first_token()
                attempt.finish(AttemptOutcome.COMPLETED, tokens=100)
            again = {
                prefix: router.choose(make_demand(prefix)).endpoint.endpoint_id
                for prefix in homes
            }
            self.assertEqual(homes, again)
            self.assertGreater(len(set(homes.values())), 10)

        run_virtual(main())

    def test_adapter_that_one_endpoint_has_is_found(self):
        async def main():
            router = make_router(
                adapters_of=lambda number: ["verge"] if number == 77 else []
            )
            choice = router.choose(make_demand(adapter="verge"))
            self.assertEqual("e77", choice.endpoint.endpoint_id)

        run_virtual(main())

    def test_endpoints_that_only_read_prompts_are_not_chosen(self):
        async def main():
            router = make_router(role="prefill")
            self.assertIsInstance(router.choose(make_demand()), Nowhere)

        run_virtual(main())
